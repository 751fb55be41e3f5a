#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "memory_disk.h"
#include "raft/entry.h"
#include "raft/snapshot.h"
#include "seed_directory.h"
#include "storage/identity_file.h"
#include "storage/log_file.h"

namespace boragewinch {
namespace {

constexpr const char* kLog = "d/log-00000000000000000001";

// Reads arbitrary bytes as a log, a snapshot and an identity file. A log that
// opens must accept another record and then reopen with all records.
void ReadFiles(const std::string& bytes) {
  MemoryDisk disk;
  disk.Restore({{kLog, bytes}, {"d/identity", bytes}});
  (void)IdentityFile(disk.Hooks(), "d").Read();
  (void)raft::DecodeSnapshot(bytes);
  std::size_t records = 0;
  {
    LogFile log(disk.Hooks(), "d", {100});
    const auto opened = log.Open();
    if (!opened)
      return;
    for (const std::string& record : opened.value().records)
      (void)raft::DecodeEntry(record);
    records = opened.value().records.size();
    if (!log.Append("x") || !log.Sync())
      std::abort();
  }
  LogFile log(disk.Hooks(), "d", {100});
  const auto opened = log.Open();
  if (!opened || opened.value().records.size() != records + 1)
    std::abort();
}

// Writes each line of `lines` as a synced record, corrupts the byte at `offset`
// and opens the log. The records read must be a prefix of those written. Covers
// what random bytes can't reach, as they fail the checksums.
void CheckCorruptedLog(const std::string& lines, std::size_t offset) {
  MemoryDisk disk;
  std::vector<std::string> written;
  {
    LogFile log(disk.Hooks(), "d", {1UL << 20});
    if (!log.Open())
      std::abort();
    for (std::size_t at = 0; at < lines.size();) {
      const std::size_t end = std::min(lines.find('\n', at), lines.size());
      written.push_back(lines.substr(at, end - at));
      if (!log.Append(written.back()) || !log.Sync())
        std::abort();
      at = end + 1;
    }
  }
  std::string& stored = disk.data(kLog);
  if (stored.empty())
    return;
  stored[offset % stored.size()] ^= 0x10;
  LogFile log(disk.Hooks(), "d", {1UL << 20});
  const auto opened = log.Open();
  if (!opened)
    return;
  const std::vector<std::string>& found = opened.value().records;
  // Only a corrupted last record may be treated as torn.
  if (found.size() + 1 != written.size() ||
      !std::equal(found.begin(), found.end(), written.begin()))
    std::abort();
}

// Three entries in the format of the replicated log.
[[nodiscard]] std::string ValidLog() {
  MemoryDisk disk;
  LogFile log(disk.Hooks(), "d", {1UL << 20});
  if (!log.Open())
    std::abort();
  for (const std::string text : {"", "x", "a longer command"}) {
    if (!log.Append(raft::EncodeEntry({1, raft::EntryKind::kCommand, text})) ||
        !log.Sync())
      std::abort();
  }
  return disk.data(kLog);
}

}  // namespace
}  // namespace boragewinch

extern "C" int LLVMFuzzerInitialize(int* /*argc*/, char*** /*argv*/) {
  boragewinch::WriteSeeds({boragewinch::ValidLog(), "12one\ntwo\nthree"});
  return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  boragewinch::ReadFiles(bytes);
  if (size > 2)
    boragewinch::CheckCorruptedLog(bytes.substr(2), data[0] * 256U + data[1]);
  return 0;
}
