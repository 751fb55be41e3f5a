#define BOOST_TEST_MODULE allotment_tracker
#include <boost/test/unit_test.hpp>

#include "entry/allotment_tracker.h"

namespace boragewinch {
namespace {

const TeamName kTeam("t1");

struct TestTracker : AllotmentTracker {
  void Start(int task) {
    CountedTask counted;
    counted.team = kTeam;
    Count({RequestId("r" + std::to_string(task)), 1}, counted);
  }
  void End(int task) { Release({RequestId("r" + std::to_string(task)), 1}); }
};

// Guards against a busy entry host that uses each unit again as it becomes
// idle, so that a lowered limit or another entry host's need has no effect.
BOOST_AUTO_TEST_CASE(CapHoldsForUnitsThatBecomeIdle) {
  TestTracker tracker;
  tracker.Update(1, {{kTeam, 5}});
  for (int task = 0; task < 5; ++task)
    tracker.Start(task);
  tracker.SetCaps({{kTeam, 2}});
  BOOST_TEST(tracker.offered(kTeam) == 0);
  for (int task = 0; task < 3; ++task) {
    tracker.End(task);
    BOOST_TEST(tracker.offered(kTeam) == task + 1);
    BOOST_TEST(!tracker.HasFreeUnit(kTeam));
  }
  // At the cap, ended tasks are replaced.
  tracker.End(3);
  BOOST_TEST(tracker.offered(kTeam) == 3);
  BOOST_TEST(tracker.HasFreeUnit(kTeam));
}

// Guards against offered units that are used before the leader has responded,
// and against a cap that outlives the leader's next answer.
BOOST_AUTO_TEST_CASE(OffersEndWithANewVersionAndCapsWithTheNextAnswer) {
  TestTracker tracker;
  tracker.Update(1, {{kTeam, 4}});
  tracker.SetCaps({{kTeam, 1}});
  BOOST_TEST(tracker.offered(kTeam) == 3);
  tracker.SetCaps({});
  tracker.Update(1, {{kTeam, 4}});
  BOOST_TEST(tracker.offered(kTeam) == 3);
  tracker.Update(2, {{kTeam, 4}});
  BOOST_TEST(tracker.offered(kTeam) == 0);
  tracker.Start(0);
  tracker.End(0);
  BOOST_TEST(tracker.offered(kTeam) == 0);
  BOOST_TEST(tracker.HasFreeUnit(kTeam));
}

}  // namespace
}  // namespace boragewinch
