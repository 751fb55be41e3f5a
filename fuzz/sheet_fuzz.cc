#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <vector>

#include "fleet/codec.h"
#include "fleet/command.h"
#include "fleet/sheet_diff.h"
#include "fleet/sheet_parser.h"
#include "seed_directory.h"

namespace boragewinch {
namespace {

void Require(bool holds) {
  if (!holds)
    std::abort();
}

/// Finds sheets that crash the parser, errors without a position, and accepted
/// sheets that the replicated state would reject.
void ParseAndCheck(std::string_view text) {
  std::vector<Error> errors;
  const Sheet sheet = ParseSheet(text, "fuzz.csv", &errors);
  Require(errors.size() <= kMaxSheetErrors);
  for (const Error& error : errors) {
    Require(error.position && error.position->line > 0 &&
            error.position->column > 0);
  }
  if (!errors.empty())
    return;
  const auto decoded = DecodeCommand(EncodeCommand({{}, ApplySheet{sheet}}));
  Require(decoded.has_value());
  const Sheet& copy = std::get<ApplySheet>(decoded.value().body).sheet;
  SheetErrors again(copy.file);
  CheckSheet(copy, &again);
  Require(again.errors().empty());
  Require(DiffSheet({}, copy, {}).conflicts.empty());
}

constexpr const char* kSheet =
    "# a comment\n"
    "kind,name,pool,team,zone,rack,share,limit,min_available,spare,"
    "maintenance_days,open\n"
    "pool,shop,,,,,,,1,no,35,\n"
    "pool,spare,,,,,,,0,yes,35,\n"
    "team,orders,,,,,3,240,,,,\n"
    "queue,web,shop,orders,,,,,,,,yes\n"
    "host,h1,shop,,za,r1,,,,,,\n"
    "host,h2,shop,,zb,r2,,,,,,\n";

}  // namespace
}  // namespace boragewinch

extern "C" int LLVMFuzzerInitialize(int* /*argc*/, char*** /*argv*/) {
  boragewinch::WriteSeeds({boragewinch::kSheet});
  return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  boragewinch::ParseAndCheck({reinterpret_cast<const char*>(data), size});
  return 0;
}
