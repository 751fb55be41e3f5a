#define BOOST_TEST_MODULE ledger_replica
#include <boost/test/unit_test.hpp>

#include "single_replica.h"

namespace boragewinch::scheduler {
namespace {

struct Fixture : SingleReplica {
  Fixture() { Lead(); }

  /// \returns the result of storing a cancellation.
  Status StoreCancel() {
    return Store(
        [](jobs::Batch* batch) { batch->cancels.emplace_back("job"); });
  }
};

// Guards against kNotLeader (not stored) for a change that is in the log when
// the data directory is reopened: its job would run although the caller was
// rejected.
BOOST_FIXTURE_TEST_CASE(AFailedSyncLeavesTheOutcomeUnknown, Fixture) {
  BOOST_REQUIRE(StoreCancel());
  disk.fail_sync = true;
  const Status stored = StoreCancel();
  BOOST_REQUIRE(!stored);
  BOOST_TEST((stored.error().code == ErrorCode::kUnavailable));
}

// Guards against a crash when a replica that cannot reopen its data directory,
// for example on a full disk, is queried for its term.
BOOST_FIXTURE_TEST_CASE(AReplicaThatCannotReopenHasNoTerm, Fixture) {
  disk.fail_sync = true;
  BOOST_REQUIRE(!StoreCancel());
  RunFor(Millis(1'200));
  BOOST_TEST(replica->term() == 0U);
  BOOST_TEST(replica->LeaderHost().empty());
  BOOST_TEST(!replica->HasLeaderLease(loop.now()));
}

// Guards against a stored change that no replica can read from the log: none of
// them could lead after a restart.
BOOST_FIXTURE_TEST_CASE(AChangeThatReplicasCannotReadIsNotStored, Fixture) {
  const auto store_job = [this](const jobs::JobSpec& spec) {
    return Store([&](jobs::Batch* batch) {
      batch->submissions.push_back({jobs::JobId("job"), {}, {}, spec});
    });
  };
  const Status invalid = store_job(jobs::JobSpec());
  BOOST_REQUIRE(!invalid);
  BOOST_TEST((invalid.error().code == ErrorCode::kInvalidField));
  const Status too_large = Store([](jobs::Batch* batch) {
    batch->config.emplace();
    batch->config->version = 1;
    batch->config->document.assign(raft::kMaxCommandBytes, 'a');
  });
  BOOST_REQUIRE(!too_large);
  BOOST_TEST((too_large.error().code == ErrorCode::kTooLarge));
  BOOST_TEST(StoreCancel().has_value());
  replica.reset();
  Lead();
  BOOST_TEST(replica->HasLeaderLease(loop.now()));
}

}  // namespace
}  // namespace boragewinch::scheduler
