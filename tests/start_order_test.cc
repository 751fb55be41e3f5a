#define BOOST_TEST_MODULE start_order
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "overload/start_order.h"

namespace boragewinch::overload {
namespace {

constexpr jobs::UnixMillis kNow = 100'000;

/// A job accepted at `from` with an objective 2,000 ms later.
[[nodiscard]] Urgency UrgencyAt(jobs::UnixMillis from,
                                int path_ms,
                                bool over_share = false) {
  return UrgencyOf({from, from + 2'000, Millis(path_ms)}, 1.0, over_share,
                   kNow);
}

// Guards against jobs that are taken for late, or for hopeless, too early.
BOOST_AUTO_TEST_CASE(UrgencyFollowsTheTimeThatIsLeft) {
  BOOST_TEST((UrgencyAt(kNow, 2'000) == Urgency::kOnTime));
  BOOST_TEST((UrgencyAt(kNow, 2'000, true) == Urgency::kOverShare));
  BOOST_TEST((UrgencyAt(kNow, 2'001) == Urgency::kDoubtful));
  BOOST_TEST((UrgencyAt(kNow, 2'001, true) == Urgency::kDoubtful));
  BOOST_TEST((UrgencyAt(kNow, 4'000) == Urgency::kLate));
  BOOST_TEST((UrgencyAt(kNow - 5'999, 4'000) == Urgency::kLate));
  BOOST_TEST((UrgencyAt(kNow - 6'000, 4'000) == Urgency::kTooLate));
}

struct Row {
  std::string id;
  bool long_running;
  std::int64_t priority;
  Urgency urgency;
  bool begun;
  jobs::UnixMillis objective;
};

// Guards against an order in which a job waits behind one that loses less by
// waiting. The rows are in the expected order.
BOOST_AUTO_TEST_CASE(WhatLosesLeastWaits) {
  const std::vector<Row> rows = {
      {"long-running", true, 5, Urgency::kTooLate, false, 1},
      {"begun", false, 0, Urgency::kOnTime, true, 9},
      {"earlier objective", false, 0, Urgency::kOnTime, false, 2},
      {"later objective", false, 0, Urgency::kOnTime, false, 8},
      {"over share", false, 0, Urgency::kOverShare, true, 1},
      {"doubtful", false, 0, Urgency::kDoubtful, false, 5},
      {"late, soon useless", false, 0, Urgency::kLate, false, 3},
      {"late", false, 0, Urgency::kLate, true, 4},
      {"useless", false, 0, Urgency::kTooLate, true, 1},
      {"lower priority", false, 1, Urgency::kOnTime, true, 1},
  };
  std::vector<jobs::JobId> ids;
  for (const Row& row : rows)
    ids.emplace_back(row.id);
  std::vector<WaitingJob> jobs;
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const Row& row = rows[i];
    jobs.push_back({row.long_running,
                    row.priority,
                    row.urgency,
                    row.begun,
                    {0, row.objective, Millis(0)},
                    &ids[i]});
  }
  std::vector<WaitingJob> shuffled(jobs.rbegin(), jobs.rend());
  std::sort(shuffled.begin(), shuffled.end(), StartsBefore);
  for (std::size_t i = 0; i < rows.size(); ++i)
    BOOST_TEST(shuffled[i].id->str() == rows[i].id);
}

// Guards against customers within their share that yield to others, and against
// one that takes most of the capacity unnoticed.
BOOST_AUTO_TEST_CASE(OnlyACustomerFarAboveItsShareYields) {
  const CustomerName a("a");
  const CustomerName b("b");
  const CustomerName c("c");
  const auto over = [](std::map<CustomerName, CustomerUse> customers) {
    return CustomersOverShare(customers);
  };
  BOOST_TEST(over({}).empty());
  BOOST_TEST(over({{a, {10'000, 1}}}).empty());
  BOOST_TEST(over({{a, {6'000, 1}}, {b, {4'000, 1}}}).empty());
  BOOST_TEST(over({{a, {8'000, 1}}, {b, {2'000, 1}}}) ==
             std::set<CustomerName>{a});
  BOOST_TEST(over({{a, {8'000, 8}}, {b, {2'000, 2}}}).empty());
  BOOST_TEST(over({{a, {5'000, 8}}, {b, {100, 1}}, {c, {4'900, 1}}}) ==
             std::set<CustomerName>{c});
}

}  // namespace
}  // namespace boragewinch::overload
