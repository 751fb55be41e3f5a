#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

#include "fleet/command.h"
#include "fleet/fleet_state.h"
#include "fleet/sheet_parser.h"
#include "memory_disk.h"
#include "raft/snapshot.h"
#include "seed_directory.h"
#include "storage/snapshot_file.h"

namespace boragewinch {
namespace {

constexpr const char* kPath = "d/snapshot";

void Require(bool holds) {
  if (!holds)
    std::abort();
}

// Content that decodes must survive a round trip unchanged: the control hosts
// compare hashes of their states.
void Decode(const std::string& content) {
  const auto snapshot = raft::DecodeSnapshot(content);
  if (!snapshot)
    return;
  const auto again = raft::DecodeSnapshot(EncodeSnapshot(snapshot.value()));
  Require(again &&
          again.value().configuration == snapshot.value().configuration);
  Require(again.value().state == snapshot.value().state);
  const auto state = FleetState::Restore(snapshot.value().state);
  if (!state)
    return;
  const std::string text = state.value().Snapshot();
  const auto copy = FleetState::Restore(text);
  Require(copy && copy.value().Snapshot() == text);
}

// Reads the bytes as a snapshot file. Then writes them as the content of one,
// reads it back and corrupts one byte, which the checksum must detect.
void ReadSnapshotFile(const std::string& bytes) {
  MemoryDisk disk;
  const SnapshotFile file(disk.Hooks(), "d", "snapshot");
  disk.Restore({{kPath, bytes}});
  if (const auto read = file.Read())
    Decode(read.value().value());

  Require(file.Write(bytes).has_value());
  const auto written = file.Read();
  Require(written && written.value() == bytes);
  Decode(bytes);

  std::string& stored = disk.data(kPath);
  std::size_t offset = stored.size() - 1;
  if (bytes.size() >= 2) {
    offset = static_cast<std::uint8_t>(bytes[0]) * 256U +
             static_cast<std::uint8_t>(bytes[1]);
  }
  stored[offset % stored.size()] ^= 0x10;
  Require(!file.Read().has_value());
}

void RequireNone(const std::vector<Error>& errors) {
  for (const Error& error : errors)
    std::fprintf(stderr, "%s\n", error.Text().c_str());
  Require(errors.empty());
}

// A fleet with at least one pool, team, queue, host, key, entry host and drain.
[[nodiscard]] FleetState SmallFleet() {
  constexpr const char* kSheet =
      "kind,name,pool,team,zone,rack,share,limit,min_available,spare,"
      "maintenance_days,open\n"
      "pool,shop,,,,,,,0,no,35,\n"
      "pool,spare,,,,,,,0,yes,35,\n"
      "team,orders,,,,,3,240,,,,\n"
      "queue,web,shop,orders,,,,,,,,yes\n"
      "host,h1,shop,,za,r1,,,,,,\n";
  std::vector<Error> errors;
  const Sheet sheet = ParseSheet(kSheet, "seed.csv", &errors);
  RequireNone(errors);
  FleetState state;
  std::uint64_t index = 0;
  const auto apply = [&](CommandBody body, OperationId operation) {
    Command command{{}, std::move(body)};
    if (!operation.empty()) {
      command.call = {std::move(operation), "operator",
                      state.operator_version()};
    }
    const CommandResult result = state.Apply(++index, EncodeCommand(command));
    RequireNone(result.errors);
    Require(result.accepted);
  };
  apply(ApplySheet{sheet}, OperationId("o1"));
  apply(CreateKey{KeyId("k1"), TeamName("orders"), std::string(64, 'a')},
        OperationId("o2"));
  apply(RegisterEntry{EntryName("e1"), ZoneName("za"), Incarnation("i1"),
                      "127.0.0.1:1", "127.0.0.1:2"},
        OperationId());
  apply(WithdrawKey{{KeyId("k2")}}, OperationId());
  apply(DrainHost{HostName("h1"), {}}, OperationId("o3"));
  return state;
}

[[nodiscard]] std::string ValidContent() {
  raft::Snapshot snapshot;
  snapshot.index = 7;
  snapshot.term = 2;
  snapshot.configuration.voters = {raft::ReplicaId("a.1"),
                                   raft::ReplicaId("b.1")};
  snapshot.configuration.learners = {raft::ReplicaId("c.1")};
  snapshot.state = SmallFleet().Snapshot();
  return EncodeSnapshot(snapshot);
}

}  // namespace
}  // namespace boragewinch

extern "C" int LLVMFuzzerInitialize(int* /*argc*/, char*** /*argv*/) {
  using boragewinch::MemoryDisk;
  using boragewinch::SnapshotFile;
  const std::string content = boragewinch::ValidContent();
  MemoryDisk disk;
  if (!SnapshotFile(disk.Hooks(), "d", "snapshot").Write(content))
    std::abort();
  boragewinch::WriteSeeds({content, disk.data(boragewinch::kPath)});
  return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  boragewinch::ReadSnapshotFile({reinterpret_cast<const char*>(data), size});
  return 0;
}
