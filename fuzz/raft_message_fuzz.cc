#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include "base/hash.h"
#include "base/invariant.h"
#include "raft/message.h"
#include "raft/node.h"
#include "seed_directory.h"

namespace boragewinch::raft {
namespace {

[[nodiscard]] Node MakeNode(bool leader) {
  Snapshot snapshot;
  snapshot.configuration.voters = {ReplicaId("a.1"), ReplicaId("b.1")};
  NodeState state;
  state.term = 1;
  state.snapshot = std::make_shared<const Snapshot>(snapshot);
  state.entries = {{1, EntryKind::kCommand, "x"}, {1, EntryKind::kNoop, ""}};
  const TimePoint now{Millis(0)};
  Node node(
      ReplicaId("a.1"), NodeOptions(), [] { return 0; }, state, now);
  if (leader) {
    node.Tick(now + Millis(1000));
    Message message;
    message.from = ReplicaId("b.1");
    message.term = 2;
    message.granted = true;
    for (const auto kind :
         {MessageKind::kPreVoteReply, MessageKind::kVoteReply}) {
      message.kind = kind;
      node.Step(message, now + Millis(1000));
    }
    if (node.role() != Role::kLeader)
      std::abort();
  }
  return node;
}

// Parses arbitrary text as a message. An accepted message must survive a round
// trip through the codec, and neither a follower nor a leader may crash on it.
void CheckMessage(std::string_view input) {
  SetInvariantHandler([](Invariant, std::string_view) {});
  const auto json = ParseJson(input);
  const auto message =
      json ? MessageFromJson(json.value()) : Result<Message>(json.error());
  if (!message)
    return;
  const std::string text = WriteJson(ToJson(message.value()));
  const auto again = ParseJson(text);
  const auto copy =
      again ? MessageFromJson(again.value()) : Result<Message>(again.error());
  if (!copy || WriteJson(ToJson(copy.value())) != text)
    std::abort();
  for (const bool leader : {false, true}) {
    Node node = MakeNode(leader);
    for (int i = 0; i < 2; ++i) {
      node.Step(message.value(), TimePoint(Millis(1001)));
      (void)node.TakeActions();
      node.Persisted(node.log().last_index(), TimePoint(Millis(1001)));
    }
    if (node.commit_index() > node.log().last_index())
      std::abort();
  }
}

// One message of each kind from the peer of MakeNode's node.
[[nodiscard]] std::vector<std::string> ValidMessages() {
  std::vector<std::string> texts;
  for (const auto& [kind, name] : kMessageKinds.entries) {
    Message message;
    message.kind = kind;
    message.from = ReplicaId("b.1");
    message.to = ReplicaId("a.1");
    message.term = 2;
    message.index = 2;
    message.log_term = 1;
    if (kind == MessageKind::kAppend)
      message.entries = {{2, EntryKind::kCommand, "y"}};
    if (kind == MessageKind::kSnapshot) {
      Snapshot snapshot;
      snapshot.index = 2;
      snapshot.term = 1;
      snapshot.configuration.voters = {ReplicaId("a.1"), ReplicaId("b.1")};
      message.data = EncodeSnapshot(snapshot);
      message.total = message.data.size();
      message.hash = Hash64(message.data);
    }
    texts.push_back(WriteJson(ToJson(message)));
  }
  return texts;
}

}  // namespace
}  // namespace boragewinch::raft

extern "C" int LLVMFuzzerInitialize(int* /*argc*/, char*** /*argv*/) {
  boragewinch::WriteSeeds(boragewinch::raft::ValidMessages());
  return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  boragewinch::raft::CheckMessage({reinterpret_cast<const char*>(data), size});
  return 0;
}
