#ifndef BORAGEWINCH_ENTRY_REQUEST_ID_H_
#define BORAGEWINCH_ENTRY_REQUEST_ID_H_

#include <cstdint>

#include "base/result.h"
#include "base/strong_id.h"

namespace boragewinch {

/// \brief The parts of a request id, "<zone>.<entry>.<incarnation>.<sequence>".
struct RequestIdParts {
  ZoneName zone;
  EntryName entry;
  Incarnation incarnation;
  std::uint64_t sequence = 0;

  [[nodiscard]] RequestId Format() const;
  /// \returns the parts, or kInvalidField.
  [[nodiscard]] static Result<RequestIdParts> Parse(const RequestId& id);
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_REQUEST_ID_H_
