#define BOOST_TEST_MODULE storage
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <memory>

#include <boost/random/mersenne_twister.hpp>
#include <boost/test/data/test_case.hpp>

#include "memory_disk.h"
#include "storage/identity_file.h"
#include "storage/log_file.h"

namespace boragewinch {
namespace {

constexpr const char* kFirst = "d/log-00000000000000000001";
constexpr std::size_t kRecord = 41;  // size of a one-byte record with header

/// A disk with a log of `count` synced one-byte records.
struct Logged {
  explicit Logged(int count, std::uint64_t segment_bytes = 1'000) {
    options.segment_bytes = segment_bytes;
    auto log = Open();
    BOOST_REQUIRE(log);
    for (int i = 0; i < count; ++i)
      BOOST_REQUIRE(log->Append(std::string(1, static_cast<char>('a' + i))));
    BOOST_REQUIRE(log->Sync());
  }
  std::unique_ptr<LogFile> Open() {
    auto log = std::make_unique<LogFile>(disk.Hooks(), "d", options);
    opened = log->Open();
    return opened ? std::move(log) : nullptr;
  }
  /// \returns the concatenated records, or the name of the error.
  std::string Read() {
    if (!Open())
      return std::string(kErrorCodes.Name(opened.error().code));
    std::string text;
    for (const std::string& record : opened.value().records)
      text += record;
    return text;
  }

