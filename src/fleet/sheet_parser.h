#ifndef BORAGEWINCH_FLEET_SHEET_PARSER_H_
#define BORAGEWINCH_FLEET_SHEET_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

#include "fleet/sheet.h"

namespace boragewinch {

/// \brief Parses and validates a sheet: CSV with a header row that names the
/// columns of kSheetColumns in any order, separated by "," or ";". Lines that
/// start with "#" are comments.
/// \param text bytes of the file, UTF-8, at most kMaxSheetBytes.
/// \param file name used in error positions.
/// \param errors receives all errors, by line and column, at most
/// kMaxSheetErrors; lines and columns count from 1, columns in bytes.
/// \returns the sheet; valid only if `errors` is empty.
[[nodiscard]] Sheet ParseSheet(std::string_view text,
                               std::string_view file,
                               std::vector<Error>* errors);

/// \brief Reads the file and parses it.
/// \param path path of a readable file.
/// \param errors as for ParseSheet; an unreadable file is an error as well.
[[nodiscard]] Sheet ReadSheetFile(const std::string& path,
                                  std::vector<Error>* errors);

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_SHEET_PARSER_H_
