#define BOOST_TEST_MODULE allotment_book
#include <boost/test/unit_test.hpp>

#include "entry/allotment_book.h"

namespace boragewinch {
namespace {

const TeamName kTeam("t1");

struct Book : AllotmentBook {
  void Start(int task) {
    CountedTask counted;
    counted.team = kTeam;
    Count({RequestId("r" + std::to_string(task)), 1}, counted);
  }
  void End(int task) { Release({RequestId("r" + std::to_string(task)), 1}); }
};

// Guards against a busy entry host that spends each unit again as it becomes
// idle, so that a lowered limit or another entry host's need has no effect.
BOOST_AUTO_TEST_CASE(CapHoldsForUnitsThatBecomeIdle) {
  Book book;
  book.Update(1, {{kTeam, 5}});
  for (int task = 0; task < 5; ++task)
    book.Start(task);
  book.SetCaps({{kTeam, 2}});
  BOOST_TEST(book.offered(kTeam) == 0);
  for (int task = 0; task < 3; ++task) {
    book.End(task);
    BOOST_TEST(book.offered(kTeam) == task + 1);
    BOOST_TEST(!book.HasRoom(kTeam));
  }
  // At the cap, ended tasks are replaced.
  book.End(3);
  BOOST_TEST(book.offered(kTeam) == 3);
  BOOST_TEST(book.HasRoom(kTeam));
}

// Guards against offered units that are spent before the leader has answered,
// and against a cap that outlives the leader's next answer.
BOOST_AUTO_TEST_CASE(OffersEndWithANewVersionAndCapsWithTheNextAnswer) {
  Book book;
  book.Update(1, {{kTeam, 4}});
  book.SetCaps({{kTeam, 1}});
  BOOST_TEST(book.offered(kTeam) == 3);
  book.SetCaps({});
  book.Update(1, {{kTeam, 4}});
  BOOST_TEST(book.offered(kTeam) == 3);
  book.Update(2, {{kTeam, 4}});
  BOOST_TEST(book.offered(kTeam) == 0);
  book.Start(0);
  book.End(0);
  BOOST_TEST(book.offered(kTeam) == 0);
  BOOST_TEST(book.HasRoom(kTeam));
}

}  // namespace
}  // namespace boragewinch
