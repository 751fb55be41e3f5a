#define BOOST_TEST_MODULE fleet_path_process
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "process_fleet.h"

namespace boragewinch {
namespace {

[[nodiscard]] std::string Text(const LoadReport& report) {
  std::string text;
  for (const auto& [name, count] : report.outcomes)
    text += name + " " + std::to_string(count) + "; ";
  return text;
}

[[nodiscard]] std::int64_t Count(const LoadReport& report,
                                 const std::string& outcome) {
  const auto found = report.outcomes.find(outcome);
  return found == report.outcomes.end() ? 0 : found->second;
}

// Checks that no request ran twice (they are not repeatable, or nothing fails)
// and that the workers' log has all that finished and none refused as not run.
void CheckExecutions(const ProcessFleet& fleet, const LoadReport& report) {
  const auto executions = fleet.Executions();
  int twice = 0;
  for (const auto& [request, count] : executions)
    twice += count > 1 ? 1 : 0;
  BOOST_TEST(twice == 0);
  for (const std::string& request : report.not_run)
    BOOST_TEST(!executions.contains(request), request << " ran");
  for (const std::string& request : report.finished)
    BOOST_TEST(executions.contains(request), request << " did not run");
}

// Guards against jobs that are lost, run twice or get another job's result
// although nothing fails.
BOOST_AUTO_TEST_CASE(TenThousandJobsFinishOnce) {
  FleetShape shape;
  shape.zones = 3;
  shape.entries = 3;
  shape.hosts = 17;
  ProcessFleet fleet(shape);
  LoadConfig config = fleet.Load(10'000);
  config.in_flight = 150;
  BackgroundLoad load(config);
  const LoadReport& report = load.Wait();
  BOOST_TEST(Count(report, "finished") == 10'000, Text(report));
  BOOST_TEST(report.wrong_results == 0);
  CheckExecutions(fleet, report);
  BOOST_TEST(fleet.Violations() == "");
}

struct ThreeEntries {
  static FleetShape Shape() {
    FleetShape shape;
    shape.entries = 3;
    return shape;
  }
  ProcessFleet fleet{Shape()};

  LoadConfig NonRepeatable(std::int64_t jobs) {
    LoadConfig config = fleet.Load(jobs);
    config.repeatable_percent = 0;
    config.run = Millis(100);
    config.in_flight = 100;
    // Callers query unknown outcomes until this deadline.
    config.deadline = Millis(20'000);
    return config;
  }
  bool Ran(std::size_t requests) {
    return Eventually(Millis(20'000),
                      [&] { return fleet.Executions().size() >= requests; });
  }
  // Waits until both other entry hosts of the zone have fenced `owner` and
  // taken over its requests.
  bool PeersHaveFenced(const std::string& owner) {
    return Eventually(Millis(30'000), [&] {
      for (const std::string& name : fleet.entry_names()) {
        if (name != owner && fleet.LogOf(name).find("owner_fenced owner=" +
                                                    owner) == std::string::npos)
          return false;
      }
      return true;
    });
  }
};

// Guards against a second execution after the owner of the requests was killed
// and callers retry with the same tickets.
BOOST_FIXTURE_TEST_CASE(KilledEntryHostRunsNothingTwice, ThreeEntries) {
  BackgroundLoad load(NonRepeatable(1'500));
  BOOST_TEST(Ran(200));
  fleet.Kill("e11");
  // Requests that had it as their backup wait for proof that it has ended: its
  // next incarnation. Its own requests are taken over by the peers before.
  BOOST_TEST(PeersHaveFenced("e11"));
  fleet.Start("e11");
  const LoadReport& report = load.Wait();
  BOOST_TEST_MESSAGE(Text(report));
  BOOST_TEST(report.wrong_results == 0);
  BOOST_TEST(Count(report, "no_answer") == 0, Text(report));
  CheckExecutions(fleet, report);
  BOOST_TEST(fleet.Violations() == "");
  BOOST_TEST(Eventually(Millis(10'000),
                        [&] { return fleet.RunJob("e11") == "finished"; }));
}

// Guards against a frozen owner that resumes and starts its requests after its
// backup has fenced it and taken them over.
BOOST_FIXTURE_TEST_CASE(FrozenEntryHostRunsNothingTwice, ThreeEntries) {
  BackgroundLoad load(NonRepeatable(1'500));
  BOOST_TEST(Ran(200));
  fleet.Signal("e11", SIGSTOP);
  BOOST_TEST(PeersHaveFenced("e11"));
  fleet.Signal("e11", SIGCONT);
  const LoadReport& report = load.Wait();
  BOOST_TEST_MESSAGE(Text(report));
  BOOST_TEST(report.wrong_results == 0);
  BOOST_TEST(Count(report, "no_answer") == 0, Text(report));
  CheckExecutions(fleet, report);
  BOOST_TEST(Eventually(Millis(10'000),
                        [&] { return fleet.RunJob("e11") == "finished"; }));
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against a planned stop of an entry host that loses an answer.
BOOST_FIXTURE_TEST_CASE(StoppedEntryHostLosesNoAnswer, ThreeEntries) {
  const LoadConfig config = NonRepeatable(1'500);
  BackgroundLoad load(config);
  BOOST_TEST(Ran(200));
  fleet.Signal("e11", SIGTERM);
  BOOST_TEST(fleet.WaitExit("e11", Millis(30'000)) == 0);
  const LoadReport& report = load.Wait();
  BOOST_TEST(
      Count(report, "finished") + Count(report, "refused_not_run:stopping") ==
          1'500,
      Text(report));
  BOOST_TEST(report.wrong_results == 0);
  CheckExecutions(fleet, report);
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against a planned stop of the control leader that affects callers.
BOOST_FIXTURE_TEST_CASE(StoppedControlLeaderLosesNoAnswer, ThreeEntries) {
  const LoadConfig config = NonRepeatable(1'500);
  BackgroundLoad load(config);
  BOOST_TEST(Ran(200));
  const std::string leader = fleet.Leader();
  fleet.Signal(leader, SIGTERM);
  BOOST_TEST(fleet.WaitExit(leader, Millis(30'000)) == 0);
  const LoadReport& report = load.Wait();
  BOOST_TEST(Count(report, "finished") == 1'500, Text(report));
  CheckExecutions(fleet, report);
  BOOST_TEST(fleet.Violations() == "");
}

}  // namespace
}  // namespace boragewinch
