#define BOOST_TEST_MODULE host_orders
#include <boost/test/unit_test.hpp>

#include "ledger_builder.h"
#include "scheduler/host_orders.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;

constexpr Millis kLease{3'000};
constexpr std::uint64_t kEarlierTerm = 4;
constexpr std::uint64_t kTerm = 5;
/// Time of day at which the tests start.
constexpr jobs::UnixMillis kStartWallTime = 1'000'000;

[[nodiscard]] TimePoint At(std::int64_t millis) {
  return FromMillis(100'000 + millis);
}

/// A replica that applies the orders of an earlier leader and then leads.
class Successor {
 public:
  /// \param decided time of day of the earlier leader at its decision.
  void Apply(const char* host, jobs::UnixMillis decided, std::int64_t millis) {
    jobs::Batch batch;
    batch.now = decided;
    batch.host_orders.push_back(
        {HostName(host), kEarlierTerm, 0, PoolName("p")});
    builder.At(decided).Apply(batch);
    orders.OnApplied(batch, kStartWallTime + millis, At(millis));
  }

  [[nodiscard]] bool MayOrder(const char* host,
                              std::int64_t millis,
                              std::uint64_t term = kTerm) const {
    return orders.MayOrder(builder.ledger(), HostName(host), term,
                           kStartWallTime + millis, At(millis));
  }

  LedgerBuilder builder;
  HostOrders orders{kLease};
};

// Guards against a new leader that orders no host at all for 3 s, which delays
// the hosts for a burst of 8 s. Only hosts that the earlier leader ordered
// recently have to wait for the holder lease.
BOOST_FIXTURE_TEST_CASE(ANewLeaderOrdersOtherHostsAtOnce, Successor) {
  Apply("ordered", kStartWallTime, 0);
  BOOST_TEST(MayOrder("other", 1'100));
  BOOST_TEST(!MayOrder("ordered", 1'100));
  BOOST_TEST(!MayOrder("ordered", 2'999));
  BOOST_TEST(MayOrder("ordered", 3'000));
}

// Guards against a leader that waits for the holder lease of its own orders.
BOOST_FIXTURE_TEST_CASE(ALeaderMayFollowItsOwnOrder, Successor) {
  Apply("host", kStartWallTime, 0);
  BOOST_TEST(MayOrder("host", 10, kEarlierTerm));
}

// Guards against replayed orders that count as new: after a restart the log is
// applied again within milliseconds.
BOOST_FIXTURE_TEST_CASE(AReplayedOrderIsAsOldAsItsDecision, Successor) {
  Apply("old", kStartWallTime - 60'000, 0);
  Apply("recent", kStartWallTime - 9'000, 0);
  BOOST_TEST(MayOrder("old", 1));
  // The age of 9 s may come from a clock step.
  BOOST_TEST(!MayOrder("recent", 1));
}

// Guards against an order that is ignored because it was restored from a
// snapshot.
BOOST_FIXTURE_TEST_CASE(AnOrderOfASnapshotCounts, Successor) {
  Apply("host", kStartWallTime, 0);
  const auto restored = jobs::JobLedger::Restore(builder.ledger().Snapshot());
  BOOST_REQUIRE(restored.has_value());
  const HostOrders fresh{kLease};
  const HostName host("host");
  BOOST_TEST(!fresh.MayOrder(restored.value(), host, kTerm,
                             kStartWallTime + 5'000, At(5'000)));
  BOOST_TEST(fresh.MayOrder(restored.value(), host, kTerm,
                            kStartWallTime + 13'000, At(13'000)));
}

// Guards against an order that is lost or changed by encoding, so that the next
// leader doesn't see it.
BOOST_AUTO_TEST_CASE(OrdersAreReadBackFromTheLog) {
  jobs::Batch batch;
  batch.host_orders.push_back({HostName("a"), kTerm, 0, PoolName("p")});
  batch.host_orders.push_back({HostName("b"), kTerm, 7, PoolName()});
  const auto read = jobs::DecodeBatch(jobs::EncodeBatch(batch));
  BOOST_REQUIRE(read.has_value());
  BOOST_REQUIRE(read.value().host_orders.size() == 2U);
  BOOST_TEST(read.value().host_orders[0].to.str() == "p");
  BOOST_TEST(read.value().host_orders[0].term == kTerm);
  BOOST_TEST(read.value().host_orders[1].host.str() == "b");
  BOOST_TEST(read.value().host_orders[1].wave == 7);
}

}  // namespace
}  // namespace boragewinch::scheduler
