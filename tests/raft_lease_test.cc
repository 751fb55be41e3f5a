#define BOOST_TEST_MODULE raft_lease
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "formed_cluster.h"

// Leadership: confirmation, lease, transfer, and the steps of a leader that was
// frozen, stalled or lost.
namespace boragewinch::raft {
namespace {

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

// Guards against a leader that accepts a command after its process was frozen
// for longer than the election timeout.
BOOST_AUTO_TEST_CASE(FrozenLeaderStepsDownBeforeItActs) {
  Formed cluster(3);
  Cluster::Host& leader = *cluster.leader();
  const auto refused =
      leader.replica->Propose("x", cluster.now + Millis(5'000));
  BOOST_REQUIRE(!refused);
  BOOST_TEST((refused.error().code == ErrorCode::kNotLeader));
}

// Guards against a leader that got no CPU time and steps down although the
// replies that confirm it are unread in its sockets, which leaves the cluster
// without a leader.
BOOST_AUTO_TEST_CASE(AStalledLeaderSendsAHeartbeatBeforeItStepsDown) {
  Formed cluster(3);
  Replica& leader = *cluster.leader()->replica;
  const std::uint64_t term = leader.term();
  const TimePoint before = cluster.now;
  const Millis timeout = cluster.options.node.election_timeout;
  cluster.now += timeout + Millis(1);
  leader.NotifyStall(cluster.now);
  leader.Tick(cluster.now);
  // Its last confirmation is too old, but it is still leader.
  BOOST_TEST((leader.role() == Role::kLeader));
  BOOST_TEST((*leader.ConfirmedAt(cluster.now) <= before));
  // Without replies it steps down.
  leader.NotifyStall(cluster.now + timeout / 4);
  leader.Tick(cluster.now + timeout / 2);
  BOOST_TEST((leader.role() == Role::kFollower));
  BOOST_TEST(leader.term() == term);
}

// Guards against a read that is confirmed without replies of a majority to
// messages sent after the request, or never.
BOOST_AUTO_TEST_CASE(ConfirmationNeedsAMajorityAfterTheRequest) {
  Formed cluster(3);
  Replica& leader = *cluster.leader()->replica;
  cluster.network = [](const Cluster::Sent&) { return std::vector<Millis>{}; };
  cluster.Step(Millis(50));
  const TimePoint requested_at = cluster.now;
  BOOST_REQUIRE(leader.RequestConfirmation(requested_at));
  cluster.Step(Millis(50));
  BOOST_TEST((leader.ConfirmedAt(cluster.now) < requested_at));
  cluster.network = [](const Cluster::Sent&) {
    return std::vector<Millis>{Millis(1)};
  };
  BOOST_REQUIRE(leader.RequestConfirmation(cluster.now));
  cluster.Step(Millis(5));
  cluster.Step(Millis(5));
  BOOST_TEST((leader.ConfirmedAt(cluster.now) >= requested_at));
}

// Guards against two leaders that act at the same time: a follower that was
// restarted has confirmed the lease of the leader, and votes for a replica that
// the leader can't reach.
BOOST_AUTO_TEST_CASE(ARestartedFollowerRespectsTheLease) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Formed cluster(3, seed);
    Cluster::Host& leader = *cluster.leader();
    std::vector<Cluster::Host*> followers;
    for (const auto& host : cluster.hosts) {
      if (host.get() != &leader)
        followers.push_back(host.get());
    }
    const std::string cut = followers[1]->name;
    cluster.network = [&](const Cluster::Sent& sent) {
      const bool lost =
          (sent.from_host == cut && sent.to_host == leader.name) ||
          (sent.to_host == cut && sent.from_host == leader.name);
      return lost ? std::vector<Millis>{} : std::vector<Millis>{Millis(1)};
    };
    cluster.RunUntil([] { return false; }, Millis(2'000));
    BOOST_REQUIRE(cluster.LeaseHolders() == 1U);
    cluster.Crash(*followers[0]);
    BOOST_REQUIRE(cluster.Start(*followers[0]));
    std::size_t holders = 0;
    cluster.RunUntil(
        [&] {
          holders = std::max(holders, cluster.LeaseHolders());
          return false;
        },
        Millis(3'000));
    BOOST_TEST(holders == 1U, "seed " << seed);
  }
}

// Guards against a lost leader that is not replaced within 2 s, the bound
// stated in the design.
BOOST_AUTO_TEST_CASE(LostLeaderIsReplacedInTime) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Formed cluster(seed % 2 == 0 ? 3 : 5, seed);
    cluster.Crash(*cluster.leader());
    BOOST_TEST_CONTEXT("seed " << seed)
    BOOST_TEST(cluster.RunUntil([&] { return cluster.leader() != nullptr; },
                                Millis(2'000)));
  }
}

// Guards against a planned stop that waits for an election timeout.
BOOST_AUTO_TEST_CASE(LeadershipIsTransferredAtOnce) {
  Formed cluster(3);
  const Cluster::Host* before = cluster.leader();
  BOOST_REQUIRE(cluster.leader()->replica->TransferLeadership(cluster.now));
  BOOST_TEST(cluster.RunUntil(
      [&] { return cluster.leader() && cluster.leader() != before; },
      Millis(100)));
}

// Guards against two active leaders: the target of a transfer is elected
// without waiting for the lease of the leader that asked it.
BOOST_AUTO_TEST_CASE(NoConfirmationAfterALeadershipTransfer) {
  Formed cluster(3);
  Replica& leader = *cluster.leader()->replica;
  BOOST_REQUIRE(leader.ConfirmedAt(cluster.now));
  BOOST_REQUIRE(leader.TransferLeadership(cluster.now));
  BOOST_TEST(!leader.ConfirmedAt(cluster.now));
}

// Guards against a term without an active leader after the kTimeoutNow of a
// transfer is lost, or delayed until after the transfer has timed out.
BOOST_AUTO_TEST_CASE(AFailedTransferEndsInANewTerm) {
  for (const bool delayed : {false, true}) {
    Formed cluster(3);
    const std::uint64_t term = cluster.leader()->replica->term();
    cluster.network = [&](const Cluster::Sent& sent) {
      if (sent.message.kind != MessageKind::kTimeoutNow)
        return std::vector<Millis>{Millis(1)};
      return delayed ? std::vector<Millis>{Millis(520)} : std::vector<Millis>{};
    };
    BOOST_REQUIRE(cluster.leader()->replica->TransferLeadership(cluster.now));
    const Millis limit = cluster.options.node.election_timeout + Millis(100);
    BOOST_TEST(cluster.RunUntil(
        [&] {
          const Cluster::Host* const leader = cluster.leader();
          return leader && leader->replica->term() > term &&
                 leader->replica->ConfirmedAt(cluster.now);
        },
        limit));
    cluster.WaitUntilConverged();
  }
}

}  // namespace
}  // namespace boragewinch::raft
