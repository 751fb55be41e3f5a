#define BOOST_TEST_MODULE leader_load
#include <boost/test/unit_test.hpp>

#include "scheduler/leader_load.h"

namespace boragewinch::scheduler {
namespace {

// Guards against a report that counts work twice or omits some, which would
// hide whether the leader or the workers limit the starts.
BOOST_AUTO_TEST_CASE(EachReportHasTheWorkSinceTheLastOne) {
  LeaderLoad load;
  load.Begin(FromMillis(1'000), Millis(50));
  jobs::Batch batch;
  batch.starts.resize(3);
  batch.ends.resize(2);
  load.OnStored(batch);
  load.OnCallerCall();
  load.OnControlCall();
  BOOST_TEST(!load.Take(FromMillis(1'999), Millis(200), Millis(1'000)));
  load.OnStored(batch);
  const auto report = load.Take(FromMillis(2'010), Millis(250), Millis(1'000));
  BOOST_REQUIRE(report);
  BOOST_TEST(report->time.count() == 1'010);
  BOOST_TEST(report->busy.count() == 810);
  BOOST_TEST(report->batches == 2U);
  BOOST_TEST(report->starts == 6U);
  BOOST_TEST(report->ends == 4U);
  BOOST_TEST(report->caller_calls == 1U);
  BOOST_TEST(report->control_calls == 1U);
  const auto next = load.Take(FromMillis(3'010), Millis(260), Millis(1'000));
  BOOST_REQUIRE(next);
  BOOST_TEST(next->starts == 0U);
  BOOST_TEST(next->busy.count() == 990);
}

}  // namespace
}  // namespace boragewinch::scheduler
