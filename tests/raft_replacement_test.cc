#define BOOST_TEST_MODULE raft_replacement
#include <boost/test/unit_test.hpp>

#include "raft_cluster.h"

namespace boragewinch::raft {
namespace {

/// Three voters that formed the cluster, and a fourth host that joins later and
/// is not named in the settings.
struct FourHosts {
  FourHosts() {
    cluster.options.hosts.pop_back();
    cluster.options.voters = 3;
    cluster.options.admit_any_host = true;
    cluster.on_violation = [](const std::string& text) { BOOST_ERROR(text); };
    for (std::size_t i = 0; i < 3; ++i)
      BOOST_REQUIRE(cluster.Start(*cluster.hosts[i]));
    BOOST_REQUIRE(
        cluster.RunUntil([&] { return Voters() == 3; }, Millis(5'000)));
    BOOST_REQUIRE(cluster.Start(*cluster.hosts[3]));
  }

  [[nodiscard]] std::size_t Voters() {
    Cluster::Host* leader = cluster.leader();
    return leader ? leader->replica->configuration().voters.size() : 0;
  }
  [[nodiscard]] bool IsVoter(std::size_t host) {
    Cluster::Host* leader = cluster.leader();
    return leader && leader->replica->configuration().IsVoter(
                         cluster.hosts[host]->replica->id());
  }
  [[nodiscard]] std::size_t Follower() {
    for (std::size_t i = 0; i < 3; ++i) {
      if (cluster.hosts[i].get() != cluster.leader())
        return i;
    }
    return 0;
  }

  Cluster cluster{4, 11};
};

// Guards against more voters than the target: a fourth voter does not let the
// cluster tolerate more losses, but each commit waits for more disks.
BOOST_FIXTURE_TEST_CASE(AFurtherHostStaysALearner, FourHosts) {
  const bool joined = cluster.RunUntil(
      [&] {
        return !cluster.leader()->replica->configuration().learners.empty();
      },
      Millis(5'000));
  BOOST_TEST(joined);
  BOOST_TEST(!cluster.RunUntil([&] { return IsVoter(3); }, Millis(5'000)));
  BOOST_TEST(Voters() == 3U);
}

// Guards against a permanently lost host that remains a voter: the next loss
// would stop the cluster.
BOOST_FIXTURE_TEST_CASE(APermanentlyLostHostIsReplaced, FourHosts) {
  cluster.Crash(*cluster.hosts[Follower()]);
  const bool replaced = cluster.RunUntil(
      [&] { return cluster.leader() && IsVoter(3) && Voters() == 3; },
      Millis(10'000));
  BOOST_REQUIRE(replaced);
  Cluster::Host* leader = cluster.leader();
  for (std::size_t i = 0; i < 3; ++i) {
    if (cluster.hosts[i]->replica && cluster.hosts[i].get() != leader)
      cluster.Crash(*cluster.hosts[i]);
  }
  const auto index = leader->replica->Propose("after", cluster.now);
  BOOST_REQUIRE(index);
  BOOST_TEST(cluster.RunUntil(
      [&] { return leader->replica->commit_index() >= index.value(); },
      Millis(3'000)));
}

// Guards against a replica that was removed while it was out of reach and then
// asks for votes for ever: nobody tells it that it is no member any more.
BOOST_FIXTURE_TEST_CASE(AReplicaThatMissedItsRemovalJoinsAgain, FourHosts) {
  const std::size_t away = Follower();
  Cluster::Host* host = cluster.hosts[away].get();
  const ReplicaId id = host->replica->id();
  cluster.Crash(*host);
  const auto is_member = [&] {
    Cluster::Host* leader = cluster.leader();
    return leader && leader->replica->configuration().IsMember(id);
  };
  const bool removed = cluster.RunUntil(
      [&] {
        Cluster::Host* leader = cluster.leader();
        if (leader && is_member())
          (void)leader->replica->Change(MemberChange::kRemove, id, cluster.now);
        return leader && !is_member() &&
               !leader->replica->node().change_pending();
      },
      Millis(10'000));
  BOOST_REQUIRE(removed);
  BOOST_REQUIRE(cluster.Start(*host));
  const bool joined = cluster.RunUntil(
      [&] {
        return is_member() && host->replica->commit_index() > 0 &&
               host->replica->role() == Role::kFollower;
      },
      Millis(10'000));
  BOOST_TEST(joined);
  BOOST_TEST((host->replica->id() == id));
}

}  // namespace
}  // namespace boragewinch::raft