  MemoryDisk disk;
  LogFileOptions options;
  Result<LogRecovery> opened = LogRecovery();
};

struct Damage {
  const char* name;
  std::size_t cut_to;    // new size of the first segment, if not 0
  std::size_t flip;      // offset of the byte to change, if not 0
  std::size_t segment;   // segment size of the log
  const char* expected;  // what Read returns
  std::uint64_t truncated_bytes;
};
std::ostream& operator<<(std::ostream& out, const Damage& damage) {
  return out << damage.name;
}
// Records a to d; the header of d states that a to c were synced.
constexpr Damage kDamages[] = {
    {"intact", 0, 0, 1000, "abcd", 0},
    {"torn header", 3 * kRecord + 5, 0, 1000, "abc", 5},
    {"torn content", 4 * kRecord - 1, 0, 1000, "abc", kRecord - 1},
    {"damaged last record", 0, 4 * kRecord - 1, 1000, "abc", kRecord},
    {"damaged length of the last", 0, 3 * kRecord + 16, 1000, "abc", kRecord},
    {"damaged synced record", 0, 2 * kRecord - 1, 1000, "storage_corrupt", 0},
    {"damaged synced length", 0, kRecord + 16, 1000, "storage_corrupt", 0},
    {"damaged first byte", 0, 1, 1000, "storage_corrupt", 0},
    {"short closed segment", 2 * kRecord, 0, 3 * kRecord, "storage_corrupt", 0},
    {"damaged closed segment", 0, 3 * kRecord - 1, 3 * kRecord,
     "storage_corrupt", 0},
};

// Guards against a lost or damaged synced record being treated as a torn tail,
// and against a torn tail that prevents a replica from starting.
BOOST_DATA_TEST_CASE(DamageIsTruncatedOrRefused, kDamages, damage) {
  Logged logged(3, damage.segment);
  {
    auto log = logged.Open();
    BOOST_REQUIRE(log && log->Append("d") && log->Sync());
  }
  std::string& data = logged.disk.data(kFirst);
  if (damage.cut_to > 0)
    data.resize(damage.cut_to);
  if (damage.flip > 0)
    data[damage.flip] ^= 1;
  BOOST_TEST(logged.Read() == damage.expected);
  if (!logged.opened)
    return;
  BOOST_TEST(logged.opened.value().truncated_bytes == damage.truncated_bytes);
  // The log continues after the truncated tail.
  auto log = logged.Open();
  BOOST_REQUIRE(log && log->Append("z") && log->Sync());
  log.reset();
  BOOST_TEST(logged.Read() == damage.expected + std::string("z"));
}

// Guards against wrong records after a suffix, a prefix or all records were
// removed, within and across segments, before and after a restart.
BOOST_DATA_TEST_CASE(RemovalKeepsTheRest,
                     boost::unit_test::data::make({60U, 100U, 1000U}),
                     segment) {
  Logged logged(10, segment);
  auto log = logged.Open();
  BOOST_REQUIRE(log->TruncateSuffix(6));
  BOOST_TEST(log->next_index() == 6);
  BOOST_REQUIRE(log->Append("F") && log->Sync());
  BOOST_REQUIRE(log->DropPrefix(4));
  BOOST_TEST(log->first_index() <= 4);
  BOOST_TEST((log->TruncateSuffix(0).error().code == ErrorCode::kConflict));
  log.reset();
  BOOST_TEST(logged.Read().ends_with("deF"));
  BOOST_TEST(logged.opened.value().first_index <= 4);
  log = logged.Open();
  BOOST_REQUIRE(log->Reset(21) && log->Append("x") && log->Sync());
  log.reset();
  BOOST_TEST(logged.Read() == "x");
  BOOST_TEST(logged.opened.value().first_index == 21);
}

// Guards against a missing segment file that is not detected.
BOOST_AUTO_TEST_CASE(MissingSegmentIsRefused) {
  Logged logged(9, 100);
  BOOST_REQUIRE(logged.disk.Hooks().remove("d/log-00000000000000000004"));
  BOOST_TEST(logged.Read() == "storage_corrupt");
}

struct Failure {
  const char* name;
  void (*cause)(MemoryDisk* disk);
};
std::ostream& operator<<(std::ostream& out, const Failure& failure) {
  return out << failure.name;
}
constexpr Failure kFailures[] = {
    {"failed sync", [](MemoryDisk* disk) { disk->fail_sync = true; }},
    {"full disk", [](MemoryDisk* disk) { disk->capacity = 150; }},
    {"power failure", [](MemoryDisk* disk) { disk->fail_after_changes = 1; }},
};

// Guards against an acknowledgement after a failed write or fsync: a later
// fsync may succeed although the bytes were dropped.
BOOST_DATA_TEST_CASE(FailureIsFinalUntilRestart, kFailures, failure) {
  Logged logged(3);
  auto log = logged.Open();
  failure.cause(&logged.disk);
  BOOST_TEST(!(log->Append("x") && log->Sync()));
  logged.disk.fail_sync = false;
  logged.disk.capacity = SIZE_MAX;
  logged.disk.fail_after_changes = UINT64_MAX;
  BOOST_TEST(log->failed());
  for (const Status& status : {log->Append("y"), log->Sync(), log->Reset(1),
                               log->TruncateSuffix(2), log->DropPrefix(2)}) {
    BOOST_REQUIRE(!status);
    BOOST_TEST((status.error().code == ErrorCode::kStorageWrite));
  }
  log.reset();
  logged.disk.Crash([] { return 0; });
  BOOST_TEST(logged.Read() == "abc");
}

// Guards against the loss of synced records if the power fails at any point in
// a random sequence of operations, with short writes and torn tails.
BOOST_AUTO_TEST_CASE(SyncedRecordsSurviveCrashes) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    boost::random::mt19937_64 random(seed);
    Logged logged(0, 120);
    std::uint64_t first = 1;
    std::vector<std::string> synced;
    std::vector<std::string> written;
    for (int crash = 0; crash < 10; ++crash) {
      logged.disk.max_append = random() % 2 == 0 ? 9 : SIZE_MAX;
      logged.disk.fail_after_changes = random() % 60;
      // A failed truncation may or may not be done; only the records that
      // remain in both cases must survive.
      std::size_t guaranteed = synced.size();
      if (auto log = logged.Open()) {
        while (!log->failed()) {
          if (random() % 4 == 0 && !written.empty()) {
            const std::size_t keep = random() % written.size();
            guaranteed = std::min(guaranteed, keep);
            if (first + keep < log->first_index() ||
                !log->TruncateSuffix(first + keep))
              break;
            written.resize(keep);
            synced = written;
          } else if (random() % 3 == 0) {
            if (!log->Sync())
              break;
            synced = written;
          } else {
            written.push_back(std::to_string(random() % 1000));
            if (!log->Append(written.back()))
              break;
          }
          guaranteed = synced.size();
        }
      }
      logged.disk.Crash([&random] { return random(); });
      logged.disk.max_append = SIZE_MAX;
      auto log = logged.Open();
      BOOST_REQUIRE_MESSAGE(
          log,
          "seed " << seed << ": " << (log ? "" : logged.opened.error().Text()));
      const auto& found = logged.opened.value().records;
      BOOST_REQUIRE_MESSAGE(found.size() >= guaranteed, "seed " << seed);
      for (std::size_t i = 0; i < guaranteed; ++i)
        BOOST_REQUIRE_MESSAGE(found[i] == synced[i], "seed " << seed);
      written = synced = found;
    }
  }
}

