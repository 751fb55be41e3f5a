#define BOOST_TEST_MODULE raft_flow
#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

#include "formed_cluster.h"

// Large entries and snapshots on links of limited bandwidth.
namespace boragewinch::raft {
namespace {

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

constexpr std::size_t kHosts = 8;
/// A link of 200 Mbit/s.
constexpr std::size_t kLinkBytesPerMs = 25'000;
/// A configuration of 1,440 routes with its parsed form.
constexpr std::size_t kLargeEntryBytes = 1'000'000;
constexpr Millis kSettleTime{20'000};
/// Bytes sent over bytes needed.
constexpr double kMaxOverhead = 1.5;

/// A cluster whose hosts each send all data over one link. Messages without
/// data overtake it: they take other connections, which share the bandwidth.
class LimitedCluster : public Cluster {
 public:
  explicit LimitedCluster(std::size_t bytes_per_ms = kLinkBytesPerMs)
      : Cluster(kHosts, 1) {
    on_violation = [](const std::string& text) { BOOST_ERROR(text); };
    network = [this, bytes_per_ms](const Sent& sent) {
      const std::size_t bytes = DataBytes(sent.message);
      if (bytes == 0)
        return std::vector<Millis>{Millis(1)};
      bytes_to[sent.to_host] += bytes;
      TimePoint& free_at = link_free_at_[sent.from_host];
      free_at = std::max(free_at, now) +
                Millis(static_cast<std::int64_t>(bytes / bytes_per_ms));
      const Millis delay = free_at - now + Millis(1);
      // The call times out and closes its connection.
      return delay > StepTimeout(bytes) ? std::vector<Millis>()
                                        : std::vector<Millis>{delay};
    };
  }

  void StartAll() {
    for (const auto& host : hosts)
      BOOST_REQUIRE(Start(*host));
    BOOST_REQUIRE(RunUntil([this] { return Converged(); }, kSettleTime));
  }

  /// \returns a host that does not lead.
  [[nodiscard]] Host& Follower() {
    return hosts[0].get() == leader() ? *hosts[1] : *hosts[0];
  }

  /// \brief Proposes a command and waits until it is committed.
  /// \returns whether it was within `limit`.
  bool Commit(const std::string& command, Millis limit) {
    BOOST_REQUIRE(leader());
    const auto index = leader()->replica->Propose(command, now);
    BOOST_REQUIRE(index);
    return RunUntil(
        [&] {
          return leader() && leader()->replica->commit_index() >= index.value();
        },
        limit);
  }

  std::map<std::string, std::size_t> bytes_to;

 private:
  std::map<std::string, TimePoint> link_free_at_;
};

// Guards against a leader that commits nothing any more because it sends a
// follower that was away the same large entries again and again.
BOOST_AUTO_TEST_CASE(AReturningFollowerDoesNotStopCommits) {
  LimitedCluster cluster;
  cluster.StartAll();
  Cluster::Host& away = cluster.Follower();
  cluster.Crash(away);
  constexpr std::size_t kEntries = 20;
  for (std::size_t i = 0; i < kEntries; ++i) {
    BOOST_REQUIRE(
        cluster.Commit(std::string(kLargeEntryBytes, 'a'), Millis(2'000)));
    cluster.Step(Millis(10));
  }
  cluster.bytes_to.clear();
  BOOST_REQUIRE(cluster.Start(away));
  for (int i = 0; i < 200; ++i) {
    BOOST_REQUIRE(cluster.Commit("small", Millis(1'000)));
    cluster.RunUntil([] { return false; }, Millis(50));
  }
  BOOST_TEST(cluster.Converged());
  const double needed = kEntries * kLargeEntryBytes;
  BOOST_TEST(static_cast<double>(cluster.bytes_to[away.name]) <=
             kMaxOverhead * needed);
}

// Guards against entries that are sent again while they are on their way: on a
// full link that repeats until nothing arrives within the call's timeout.
BOOST_AUTO_TEST_CASE(LargeEntriesAreSentOnce) {
  LimitedCluster cluster;
  cluster.StartAll();
  cluster.bytes_to.clear();
  BOOST_TEST(
      cluster.Commit(std::string(kMaxCommandBytes, 'a'), Millis(10'000)));
  BOOST_TEST(
      cluster.RunUntil([&] { return cluster.Converged(); }, Millis(10'000)));
  for (const auto& [host, bytes] : cluster.bytes_to)
    BOOST_TEST(static_cast<double>(bytes) <= kMaxOverhead * kMaxCommandBytes);
}

// Guards against a leader that sends entries again and again on a link that is
// slower than it assumes: with each loss it has to wait longer.
BOOST_AUTO_TEST_CASE(ASlowerLinkThanAssumedOnlyDelays) {
  constexpr std::size_t kSlowLinkBytesPerMs = kMinTransferBytesPerMs / 2;
  constexpr std::size_t kBytes = 400'000;
  LimitedCluster cluster(kSlowLinkBytesPerMs);
  cluster.StartAll();
  BOOST_TEST(cluster.Commit(std::string(kBytes, 'a'), Millis(60'000)));
  BOOST_TEST(
      cluster.RunUntil([&] { return cluster.Converged(); }, Millis(60'000)));
}

// Guards against a chunk of a snapshot that is sent again with each heartbeat
// until it has arrived.
BOOST_AUTO_TEST_CASE(SnapshotChunksAreSentOnce) {
  LimitedCluster cluster(2 * kMinTransferBytesPerMs);
  cluster.options.snapshot_entries = 50;
  cluster.options.retain_entries = 5;
  cluster.StartAll();
  Cluster::Host& away = cluster.Follower();
  cluster.Crash(away);
  constexpr std::size_t kEntries = 60;
  constexpr std::size_t kBytes = 100'000;
  for (std::size_t i = 0; i < kEntries; ++i) {
    BOOST_REQUIRE(cluster.Commit(std::string(kBytes, 'a'), Millis(5'000)));
  }
  BOOST_REQUIRE(cluster.RunUntil(
      [&] {
        return std::all_of(
            cluster.hosts.begin(), cluster.hosts.end(), [&](const auto& host) {
              return host.get() == &away ||
                     host->replica->applied_index() ==
                         cluster.leader()->replica->commit_index();
            });
      },
      kSettleTime));
  cluster.bytes_to.clear();
  BOOST_REQUIRE(cluster.Start(away));
  BOOST_TEST(
      cluster.RunUntil([&] { return cluster.Converged(); }, Millis(60'000)));
  BOOST_TEST(static_cast<double>(cluster.bytes_to[away.name]) <=
             kMaxOverhead * kEntries * kBytes);
}

}  // namespace
}  // namespace boragewinch::raft
