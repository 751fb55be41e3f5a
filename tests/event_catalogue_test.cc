#define BOOST_TEST_MODULE event_catalogue
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <map>
#include <regex>
#include <string>

#include "base/event.h"

namespace boragewinch {
namespace {

struct PageRow {
  std::string level;
  std::string name;
  std::string meaning;
  std::string action;
};

[[nodiscard]] std::string LevelName(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return "debug";
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarn:
      return "warn";
    case EventLevel::kError:
      break;
  }
  return "error";
}

// Parses the rows "| 1001 | info | `name` | meaning | action |" of the page.
[[nodiscard]] std::map<int, PageRow> ReadPage() {
  std::ifstream page(BORAGEWINCH_SOURCE "/docs/events.md");
  BOOST_REQUIRE(page);
  const std::regex row(
      R"(\| (\d+) \| (\w+) \| `(\w+)` \| ([^|]+) \| ([^|]+) \|)");
  std::map<int, PageRow> rows;
  for (std::string line; std::getline(page, line);) {
    if (std::smatch match; std::regex_match(line, match, row)) {
      const bool added =
          rows.emplace(std::stoi(match[1]),
                       PageRow{match[2], match[3], match[4], match[5]})
              .second;
      BOOST_TEST(added, "number " << match[1] << " is on the page twice");
    } else {
      BOOST_TEST(!std::regex_search(line, std::regex(R"(^\|\s*\d)")),
                 "malformed row: " << line);
    }
  }
  return rows;
}

// Guards against an event number in a log whose entry in docs/events.md is
// missing or wrong.
BOOST_AUTO_TEST_CASE(PageMatchesTheTableInCode) {
  std::map<int, PageRow> page = ReadPage();
  for (const EventInfo& info : event_catalogue()) {
    const int number = static_cast<int>(info.id);
    BOOST_TEST_CONTEXT(number) {
      const auto found = page.find(number);
      BOOST_TEST((found != page.end()));
      if (found == page.end())
        continue;
      BOOST_TEST(found->second.level == LevelName(info.level));
      BOOST_TEST(found->second.name == info.name);
      BOOST_TEST(found->second.meaning == info.meaning);
      BOOST_TEST(!found->second.action.empty());
      page.erase(found);
    }
  }
  for (const auto& [number, row] : page)
    BOOST_ERROR(number << " " << row.name << " is not in the code");
}

// Guards against two events with the same number or name, and against an event
// that is logged under another number.
BOOST_AUTO_TEST_CASE(NumbersAndNamesAreUnique) {
  std::map<std::string_view, EventId> names;
  int last = 0;
  for (const EventInfo& info : event_catalogue()) {
    BOOST_TEST(static_cast<int>(info.id) > last);
    last = static_cast<int>(info.id);
    BOOST_TEST(names.emplace(info.name, info.id).second);
    BOOST_TEST(event_info(info.id).name == info.name);
  }
}

}  // namespace
}  // namespace boragewinch
