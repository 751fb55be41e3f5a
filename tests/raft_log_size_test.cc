#define BOOST_TEST_MODULE raft_log_size
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <string>

#include "formed_cluster.h"

namespace boragewinch::raft {
namespace {

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

constexpr std::size_t kCommandBytes = 1'000;
constexpr std::uint64_t kSnapshotBytes = 16'000;
constexpr std::uint64_t kRetainBytes = 8'000;
constexpr std::uint64_t kSegmentBytes = 4'000;

/// Hosts whose commands are large and replace the state, as configurations do,
/// and reach no limit on the number of entries.
struct LargeCommands : Formed {
  LargeCommands() : Formed(3) {
    commands_replace_state = true;
    options.snapshot_bytes = kSnapshotBytes;
    options.retain_bytes = kRetainBytes;
    options.log.segment_bytes = kSegmentBytes;
    for (const auto& host : hosts) {
      Crash(*host);
      BOOST_REQUIRE(Start(*host));
    }
    WaitUntilConverged();
  }

  void PutLarge() {
    std::string command = std::to_string(++commands);
    command.resize(kCommandBytes, '.');
    Put(command);
    WaitUntilConverged();
    for (const auto& host : hosts) {
      BOOST_TEST(LogBytes(*host) <=
                 2 * kSnapshotBytes + kRetainBytes + kCommandBytes);
    }
  }

  [[nodiscard]] static std::uint64_t LogBytes(const Host& host) {
    const RaftLog& log = host.replica->node().log();
    return log.BytesBetween(log.base_index(), log.last_index());
  }

  int commands = 0;
};

// Guards against a log whose memory and disk space grow with the size of its
// entries, until the disk is full.
BOOST_FIXTURE_TEST_CASE(LargeEntriesDoNotFillTheDisk, LargeCommands) {
  for (const auto& host : hosts)
    host->disk.capacity = 64'000;
  hosts[0]->busy = true;  // puts its snapshots off
  for (int i = 0; i < 300; ++i)
    PutLarge();
  for (const auto& host : hosts) {
    BOOST_TEST(host->errors.empty());
    Crash(*host);
    BOOST_REQUIRE(Start(*host));
  }
  WaitUntilConverged();
  PutLarge();
}

// Guards against snapshots of a large state after each few small entries.
BOOST_FIXTURE_TEST_CASE(ALargeStateIsNotWrittenForASmallLog, LargeCommands) {
  commands_replace_state = false;
  for (int i = 0; i < 100; ++i)
    Put(std::string(kCommandBytes, 'x'));
  WaitUntilConverged();
  // The state has 100 KB, more than the limit, so 20 KB need no snapshot.
  Host& host = *hosts[0];
  for (int i = 0; i < 100 && LogBytes(host) > kRetainBytes; ++i) {
    Put(std::string(kCommandBytes, 'x'));
    WaitUntilConverged();
  }
  const int before = host.snapshots;
  for (int i = 0; i < 20; ++i)
    Put(std::string(kCommandBytes, 'x'));
  WaitUntilConverged();
  BOOST_TEST(host.snapshots == before);
}

}  // namespace
}  // namespace boragewinch::raft