// Guards against a file that holds neither the old nor the new content after a
// crash, and against damage that is not detected.
BOOST_AUTO_TEST_CASE(SnapshotIsOldOrNew) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    boost::random::mt19937_64 random(seed);
    MemoryDisk disk;
    const SnapshotFile file(disk.Hooks(), "d", "s");
    BOOST_REQUIRE(!file.Read().value());
    BOOST_REQUIRE(file.Write("old"));
    disk.max_append = 5;
    disk.fail_after_changes = random() % 16;
    const bool written = file.Write("new content").has_value();
    disk.Crash([&random] { return random(); });
    const auto read = file.Read();
    BOOST_REQUIRE_MESSAGE(read, "seed " << seed);
    BOOST_REQUIRE_MESSAGE(
        read.value() == "new content" || (!written && read.value() == "old"),
        "seed " << seed);
    disk.data("d/s")[random() % disk.data("d/s").size()] ^= 4;
    BOOST_TEST((file.Read().error().code == ErrorCode::kStorageCorrupt));
  }
}

// Guards against a term, vote or identity that changes when written and read.
BOOST_AUTO_TEST_CASE(IdentitySurvives) {
  MemoryDisk disk;
  const IdentityFile file(disk.Hooks(), "d");
  const HardState state{"c", "h.1", 7, "h.2", 3, true, true};
  BOOST_REQUIRE(file.Write(state));
  BOOST_TEST((file.Read().value() == state));
}

// Guards against differences between the real and the in-memory file system,
// and against two processes using one data directory.
BOOST_AUTO_TEST_CASE(RealFilesWork) {
  std::string directory =
      (std::filesystem::temp_directory_path() / "bw-storage-XXXXXX").string();
  BOOST_REQUIRE(::mkdtemp(directory.data()));
  const FileSystem system = PosixFileSystem();
  const auto lock = system.lock(directory + "/lock");
  BOOST_REQUIRE(lock);
  BOOST_TEST(
      (system.lock(directory + "/lock").error().code == ErrorCode::kConflict));
  system.close(lock.value());
  BOOST_TEST(system.lock(directory + "/lock").has_value());
  for (int round = 1; round <= 3; ++round) {
    LogFile log(system, directory, {100});
    const auto opened = log.Open();
    BOOST_REQUIRE(opened);
    BOOST_TEST(opened.value().records.size() == (round == 1 ? 0U : 6U));
    for (int i = 0; i < 8; ++i)
      BOOST_REQUIRE(log.Append("r" + std::to_string(i)));
    BOOST_REQUIRE(log.Sync() && log.TruncateSuffix(7) && log.DropPrefix(1));
    const IdentityFile identity(system, directory);
    BOOST_REQUIRE(identity.Write({"c", "h.1"}));
    BOOST_TEST(identity.Read().value()->replica == "h.1");
  }
  BOOST_TEST((system.read(directory + "/none").error().code ==
              ErrorCode::kStorageMissing));
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace boragewinch
