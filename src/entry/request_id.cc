#include "entry/request_id.h"

#include <array>
#include <string>

#include "model/job.h"

namespace boragewinch {

RequestId RequestIdParts::Format() const {
  return RequestId(zone.str() + "." + entry.str() + "." + incarnation.str() +
                   "." + std::to_string(sequence));
}

Result<RequestIdParts> RequestIdParts::Parse(const RequestId& id) {
  const auto malformed = [] {
    return Fail(ErrorCode::kInvalidField,
                "a request id must be <zone>.<entry>.<incarnation>.<sequence>");
  };
  std::array<std::string, 4> parts;
  std::size_t start = 0;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const auto dot = id.str().find('.', start);
    if ((dot == std::string::npos) != (i + 1 == parts.size()))
      return malformed();
    parts[i] = id.str().substr(start, dot - start);
    if (!IsValidName(parts[i]))
      return malformed();
    start = dot + 1;
  }
  const std::string& digits = parts[3];
  if (digits.size() > 18 ||
      digits.find_first_not_of("0123456789") != std::string::npos) {
    return malformed();
  }
  return RequestIdParts{ZoneName(parts[0]), EntryName(parts[1]),
                        Incarnation(parts[2]), std::stoull(digits)};
}

}  // namespace boragewinch
