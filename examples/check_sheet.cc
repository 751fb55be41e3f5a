// Reads a sheet and prints its errors, or the changes that it makes to an empty
// fleet.
// usage: example_check_sheet FILE

#include <cstdio>
#include <vector>

#include "fleet/sheet_diff.h"
#include "fleet/sheet_parser.h"

int main(int argc, char** argv) {
  using namespace boragewinch;
  if (argc != 2) {
    std::fprintf(stderr, "usage: %s FILE\n", argv[0]);
    return 2;
  }
  std::vector<Error> errors;
  const Sheet sheet = ReadSheetFile(argv[1], &errors);
  for (const Error& error : errors)
    std::fprintf(stderr, "%s\n", error.Text().c_str());
  if (!errors.empty())
    return 1;
  for (const SheetChange& change : DiffSheet(FleetView(), sheet, {}).changes)
    std::printf("%s\n", Describe(change).c_str());
  return 0;
}
