#include <cstdlib>

#include "memory_disk.h"
#include "raft/entry.h"
#include "raft/snapshot.h"
#include "storage/identity_file.h"
#include "storage/log_file.h"

namespace boragewinch {
namespace {

// Reads arbitrary bytes as a log, a snapshot and an identity file. A log that
// opens must take another record and then open again with all of them.
void ReadFiles(const std::string& bytes) {
  MemoryDisk disk;
  disk.Restore({{"d/log-00000000000000000001", bytes}, {"d/identity", bytes}});
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

}  // namespace
}  // namespace boragewinch

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  boragewinch::ReadFiles({reinterpret_cast<const char*>(data), size});
  return 0;
}
