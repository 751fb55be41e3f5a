#define BOOST_TEST_MODULE sheet
#include <boost/test/unit_test.hpp>

#include <boost/test/data/test_case.hpp>

#include "fleet/sheet_diff.h"
#include "fleet/sheet_parser.h"

namespace boragewinch {
namespace {

const std::string kHeader =
    "kind,name,pool,team,zone,rack,share,limit,min_available,spare,"
    "maintenance_days,open\n";

/// Two pools, a team, a queue and three hosts; the first row is line 2.
const std::string kRows =
    "pool,p,,,,,,,1,no,,\n"
    "pool,s,,,,,,,0,yes,28,\n"
    "team,t,,,,,2,10,,,,\n"
    "queue,q,p,t,,,,,,,,yes\n"
    "host,h1,p,,za,r1,,,,,,\n"
    "host,h2,p,,za,r1,,,,,,\n"
    "host,h3,s,,zb,r2,,,,,,\n";

[[nodiscard]] Sheet Parsed(const std::string& text) {
  std::vector<Error> errors;
  Sheet sheet = ParseSheet(text, "a.csv", &errors);
  for (const Error& error : errors)
    BOOST_ERROR(error.Text());
  return sheet;
}

struct Fault {
  const char* rows;  ///< appended to kRows, so they start in line 9
  const char* error;
};

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << fault.rows;
}

const Fault kFaults[] = {
    {"server,x,,,,,,,,,,\n", "a.csv:9:1: invalid_sheet: kind \"server\" found"},
    {"pool,p2,,,,,,,,no,,\n", "a.csv:9:15: invalid_sheet: min_available"},
    {"pool,p2,,,,,,,1x,no,,\n", "a.csv:9:15: invalid_sheet: min_available"},
    {"pool,p2,,,,,,,-1,no,,\n", "a.csv:9:15: invalid_sheet: min_available"},
    {"pool,p2,,,,,,,0,maybe,,\n", "a.csv:9:17: invalid_sheet: spare"},
    {"pool,p2,,,,,,,0,yes,,\n", "a.csv:9:17: invalid_sheet: pool \"p2\" is a"},
    {"pool,p2,,,,,,,0,,0,\n", "a.csv:9:18: invalid_sheet: maintenance_days"},
    {"pool,p,,,,,,,1,no,,\n",
     "a.csv:9:6: invalid_sheet: pool \"p\" is already"},
    {"team,a b,,,,,1,1,,,,\n", "a.csv:9:6: invalid_sheet: name \"a b\""},
    {"team,t2,,,,,0,1,,,,\n", "a.csv:9:13: invalid_sheet: share \"0\""},
    {"team,t2,,,,,1,-1,,,,\n", "a.csv:9:15: invalid_sheet: limit \"-1\""},
    {"team,t2,p,,,,1,1,,,,\n", "a.csv:9:9: invalid_sheet: pool \"p\" found"},
    {"queue,q2,x,t,,,,,,,,\n", "a.csv:9:10: invalid_sheet: pool \"x\" has no"},
    {"queue,q2,p,x,,,,,,,,\n", "a.csv:9:12: invalid_sheet: team \"x\" has no"},
    {"queue,q2,s,t,,,,,,,,\n", "a.csv:9:10: invalid_sheet: queue \"q2\" names"},
    {"host,h4,p,,,r1,,,,,,\n", "a.csv:9:12: invalid_sheet: zone \"\""},
    {"host,h1,s,,za,r1,,,,,,\n", "a.csv:9:6: invalid_sheet: host \"h1\""},
    {"host,h4,p,,za\n", "a.csv:9:12: invalid_sheet: 5 cells found"},
    {"host,\"h\"4,p,,za,r,,,,,,\n", "a.csv:9:9: invalid_sheet: a quote"},
    {"host,\"h4,p,,za,r,,,,,,\n", "a.csv:9:6: invalid_sheet: a quoted cell"},
};

// Guards against accepting an invalid sheet, and against an error with a wrong
// position.
BOOST_DATA_TEST_CASE(FaultIsReportedWithItsPosition, kFaults, fault) {
  std::vector<Error> errors;
  static_cast<void>(ParseSheet(kHeader + kRows + fault.rows, "a.csv", &errors));
  BOOST_REQUIRE_EQUAL(errors.size(), 1);
  BOOST_TEST(errors[0].Text().substr(0, std::string(fault.error).size()) ==
             fault.error);
}

struct BadText {
  std::string text;
  const char* error;
};

std::ostream& operator<<(std::ostream& out, const BadText& bad) {
  return out << bad.error;
}

const BadText kBadTexts[] = {
    {"", "a.csv:1:1: invalid_sheet: no header row"},
    {"# only a comment\n", "a.csv:1:1: invalid_sheet: no header row"},
    {"kind,name,size\n" + kRows, "a.csv:1:1: invalid_sheet: column \"pool\""},
    {"kind," + kHeader + kRows, "a.csv:1:6: invalid_sheet: column \"kind\""},
    {kHeader + "team,t,,,,,1,1,,,,\n", "a.csv:1:1: invalid_sheet: no pool"},
    {kHeader + "pool,p,,,,,,,2,yes,,\nhost,h,p,,z,r,,,,,,\n",
     "a.csv:2:14: invalid_sheet: min_available 2 found, pool \"p\" has 1"},
    {std::string(kMaxSheetBytes + 1, 'a'), "a.csv:1:1: invalid_sheet: 4194305"},
};

// Guards against treating an incomplete file as the sheet of an empty fleet.
BOOST_DATA_TEST_CASE(FaultyFileIsReported, kBadTexts, bad) {
  std::vector<Error> errors;
  static_cast<void>(ParseSheet(bad.text, "a.csv", &errors));
  BOOST_REQUIRE(!errors.empty());
  BOOST_TEST(errors[0].Text().substr(0, std::string(bad.error).size()) ==
             bad.error);
}

// Guards against an import that stops at the first error, and against an
// unbounded number of errors.
BOOST_AUTO_TEST_CASE(AllErrorsAreCollectedUpToABound) {
  std::vector<Error> errors;
  const std::string two = "team,a b,,,,,1,1,,,,\nhost,h9,x,,za,r,,,,,,\n";
  static_cast<void>(ParseSheet(kHeader + kRows + two, "a.csv", &errors));
  BOOST_TEST(errors.size() == 2);
  std::string many = kHeader;
  for (int i = 0; i < 300; ++i)
    many += "bad,row,,,,,,,,,,\n";
  static_cast<void>(ParseSheet(many, "a.csv", &errors));
  BOOST_TEST(errors.size() == kMaxSheetErrors);
}

// Guards against reading values into the wrong fields because of the column
// order, separator, quoting, line endings or comments of an exported file.
BOOST_AUTO_TEST_CASE(ExportVariantsGiveTheSameSheet) {
  const std::string plain = WriteJson(ToJson(Parsed(kHeader + kRows)));
  std::string semicolons = kHeader + kRows;
  for (char& c : semicolons)
    c = c == ',' ? ';' : c;
  BOOST_TEST(WriteJson(ToJson(Parsed(semicolons))) == plain);
  std::string windows = "\xEF\xBB\xBF";
  for (const char c : kHeader + kRows)
    windows += c == '\n' ? std::string("\r\n") : std::string(1, c);
  BOOST_TEST(WriteJson(ToJson(Parsed(windows))) == plain);
  const auto commented =
      Parsed("# it's a \"comment\"\n" + kHeader + "\n#x,\"y\n" + kRows);
  BOOST_TEST(commented.pools.at(0).position.line == 5);
  BOOST_TEST(commented.pools.at(1).value.maintenance_days == 28);
  const auto quoted = Parsed(
      "open,name,kind,pool,team,zone,rack,share,limit,min_available,spare,"
      "maintenance_days\n,\"s\",\"pool\",,,,,,,3,\"yes\",\n");
  BOOST_TEST(quoted.pools.at(0).value.min_available == 3);
  BOOST_TEST(quoted.pools.at(0).value.spare);
}

// Guards against invalid example sheets.
BOOST_DATA_TEST_CASE(ExampleIsValid,
                     boost::unit_test::data::make({"zapisnik", "rila"}),
                     name) {
  std::vector<Error> errors;
  const Sheet sheet = ReadSheetFile(
      BORAGEWINCH_SOURCE "/examples/" + std::string(name) + ".csv", &errors);
  for (const Error& error : errors)
    BOOST_ERROR(error.Text());
  BOOST_TEST(sheet.hosts.size() == 50);
  BOOST_TEST(sheet.pools.size() == 6);
  BOOST_TEST(std::count_if(sheet.queues.begin(), sheet.queues.end(),
                           [](const auto& row) { return row.value.open; }) >=
             1);
  const auto copy = SheetFromJson(ToJson(sheet));
  BOOST_REQUIRE(copy);
  BOOST_TEST(WriteJson(ToJson(copy.value())) == WriteJson(ToJson(sheet)));
}

// Guards against treating an unreadable file as an empty sheet.
BOOST_AUTO_TEST_CASE(MissingFileIsAnError) {
  std::vector<Error> errors;
  static_cast<void>(ReadSheetFile("/nonexistent/a.csv", &errors));
  BOOST_REQUIRE(errors.size() == 1);
  BOOST_TEST(static_cast<int>(errors[0].code) ==
             static_cast<int>(ErrorCode::kNotFound));
}

/// The fleet of kRows with all hosts active.
[[nodiscard]] FleetView ViewOf(const Sheet& sheet) {
  FleetView view;
  view.version = 1;
  for (const auto& [pool, position] : sheet.pools)
    view.pools[pool.name] = pool;
  for (const auto& [team, position] : sheet.teams)
    view.teams[team.name] = team;
  for (const auto& [queue, position] : sheet.queues)
    view.queues[queue.name] = queue;
  for (const auto& [host, position] : sheet.hosts)
    view.hosts[host.name] = host;
  return view;
}

// Guards against changes that are missing from the preview of a sheet.
BOOST_AUTO_TEST_CASE(DiffNamesEveryChange) {
  FleetView view = ViewOf(Parsed(kHeader + kRows));
  BOOST_TEST(DiffSheet(view, Parsed(kHeader + kRows), {}).changes.empty());
  view.hosts[HostName("h2")].state = HostState::kDrained;
  view.keys[KeyId("k")] = Key{.id = KeyId("k"), .team = TeamName("t")};
  const auto diff = DiffSheet(view,
                              Parsed(kHeader + "pool,p,,,,,,,0,no,,\n"
                                               "pool,s,,,,,,,0,yes,28,\n"
                                               "team,t2,,,,,2,10,,,,\n"
                                               "queue,q,p,t2,,,,,,,,no\n"
                                               "host,h1,s,,za,r1,,,,,,\n"),
                              {});
  std::vector<std::string> lines;
  for (const SheetChange& change : diff.changes)
    lines.push_back(Describe(change));
  const std::vector<std::string> expected = {
      "changed pool p: min_available 1 -> 0",
      "added team t2: share 2, limit 10",
      "removed team t: share 2, limit 10",
      "changed queue q: team t -> t2, open yes -> no",
      "pending_move host h1: pool p -> s",
      "removed host h2: pool p, zone za, rack r1",
      "kept host h3: pool s, zone zb, rack r2",
  };
  BOOST_TEST(lines == expected, boost::test_tools::per_element());
  BOOST_TEST(diff.needs_confirmation());
  BOOST_TEST(diff.warnings.size() == 3);  // budget, team with key, kept host
  BOOST_TEST(diff.conflicts.empty());
}

// Guards against lowering a limit below the running tasks without confirmation.
BOOST_AUTO_TEST_CASE(LimitBelowUseNeedsConfirmation) {
  const FleetView view = ViewOf(Parsed(kHeader + kRows));
  std::string rows = kRows;
  rows.replace(rows.find("2,10"), 4, "2,05");
  const Sheet lowered = Parsed(kHeader + rows);
  const TeamName team("t");
  BOOST_TEST(!DiffSheet(view, lowered, {{team, 5}}).needs_confirmation());
  BOOST_TEST(DiffSheet(view, lowered, {{team, 6}}).needs_confirmation());
}

// Guards against hosts with tasks becoming spare hosts, which move without a
// drain, and against an availability budget that blocks maintenance without a
// warning.
BOOST_AUTO_TEST_CASE(PoolBecomesSpareOnlyWithoutActiveHosts) {
  FleetView view = ViewOf(Parsed(kHeader + kRows));
  const Sheet swapped = Parsed(kHeader +
                               "pool,p,,,,,,,0,yes,,\n"
                               "pool,s,,,,,,,2,no,28,\n");
  BOOST_TEST(DiffSheet(view, swapped, {}).conflicts.size() == 1);
  for (const char* host : {"h1", "h2"})
    view.hosts[HostName(host)].state = HostState::kDrained;
  const auto diff = DiffSheet(view, swapped, {});
  BOOST_TEST(diff.conflicts.empty());
  BOOST_TEST(std::any_of(
      diff.warnings.begin(), diff.warnings.end(), [](const auto& warning) {
        return warning.name == "s" && !warning.needs_confirmation;
      }));
}

// Guards against removing a pool that still has hosts.
BOOST_AUTO_TEST_CASE(OccupiedPoolCanNotBeRemoved) {
  const FleetView view = ViewOf(Parsed(kHeader + kRows));
  const auto diff = DiffSheet(
      view, Parsed(kHeader + "pool,s,,,,,,,0,yes,,\nhost,h1,s,,z,r,,,,,,\n"),
      {});
  BOOST_REQUIRE(diff.conflicts.size() == 1);
  BOOST_TEST(static_cast<int>(diff.conflicts[0].code) ==
             static_cast<int>(ErrorCode::kConflict));
}

// Guards against a preview that differs from the fleet that the sheet produces:
// of the hosts without a row, one in service stays and a drained one is
// removed.
BOOST_AUTO_TEST_CASE(ViewAfterIsTheFleetOfTheSheet) {
  FleetView view = ViewOf(Parsed(kHeader + kRows));
  view.hosts[HostName("h2")].state = HostState::kDrained;
  view.hosts[HostName("h1")].maintained_at = 7;
  const FleetView after =
      ViewAfter(view, Parsed(kHeader + "pool,s,,,,,,,0,yes,,\n"
                                       "pool,n,,,,,,,2,no,,\n"
                                       "host,h1,n,,za,r1,,,,,,\n"
                                       "host,h4,n,,za,r1,,,,,,\n"));
  BOOST_TEST(after.pools.size() == 2);
  BOOST_TEST(after.teams.empty());
  BOOST_TEST(after.queues.empty());
  BOOST_REQUIRE(after.hosts.size() == 3);
  BOOST_TEST(after.hosts.at(HostName("h1")).pool == PoolName("n"));
  BOOST_TEST(after.hosts.at(HostName("h1")).maintained_at == 7);
  BOOST_TEST(after.hosts.at(HostName("h3")).pool == PoolName("s"));
  BOOST_TEST(after.hosts.at(HostName("h4")).pool == PoolName("n"));
  const FleetView same =
      ViewAfter(view, Parsed(kHeader + "pool,p,,,,,,,1,yes,,\n"));
  BOOST_TEST(same.hosts.size() == view.hosts.size());
}

}  // namespace
}  // namespace boragewinch
