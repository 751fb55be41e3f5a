#define BOOST_TEST_MODULE raft
#include <boost/test/unit_test.hpp>

#include <boost/test/data/test_case.hpp>

#include "base/invariant.h"
#include "formed_cluster.h"

namespace boragewinch::raft {
namespace {

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

constexpr std::size_t kSizes[] = {1, 3, 5};

// Guards against a cluster that can't form, replicate or survive a restart.
BOOST_DATA_TEST_CASE(FormsReplicatesAndRestarts, kSizes, size) {
  Formed cluster(size);
  for (int i = 0; i < 10; ++i)
    cluster.Put("c" + std::to_string(i));
  cluster.WaitUntilConverged();
  for (const auto& host : cluster.hosts) {
    BOOST_TEST(host->commands.size() == 10);
    cluster.Crash(*host);
    BOOST_REQUIRE(cluster.Start(*host));
  }
  cluster.WaitUntilConverged();
  BOOST_TEST(cluster.leader()->commands.size() == 10);
}

// Guards against a replica that returns from a partition and deposes the leader
// (pre-vote), and against a leader that keeps its role without a majority.
BOOST_AUTO_TEST_CASE(PartitionedReplicaDoesNotDeposeTheLeader) {
  Formed cluster(3);
  Cluster::Host& leader = *cluster.leader();
  const std::uint64_t term = leader.replica->term();
  std::string alone = cluster.hosts[0].get() == &leader ? "h1" : "h0";
  const auto cut = [&alone](const Cluster::Sent& sent) {
    return sent.from_host == alone || sent.to_host == alone
               ? std::vector<Millis>{}
               : std::vector<Millis>{Millis(1)};
  };
  cluster.network = cut;
  cluster.RunUntil([] { return false; }, Millis(10'000));
  BOOST_TEST((cluster.Find(alone)->replica->role() == Role::kPreCandidate));
  alone.clear();
  cluster.Put("x");
  cluster.WaitUntilConverged();
  BOOST_TEST(cluster.leader() == &leader);
  BOOST_TEST(leader.replica->term() == term);

  // Now the leader is partitioned: it steps down within one election timeout
  // and accepts no command.
  alone = leader.name;
  cluster.RunUntil([] { return false; }, Millis(600));
  BOOST_TEST((leader.replica->role() != Role::kLeader));
  const auto refused = leader.replica->Propose("y", cluster.now);
  BOOST_REQUIRE(!refused);
  BOOST_TEST((refused.error().code == ErrorCode::kNotLeader));
}

// Guards against two votes in one term by a replica that was restarted.
BOOST_AUTO_TEST_CASE(VoteSurvivesARestart) {
  Formed cluster(3);
  for (const auto& host : cluster.hosts)
    cluster.Crash(*host);
  Cluster::Host& voter = *cluster.hosts[0];
  BOOST_REQUIRE(cluster.Start(voter));
  std::vector<ReplicaId> candidates;
  for (const ReplicaId& id : voter.replica->configuration().voters) {
    if (id != voter.replica->id())
      candidates.push_back(id);
  }
  Message vote;
  vote.kind = MessageKind::kVote;
  vote.cluster = voter.replica->cluster();
  vote.to = voter.replica->id();
  vote.boots = 99;
  vote.term = 50;
  vote.log_term = 49;
  for (const ReplicaId& candidate : candidates) {
    vote.from = candidate;
    // A replica does not vote within the election timeout after its start.
    cluster.now += cluster.options.node.election_timeout;
    BOOST_REQUIRE(voter.replica->Receive(vote, cluster.now));
    BOOST_TEST(voter.replica->term() == 50);
    BOOST_TEST(voter.replica->node().vote() == candidates[0]);
    cluster.Crash(voter);
    BOOST_REQUIRE(cluster.Start(voter));
  }
}

// Guards against an entry of an earlier term that is committed by counting
// copies alone (the Raft paper's figure 8).
BOOST_AUTO_TEST_CASE(OldTermIsNotCommittedAlone) {
  const ReplicaId self("a.1");
  const ReplicaId other("b.1");
  Snapshot snapshot;
  snapshot.configuration.voters = {self, other, ReplicaId("c.1")};
  NodeState state;
  state.term = 3;
  state.snapshot = std::make_shared<const Snapshot>(snapshot);
  state.entries = {{2, EntryKind::kCommand, "old"}};
  TimePoint now{Millis(0)};
  Node node(
      self, NodeOptions(), [] { return 0; }, state, now);
  node.Tick(now += Millis(600));
  const auto reply = [&](MessageKind kind, std::uint64_t term,
                         std::uint64_t index) {
    Message message;
    message.kind = kind;
    message.from = other;
    message.to = self;
    message.term = term;
    message.granted = true;
    message.index = index;
    node.Step(message, now);
    (void)node.TakeActions();
    node.Persisted(node.log().last_index(), now);
  };
  reply(MessageKind::kPreVoteReply, 4, 0);
  reply(MessageKind::kVoteReply, 4, 0);
  BOOST_REQUIRE((node.role() == Role::kLeader));
  reply(MessageKind::kAppendReply, 4, 1);
  BOOST_TEST(node.commit_index() == 0);
  BOOST_TEST(!node.ConfirmedAt(now));
  // A membership change also waits for the first commit of this term.
  const auto change = node.Change(MemberChange::kRemove, other, now);
  BOOST_REQUIRE(!change);
  BOOST_TEST((change.error().code == ErrorCode::kUnavailable));
  reply(MessageKind::kAppendReply, 4, 2);
  BOOST_TEST(node.commit_index() == 2);
}

struct VoteCase {
  const char* self;
  std::uint64_t config_index;
  bool granted;
};
std::ostream& operator<<(std::ostream& out, const VoteCase& vote_case) {
  return out << vote_case.self << " " << vote_case.config_index;
}
constexpr VoteCase kVoteCases[] = {
    {"voter.1", 5, true},
    {"learner.1", 5, false},
    {"learner.1", 6, true},  // promoted by an entry it has not received yet
};

// Guards against votes by a learner that no configuration entry made a voter.
BOOST_DATA_TEST_CASE(LearnersDoNotVote, kVoteCases, vote_case) {
  Snapshot snapshot;
  snapshot.index = 5;
  snapshot.configuration.voters = {ReplicaId("a.1"), ReplicaId("voter.1")};
  snapshot.configuration.learners = {ReplicaId("learner.1")};
  NodeState state;
  state.snapshot = std::make_shared<const Snapshot>(snapshot);
  const TimePoint now{Millis(0)};
  Node node(
      ReplicaId(vote_case.self), {}, [] { return 0; }, state, now);
  Message vote;
  vote.from = ReplicaId("a.1");
  vote.term = 9;
  vote.index = 9;
  vote.log_term = 8;
  vote.config_index = vote_case.config_index;
  for (const auto kind : {MessageKind::kPreVote, MessageKind::kVote}) {
    vote.kind = kind;
    node.Step(vote, now);
    const Actions actions = node.TakeActions();
    BOOST_REQUIRE(actions.messages.size() == 1);
    BOOST_TEST(actions.messages[0].granted == vote_case.granted);
  }
}

struct AppendCase {
  const char* name;
  std::uint64_t prev_index;
  std::uint64_t prev_term;
  std::uint64_t entry_term;
  bool granted;
  std::size_t violations;
  std::uint64_t last_index;
};
std::ostream& operator<<(std::ostream& out, const AppendCase& append) {
  return out << append.name;
}
// The follower has entries of terms 1, 1 and 2; the first one is committed.
constexpr AppendCase kAppendCases[] = {
    {"extends", 3, 2, 3, true, 0, 4},
    {"replaces", 1, 1, 3, true, 0, 2},
    {"repeats", 0, 0, 1, true, 0, 3},
    {"gap", 4, 2, 3, false, 0, 3},
    {"other term", 3, 3, 3, false, 0, 3},
    {"replaces committed", 0, 0, 3, false, 1, 3},
};

// Guards against entries appended to a log that does not match, and against a
// committed entry being replaced, which must be rejected and reported.
BOOST_DATA_TEST_CASE(EntriesAreAppendedOnlyToAMatchingLog,
                     kAppendCases,
                     append) {
  const ReplicaId self("a.1");
  NodeState state;
  state.term = 3;
  state.snapshot = std::make_shared<const Snapshot>();
  state.entries = {{1, EntryKind::kCommand, "a"},
                   {1, EntryKind::kCommand, "b"},
                   {2, EntryKind::kCommand, "c"}};
  const TimePoint now{Millis(0)};
  Node node(
      self, NodeOptions(), [] { return 0; }, state, now);
  Message message;
  message.from = ReplicaId("b.1");
  message.to = self;
  message.term = 3;
  message.index = 1;
  message.log_term = 1;
  message.commit = 1;
  node.Step(message, now);
  BOOST_REQUIRE(node.commit_index() == 1);
  (void)node.TakeActions();
  std::size_t violations = 0;
  const auto previous = SetInvariantHandler(
      [&violations](Invariant, std::string_view) { ++violations; });
  message.index = append.prev_index;
  message.log_term = append.prev_term;
  message.entries = {{append.entry_term, EntryKind::kCommand, "x"}};
  node.Step(message, now);
  const Actions actions = node.TakeActions();
  BOOST_TEST((!actions.messages.empty() && actions.messages[0].granted) ==
             append.granted);
  BOOST_TEST(node.log().last_index() == append.last_index);

  // A leader with a different committed prefix and a second leader in the same
  // term are violations too.
  message.entries.clear();
  message.index = node.log().last_index();
  message.log_term = node.log().last_term();
  message.commit = message.index;
  message.chain = 12345;
  node.Step(message, now);
  BOOST_TEST(violations == append.violations + 1);
  message.from = ReplicaId("c.1");
  node.Step(message, now);
  BOOST_TEST(violations == append.violations + 2);
  BOOST_TEST(node.commit_index() == 1);
  SetInvariantHandler(previous);
}

// Guards against a rejoined replica that votes or counts before its promotion,
// and against a replica with a lost disk that is never replaced.
BOOST_AUTO_TEST_CASE(LostDiskRejoinsUnderANewIdentity) {
  Formed cluster(3);
  cluster.Put("x");
  cluster.WaitUntilConverged();
  Cluster::Host& lost =
      *cluster.hosts[cluster.leader() == cluster.hosts[0].get() ? 1 : 0];
  const ReplicaId before = lost.replica->id();
  cluster.Crash(lost);
  lost.disk.Wipe();
  BOOST_REQUIRE(cluster.Start(lost));
  BOOST_TEST(lost.replica->id() != before);
  Message vote;
  vote.kind = MessageKind::kVote;
  vote.cluster = cluster.leader()->replica->cluster();
  vote.from = before;
  vote.to = lost.replica->id();
  vote.term = 99;
  (void)lost.replica->Receive(vote, cluster.now);
  BOOST_TEST(lost.replica->node().vote().empty());
  cluster.WaitUntilConverged();
  BOOST_TEST(lost.commands.size() == 1);
  BOOST_TEST(!lost.replica->configuration().IsMember(before));
}

// Guards against a second cluster formed by replicas without data while a
// member of the first is only unreachable.
BOOST_AUTO_TEST_CASE(ClusterIsFormedOnlyOnce) {
  Formed cluster(3);
  const std::string first = cluster.leader()->replica->cluster();
  cluster.hosts[2]->frozen = true;
  for (int i = 0; i < 2; ++i) {
    cluster.Crash(*cluster.hosts[i]);
    cluster.hosts[i]->disk.Wipe();
    BOOST_REQUIRE(cluster.Start(*cluster.hosts[i]));
  }
  for (const bool frozen : {true, false}) {
    cluster.hosts[2]->frozen = frozen;
    cluster.RunUntil([] { return false; }, Millis(10'000));
    for (int i = 0; i < 2; ++i)
      BOOST_TEST(cluster.hosts[i]->replica->cluster().empty());
  }
  BOOST_TEST(cluster.hosts[2]->replica->cluster() == first);
}

// Guards against a follower that runs with an old copy of its directory and
// keeps voting. It is detected by missing entries or a repeated `boots` number.
BOOST_DATA_TEST_CASE(OldCopyOfADirectoryIsDemoted,
                     boost::unit_test::data::make({0, 1, 2}),
                     starts_after_copy) {
  Formed cluster(3);
  Cluster::Host& leader = *cluster.leader();
  Cluster::Host& old =
      *cluster.hosts[&leader == cluster.hosts[0].get() ? 1 : 0];
  const auto copy = old.disk.Copy();
  for (int i = 0; i < starts_after_copy; ++i) {
    cluster.Crash(old);
    BOOST_REQUIRE(cluster.Start(old));
    cluster.WaitUntilConverged();
  }
  for (int i = 0; i < 5; ++i)
    cluster.Put("x");
  cluster.WaitUntilConverged();
  BOOST_REQUIRE(cluster.leader() == &leader);
  cluster.Crash(old);
  old.disk.Restore(copy);
  BOOST_REQUIRE(cluster.Start(old));
  const ReplicaId id = old.replica->id();
  BOOST_TEST(cluster.RunUntil(
      [&] { return leader.replica->configuration().retired.count(id) > 0; },
      Millis(10'000)));
  BOOST_REQUIRE(!leader.errors.empty());
  BOOST_TEST((leader.errors[0].code == ErrorCode::kConflict));
  // It remains a learner until its directory is emptied.
  cluster.RunUntil([] { return false; }, Millis(10'000));
  BOOST_TEST(!leader.replica->configuration().IsVoter(id));
  cluster.Crash(old);
  old.disk.Wipe();
  BOOST_REQUIRE(cluster.Start(old));
  cluster.WaitUntilConverged();
}

// Guards against messages from an earlier start, an old copy of a data
// directory or another cluster, or for an earlier replica of this host.
BOOST_AUTO_TEST_CASE(StaleAndForeignMessagesAreRefused) {
  Formed cluster(3);
  Replica& replica = *cluster.hosts[0]->replica;
  Message good;
  good.kind = MessageKind::kVoteReply;
  good.cluster = replica.cluster();
  good.from = cluster.hosts[1]->replica->id();
  good.to = replica.id();
  good.boots = 7;
  good.session = "a";
  const auto code = [&](const Message& message) {
    const Status status = replica.Receive(message, cluster.now);
    return std::string(status ? "ok" : kErrorCodes.Name(status.error().code));
  };
  BOOST_TEST(code(good) == "ok");
  Message bad = good;
  bad.boots = 6;
  BOOST_TEST(code(bad) == "fenced");
  bad = good;
  bad.session = "b";
  BOOST_TEST(code(bad) == "fenced");
  bad = good;
  bad.cluster = "other";
  BOOST_TEST(code(bad) == "conflict");
  bad = good;
  bad.to = ReplicaId("h0.0");
  BOOST_TEST(code(bad) == "conflict");
}

// Guards against concurrent membership changes, whose majorities need not
// overlap, and against invalid changes.
BOOST_AUTO_TEST_CASE(MembersChangeOneAtATime) {
  Formed cluster(5);
  Replica& leader = *cluster.leader()->replica;
  std::vector<ReplicaId> others;
  for (const ReplicaId& id : leader.configuration().voters) {
    if (id != leader.id())
      others.push_back(id);
  }
  const auto code = [&](MemberChange change, const ReplicaId& id) {
    const auto index = leader.Change(change, id, cluster.now);
    return std::string(index ? "ok" : kErrorCodes.Name(index.error().code));
  };
  BOOST_TEST(code(MemberChange::kPromote, ReplicaId("x.1")) == "unavailable");
  BOOST_TEST(code(MemberChange::kDemote, ReplicaId("x.1")) == "conflict");
  BOOST_TEST(code(MemberChange::kAddLearner, others[0]) == "conflict");
  BOOST_TEST(code(MemberChange::kDemote, others[0]) == "ok");
  BOOST_TEST(code(MemberChange::kRemove, others[1]) == "unavailable");
  BOOST_REQUIRE(cluster.RunUntil(
      [&] { return !leader.node().change_pending(); }, Millis(1'000)));
  BOOST_TEST(code(MemberChange::kPromote, others[0]) == "conflict");
  BOOST_TEST(code(MemberChange::kRemove, others[0]) == "ok");
}

// Guards against a follower that never learns of a commit that is not announced
// in a separate message, and against sending such messages.
BOOST_AUTO_TEST_CASE(CommitsAreSentWithTheNextMessage) {
  const auto appends_of = [](bool announce) {
    Formed cluster(3);
    cluster.options.node.announce_commits = announce;
    for (const auto& host : cluster.hosts) {
      cluster.Crash(*host);
      BOOST_REQUIRE(cluster.Start(*host));
    }
    cluster.WaitUntilConverged();
    std::size_t appends = 0;
    cluster.network = [&appends](const Cluster::Sent& sent) {
      appends += sent.message.kind == MessageKind::kAppend ? 1 : 0;
      return std::vector<Millis>{Millis(1)};
    };
    for (int i = 0; i < 50; ++i) {
      cluster.Put("c" + std::to_string(i));
      cluster.Step(Millis(10));
      cluster.Step(Millis(10));
    }
    const std::size_t sent = appends;
    // No entries follow the last commit, so a heartbeat announces it.
    BOOST_TEST(
        cluster.RunUntil([&] { return cluster.Converged(); }, Millis(200)));
    return sent;
  };
  BOOST_TEST(appends_of(true) >= 200U);
  BOOST_TEST(appends_of(false) <= 110U);
}

// Guards against a restart or rejoin that needs the whole log, and against a
// snapshot that is reassembled wrongly from its chunks.
BOOST_AUTO_TEST_CASE(SnapshotsBoundTheLogAndReachNewReplicas) {
  Formed cluster(3);
  for (const auto& host : cluster.hosts) {
    cluster.options.snapshot_entries = 50;
    cluster.options.retain_entries = 5;
    cluster.options.node.snapshot_chunk_bytes = 64;
    cluster.options.log.segment_bytes = 500;
    cluster.Crash(*host);
    BOOST_REQUIRE(cluster.Start(*host));
  }
  cluster.WaitUntilConverged();
  for (int i = 0; i < 500; ++i) {
    cluster.Put("command " + std::to_string(i));
    if (i % 20 == 0)
      cluster.WaitUntilConverged();
  }
  cluster.WaitUntilConverged();
  Cluster::Host& lost =
      *cluster.hosts[cluster.leader() == cluster.hosts[0].get() ? 1 : 0];
  BOOST_TEST(lost.replica->node().log().base_index() > 400);
  cluster.Crash(lost);
  lost.disk.Wipe();
  BOOST_REQUIRE(cluster.Start(lost));
  cluster.WaitUntilConverged();
  BOOST_TEST(lost.commands.size() == 500);
  BOOST_TEST((lost.commands == cluster.leader()->commands));
}

// Guards against a restarted replica that is blocked until it has applied its
// whole log. After a power failure the new leader and its followers did not
// respond for 0.7 s, so the next election came before the leader was ready.
BOOST_AUTO_TEST_CASE(ARestartedReplicaAppliesItsLogInBatches) {
  constexpr std::size_t kCommands = 300;
  constexpr std::size_t kBatch = 10;
  Formed cluster(3);
  for (std::size_t i = 0; i < kCommands; ++i) {
    cluster.Put("command " + std::to_string(i));
    if (i % 20 == 0)
      cluster.WaitUntilConverged();
  }
  cluster.WaitUntilConverged();
  cluster.options.max_apply_batch = kBatch;
  for (const auto& host : cluster.hosts)
    cluster.Crash(*host);
  for (const auto& host : cluster.hosts) {
    host->commands.clear();
    BOOST_REQUIRE(cluster.Start(*host));
  }
  BOOST_REQUIRE(cluster.RunUntil([&] { return cluster.leader() != nullptr; },
                                 Millis(5'000)));
  const Cluster::Host* first = cluster.leader();
  bool was_behind = false;
  while (!first->replica->ConfirmedAt(cluster.now)) {
    const std::size_t before = first->commands.size();
    cluster.Step(Millis(5));
    // One tick and the replies of two followers.
    BOOST_TEST(first->commands.size() - before <= 3 * kBatch);
    was_behind = was_behind || first->replica->behind();
    BOOST_REQUIRE((cluster.leader() == first));
  }
  BOOST_TEST(was_behind);
  BOOST_TEST(first->commands.size() == kCommands);
}

// Guards against a replica that keeps running after its storage has failed.
BOOST_AUTO_TEST_CASE(FailedStorageStopsTheReplica) {
  Formed cluster(3);
  Cluster::Host& leader = *cluster.leader();
  leader.disk.fail_sync = true;
  const auto index = leader.replica->Propose("x", cluster.now);
  BOOST_REQUIRE(!index);
  BOOST_TEST((index.error().code == ErrorCode::kStorageWrite));
  BOOST_TEST((leader.replica->role() == Role::kFollower));
  leader.disk.fail_sync = false;
  BOOST_TEST(!leader.replica->Propose("y", cluster.now));
  cluster.Crash(leader);
  BOOST_REQUIRE(cluster.Start(leader));
  cluster.WaitUntilConverged();
}

struct Missing {
  const char* name;
  std::string_view path;
  const char* expected;
};
std::ostream& operator<<(std::ostream& out, const Missing& missing) {
  return out << missing.name;
}
constexpr Missing kMissing[] = {
    {"identity", "d/identity", "storage_missing"},
    {"log", "d/log-00000000000000000001", "storage_missing"},
    {"other host", "", "conflict"},
    {"second process", "d/lock", "conflict"},
};

// Guards against a start with an incomplete data directory, or with one that
// belongs to another host or process.
BOOST_DATA_TEST_CASE(IncompleteDirectoryIsRefused, kMissing, missing) {
  Formed cluster(3);
  Cluster::Host& host = *cluster.hosts[0];
  if (missing.path == "d/lock") {
    ReplicaOptions options = cluster.options;
    options.host = host.name;
    Replica second(host.disk.Hooks(), options, {}, [] { return 1; });
    const Status started = second.Start(cluster.now);
    BOOST_REQUIRE(!started);
    BOOST_TEST(kErrorCodes.Name(started.error().code) == missing.expected);
    return;
  }
  cluster.Crash(host);
  if (missing.path.empty())
    host.name = "h9";
  else
    BOOST_REQUIRE(host.disk.Hooks().remove(std::string(missing.path)));
  const Status status = cluster.Start(host);
  BOOST_REQUIRE(!status);
  BOOST_TEST(kErrorCodes.Name(status.error().code) == missing.expected);
}

}  // namespace
}  // namespace boragewinch::raft
