#ifndef BORAGEWINCH_CTL_TABLE_H_
#define BORAGEWINCH_CTL_TABLE_H_

#include <string>
#include <vector>

#include "base/json.h"

namespace boragewinch {

/// \returns the elements of an array, or the members of an object, each with
/// its name as member "name" unless it has one.
[[nodiscard]] std::vector<Json> Rows(const Json& value);

/// \returns `value` on one line for people: "a=1 b=2" for an object, "a, b" for
/// an array. Control characters become spaces, so text from a server can't
/// steer the terminal.
[[nodiscard]] std::string CellText(const Json& value);

/// \brief Lays out rows of objects under their member names. Columns in which
/// every cell is empty are left out.
/// \param members in the order of the columns.
/// \returns the table with a line of headers, or "(none)".
[[nodiscard]] std::string FormatTable(const std::vector<std::string>& members,
                                      const std::vector<Json>& rows);

/// \brief Like FormatTable with the members of all rows, "name" first.
[[nodiscard]] std::string FormatTable(const std::vector<Json>& rows);

/// \returns an object as lines "member: value"; a list of objects becomes a
/// table below its name.
[[nodiscard]] std::string FormatDocument(const Json& document);

}  // namespace boragewinch

#endif  // BORAGEWINCH_CTL_TABLE_H_
