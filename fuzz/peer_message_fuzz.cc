#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "base/hash.h"
#include "base/json.h"
#include "entry/peer_message.h"
#include "seed_directory.h"

namespace boragewinch {
namespace {

// One message of each type, with its optional fields.
[[nodiscard]] std::vector<std::string> ValidMessages() {
  const RequestId id("za.e1.0000000000000001.7");
  const Incarnation incarnation("0000000000000002");
  const RecordVersion version{id, 1, 2, 3};
  const Intent intent{1, HostName("h1"), incarnation, "127.0.0.1:9"};
  JobSpec spec;
  spec.team = TeamName("orders");
  spec.queue = QueueName("web");
  spec.client_request_id = "mine";
  spec.payload = "p";
  const JobAnswer answer{id,  Outcome::kFinished, RefusalReason::kNone, true,
                         "r", Hash64("r")};
  PeerStore store;
  store.version = version;
  store.spec = spec;
  store.intent = intent;
  store.progress = "half";
  PeerGossip gossip;
  gossip.running = {{spec.team, 1}};
  gossip.queued = {{spec.team, 2}};
  gossip.leaving = {{HostName("h1"), incarnation}};
  gossip.tombstones = {KeyId("k1")};
  gossip.unresponsive = {{EntryName("e2"), incarnation, Millis(4000), true}};
  gossip.taken_over = {{id, 1}};
  const std::vector<PeerBody> bodies{
      store,
      PeerIntend{version, intent},
      PeerClose{version, true, {Outcome::kFinished, RefusalReason::kNone}},
      PeerAck{version, true},
      PeerFenced{3, id},
      gossip,
      PeerGossipAnswer{4},
      PeerFind{5, spec.team, "mine"},
      PeerFound{5, true, false, answer},
      PeerForward{6, CallKind::kSubmit, 1, id, "k1.s", Millis(100), spec},
      PeerForwardAnswer{6, answer},
      PeerHandOver{7},
      PeerHandedOver{7},
      PeerReleased{7},
      PeerResult{{{id, 1}, TaskState::kFinished, "r", 1, Hash64("r")}}};
  std::vector<std::string> texts;
  for (const PeerBody& body : bodies) {
    texts.push_back(
        WriteJson(ToJson(PeerMessage{incarnation, incarnation, body})));
    const auto json = ParseJson(texts.back());
    const auto read = json ? PeerMessageFromJson(json.value())
                           : Result<PeerMessage>(json.error());
    if (!read) {
      std::fprintf(stderr, "the codec rejects its own encoding: %s\n%s\n",
                   read.error().Text().c_str(), texts.back().c_str());
      std::abort();
    }
  }
  return texts;
}

}  // namespace
}  // namespace boragewinch

extern "C" int LLVMFuzzerInitialize(int* /*argc*/, char*** /*argv*/) {
  boragewinch::WriteSeeds(boragewinch::ValidMessages());
  return 0;
}

// Finds input that crashes the codec and messages that change in a round trip.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using boragewinch::ParseJson;
  using boragewinch::PeerMessageFromJson;
  using boragewinch::ToJson;
  const auto json =
      ParseJson(std::string_view(reinterpret_cast<const char*>(data), size));
  if (!json)
    return 0;
  const auto message = PeerMessageFromJson(json.value());
  if (!message)
    return 0;
  const auto written = ToJson(message.value());
  const auto again = PeerMessageFromJson(written);
  if (!again || ToJson(again.value()) != written)
    std::abort();
  return 0;
}
