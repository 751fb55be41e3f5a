#define BOOST_TEST_MODULE operator_view_process
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "ctl/boragectl.h"
#include "process_fleet.h"

namespace boragewinch {
namespace {

struct Fixture {
  static FleetShape Shape() {
    FleetShape shape;
    shape.min_available = 6;
    shape.spares = 1;
    shape.limit = 2;
    return shape;
  }
  ProcessFleet fleet{Shape()};
  std::string out;

  int Run(const std::vector<std::string>& arguments, bool json = false) {
    CtlConfig config;
    for (const char* control : {"c1", "c2", "c3"})
      config.control.push_back(fleet.address(control));
    for (const std::string& name : fleet.entry_names())
      config.entries.push_back({"z1", fleet.address(name)});
    config.secret = kTestOperatorSecret;
    config.json = json;
    EventLoop loop;
    std::ostringstream text;
    std::ostringstream errors;
    Boragectl client(loop, config, text, errors);
    const int code = client.Run(arguments);
    out = text.str();
    BOOST_TEST_INFO(errors.str());
    return code;
  }
  // Whether "boragectl explain" prints one line that contains `part`.
  bool Explains(const std::string& kind,
                const std::string& name,
                const std::string& part) {
    return Run({"explain", kind, name}) == kExitOk &&
           std::count(out.begin(), out.end(), '\n') == 1 &&
           out.find(part) != std::string::npos;
  }
};

// Guards against an explanation that does not reach the operator, is longer
// than a line or gives a wrong reason.
BOOST_FIXTURE_TEST_CASE(ExplainNamesTheReason, Fixture) {
  BOOST_TEST(Eventually(Millis(10'000),
                        [&] {
                          return Explains(
                              "host", "z1-r1-h1",
                              "of pool main (its own pool) accepts tasks");
                        }),
             out);
  BOOST_TEST(Explains("host", "z1-spare-h1", "of pool spare"), out);
  BOOST_TEST(Explains("pool", "main",
                      "8 of 8 workers available, availability budget 6"),
             out);
  // The newest report may still count the jobs that made the fleet ready.
  BOOST_TEST(Eventually(Millis(10'000),
                        [&] {
                          return Explains(
                              "team", "t1",
                              "runs 0 of at most 2, wants 0, holds");
                        }),
             out);
  BOOST_TEST(out.find("share 3 of 5 is its part when all teams have work, not "
                      "a reservation and not a limit") != std::string::npos,
             out);
  BOOST_TEST(Run({"explain", "host", "none"}) == kExitRefused);
  // The team's limit is two tasks, so the third job waits.
  std::vector<std::string> tickets;
  for (int i = 0; i < 3; ++i) {
    tickets.push_back(fleet.Ticket("e11"));
    BOOST_TEST(fleet
                   .Put("e11", tickets.back(),
                        ProcessFleet::Spec("open", 20'000, true))
                   .status == 200);
  }
  const auto any = [&](const std::string& part) {
    return std::any_of(
        tickets.begin(), tickets.end(),
        [&](const std::string& id) { return Explains("job", id, part); });
  };
  BOOST_TEST(Eventually(Millis(15'000),
                        [&] { return any("tasks allotted to it at this"); }),
             out);
  BOOST_TEST(Eventually(Millis(15'000),
                        [&] { return any("uses the workers of pool main"); }),
             out);
  BOOST_TEST(Eventually(Millis(10'000),
                        [&] { return Explains("team", "t1", "wants 1"); }),
             out);
}

// Guards against a dry run that shows wrong gains, moves and costs for the
// sheet, or that changes the fleet.
BOOST_FIXTURE_TEST_CASE(SheetDiffShowsGainsMovesAndCost, Fixture) {
  std::string text = fleet.SheetText(2);
  const auto replace = [&text](const std::string& from, const std::string& to) {
    const auto position = text.find(from);
    BOOST_REQUIRE(position != std::string::npos);
    text.replace(position, from.size(), to);
  };
  replace("team,t1,,,,,3,2,", "team,t1,,,,,1,4,");
  replace("team,t2,,,,,2,500,", "team,t2,,,,,3,500,");
  replace("host,z1-r1-h1,main,", "host,z1-r1-h1,spare,");
  const std::string file = fleet.directory() + "/morning.csv";
  std::ofstream(file) << text;
  const std::int64_t version = fleet.Version();
  BOOST_TEST(Run({"sheet", "diff", file}) == kExitOk);
  for (const char* part :
       {"3 -> 1 (-2)", "2.8 -> 5.2 (+2.5)", "2 -> 4 (+2)", "8 -> 7 (-1)",
        "host moves: 1 in 1 steps, 0 not possible", "buffer: spare hosts"})
    BOOST_TEST(out.find(part) != std::string::npos, part << " in " << out);
  BOOST_TEST(Run({"sheet", "diff", file}, true) == kExitOk);
  const Json plan = ParseJson(out).value()["plan"];
  BOOST_TEST(plan["moves"][0]["host"].asString() == "z1-r1-h1");
  BOOST_TEST(plan["moves"][0]["to"].asString() == "spare");
  BOOST_TEST(plan["teams"][1]["share_after"].asInt() == 3);
  BOOST_TEST(plan["buffer"]["spares_after"].asInt() == 2);
  BOOST_TEST(fleet.Version() == version);
}

}  // namespace
}  // namespace boragewinch
