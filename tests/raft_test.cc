#define BOOST_TEST_MODULE raft
#include <boost/test/unit_test.hpp>

#include <boost/test/data/test_case.hpp>

#include "base/event_log.h"
#include "base/invariant.h"
#include "raft_cluster.h"

namespace boragewinch::raft {
namespace {

struct QuietLog {
  QuietLog() { ConfigureEventLog("raft_test", EventLevel::kError); }
};
BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

/// A cluster of running hosts that has a leader.
struct Formed : Cluster {
  explicit Formed(std::size_t count, std::uint64_t seed = 1)
      : Cluster(count, seed) {
    fault = [](const std::string& text) { BOOST_ERROR(text); };
    for (const auto& host : hosts)
      BOOST_REQUIRE(Start(*host));
    BOOST_REQUIRE(RunUntil([this] { return Converged(); }, Millis(10'000)));
  }
  std::uint64_t Put(const std::string& command) {
    BOOST_REQUIRE(leader());
    const auto index = leader()->replica->Propose(command, now);
    BOOST_REQUIRE(index);
    return index.value();
  }
  void Settle() {
    BOOST_REQUIRE(RunUntil([this] { return Converged(); }, Millis(20'000)));
  }
};

constexpr std::size_t kSizes[] = {1, 3, 5};

// Guards against a cluster that can't form, replicate or survive a restart.
BOOST_DATA_TEST_CASE(FormsReplicatesAndRestarts, kSizes, size) {
  Formed cluster(size);
  for (int i = 0; i < 10; ++i)
    cluster.Put("c" + std::to_string(i));
  cluster.Settle();
  for (const auto& host : cluster.hosts) {
    BOOST_TEST(host->commands.size() == 10);
    cluster.Crash(*host);
    BOOST_REQUIRE(cluster.Start(*host));
  }
  cluster.Settle();
  BOOST_TEST(cluster.leader()->commands.size() == 10);
}

}  // namespace
}  // namespace boragewinch::raft
