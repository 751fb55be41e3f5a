#ifndef BORAGEWINCH_CTL_TABLE_H_
#define BORAGEWINCH_CTL_TABLE_H_

#include <string>
#include <vector>

#include "base/json.h"

namespace boragewinch {

/// \returns the elements of an array, or the members of an object, each with
/// its name as member "name" unless it has one.
[[nodiscard]] std::vector<Json> Rows(const Json& value);

/// \returns `value` as one readable line: "a=1 b=2" for an object, "a, b" for
/// an array. Control characters become spaces, so untrusted input can't
/// contain terminal escape sequences.
[[nodiscard]] std::string CellText(const Json& value);

/// \brief Formats objects as a table with one column for each member. Columns
/// in which every cell is empty are omitted.
/// \param members the columns, in order.
/// \returns the table with a header line, or "(none)".
[[nodiscard]] std::string FormatTable(const std::vector<std::string>& members,
                                      const std::vector<Json>& rows);

/// \brief Formats a table of all members that occur in `rows`, "name" first.
[[nodiscard]] std::string FormatTable(const std::vector<Json>& rows);

/// \returns an object as lines "member: value", with each list of objects as a
/// table below its name.
[[nodiscard]] std::string FormatDocument(const Json& document);

}  // namespace boragewinch

#endif  // BORAGEWINCH_CTL_TABLE_H_
