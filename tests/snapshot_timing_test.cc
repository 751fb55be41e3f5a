#define BOOST_TEST_MODULE snapshot_timing
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "formed_cluster.h"

namespace boragewinch::raft {
namespace {

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

constexpr std::size_t kReplicas = 5;
constexpr std::uint64_t kSnapshotEntries = 200;

struct SnapshotCluster : Formed {
  SnapshotCluster() : Formed(kReplicas) {
    options.snapshot_entries = kSnapshotEntries;
    for (const auto& host : hosts) {
      Crash(*host);
      BOOST_REQUIRE(Start(*host));
    }
    WaitUntilConverged();
  }

  /// Stores an entry on all replicas.
  /// \returns how many of them took a snapshot.
  std::size_t PutEverywhere() {
    std::vector<int> before;
    for (const auto& host : hosts)
      before.push_back(host->snapshots);
    Put("entry " + std::to_string(++entries));
    WaitUntilConverged();
    std::size_t taken = 0;
    for (std::size_t i = 0; i < hosts.size(); ++i)
      taken += hosts[i]->snapshots > before[i] ? 1 : 0;
    return taken;
  }

  std::uint64_t entries = 0;
};

// Guards against commits that wait for a majority of replicas that all take
// their snapshot at the same entry.
BOOST_FIXTURE_TEST_CASE(AMajorityTakesNoSnapshotsTogether, SnapshotCluster) {
  std::size_t most = 0;
  std::size_t sum = 0;
  while (entries < 3 * kSnapshotEntries) {
    const std::size_t taken = PutEverywhere();
    most = std::max(most, taken);
    sum += taken;
  }
  BOOST_TEST(most <= kReplicas / 2);
  BOOST_TEST(sum >= 2 * kReplicas);
}

// Guards against a leader that takes a snapshot in the middle of a burst, and
// against a log that grows for good because the replica is always busy.
BOOST_FIXTURE_TEST_CASE(ABusyReplicaPutsItsSnapshotOff, SnapshotCluster) {
  Host& busy = *leader();
  busy.busy = true;
  const int before = busy.snapshots;
  while (entries < 2 * kSnapshotEntries - 20) {
    (void)PutEverywhere();
    BOOST_TEST(busy.snapshots == before);
  }
  while (entries < 2 * kSnapshotEntries + 20)
    (void)PutEverywhere();
  BOOST_TEST(busy.snapshots == before + 1);
  while (entries < 3 * kSnapshotEntries + 70)
    (void)PutEverywhere();
  BOOST_TEST(busy.snapshots == before + 1);
  busy.busy = false;
  (void)PutEverywhere();
  BOOST_TEST(busy.snapshots == before + 2);
}

}  // namespace
}  // namespace boragewinch::raft
