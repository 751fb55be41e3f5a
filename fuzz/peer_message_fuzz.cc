#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "base/json.h"
#include "entry/peer_message.h"

// Looks for input that crashes the codec, and for messages that change when
// they are written and read again.
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
