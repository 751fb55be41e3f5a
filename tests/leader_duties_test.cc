#define BOOST_TEST_MODULE leader_duties
#include <boost/test/unit_test.hpp>

#include <deque>
#include <string>

#include "control/leader_duties.h"

namespace boragewinch {
namespace {

// The duties of a leader over a real fleet state. Commands are applied after
// each tick, as a majority would.
struct Fixture {
  EventLoop loop;
  HttpClient client{loop, HttpClientLimits{}};
  PlatformClient platform{client, "127.0.0.1:1"};
  FleetState state;
  EntryReports reports;
  std::deque<std::pair<Command, Proposals::Reply>> submitted;
  std::vector<std::string> names;  ///< of applied commands
  BufferMoveConfig buffers{.settle = Millis(2'000)};
  LeaderDuties duties{loop,
                      platform,
                      state,
                      reports,
                      WaveConfig(),
                      buffers,
                      [this](const Command& command, Proposals::Reply reply) {
                        submitted.emplace_back(command, std::move(reply));
                      }};
  TimePoint now = FromMillis(1'000'000);
  std::map<HostName, WorkerStatus> workers;
  std::uint64_t sequence = 0;
  std::vector<HostName> changed;

  Fixture() {
    ApplySheet apply;
    apply.sheet.pools = {{{.name = PoolName("p"), .min_available = 3}},
                         {{.name = PoolName("spare"), .spare = true}}};
    for (const char* host : {"h0", "h1", "h2", "s0"}) {
      apply.sheet.hosts.push_back(
          {{HostName(host), PoolName(host[0] == 's' ? "spare" : "p"),
            ZoneName("z"), RackName("r")}});
    }
    apply.wall_seconds = loop.unix_seconds();
    Command command;
    command.call.operation_id = OperationId("sheet");
    command.call.operator_name = "ann";
    command.call.expected_version = 0;
    command.body = std::move(apply);
    BOOST_REQUIRE(
        state.Apply(state.last_index() + 1, EncodeCommand(command)).accepted);
    for (const auto& [name, host] : state.view().hosts)
      Hear(name.str());
    duties.OnLeadership(now);
  }

  void Hear(const std::string& name, bool lost = false) {
    WorkerStatus& worker = workers[HostName(name)];
    worker = {HostName(name), ZoneName("z"), RackName("r"), Incarnation("i")};
    worker.lost = lost;
    changed.emplace_back(name);
  }

  // An entry host that sends what has changed since its last report.
  void Report() {
    SyncReport report;
    report.entry = EntryName("e");
    report.zone = ZoneName("z");
    report.incarnation = Incarnation("x");
    report.workers_base = sequence;
    for (const HostName& host : changed)
      report.workers.push_back(workers.at(host));
    if (!changed.empty() || sequence == 0)
      ++sequence;
    changed.clear();
    report.workers_sequence = sequence;
    BOOST_TEST(reports.Record(report, now));
    duties.OnReport(report, now);
  }

  void Tick() {
    duties.Tick(now);
    while (!submitted.empty()) {
      auto [command, reply] = std::move(submitted.front());
      submitted.pop_front();
      names.emplace_back(CommandName(command.body));
      reply(state.Apply(state.last_index() + 1, EncodeCommand(command)));
    }
    // Workers acknowledge whatever they are told.
    for (auto& [name, worker] : workers) {
      const auto host = state.view().hosts.find(name);
      if (host == state.view().hosts.end() || worker.lost)
        continue;
      const bool drain = state.drains().contains(name);
      if (worker.acknowledged_assignment == host->second.assignment &&
          worker.acknowledged_drain == drain)
        continue;
      worker.acknowledged_assignment = host->second.assignment;
      worker.acknowledged_drain = drain;
      worker.idle = drain;
      changed.push_back(name);
    }
  }

  // Runs for `time` with a report each 0.5 s, if the entry host is heard.
  void Run(Millis time, bool heard = true) {
    const TimePoint end = now + time;
    for (; now < end; now += Millis(100)) {
      if (heard && now.time_since_epoch().count() % 500 == 0)
        Report();
      Tick();
    }
  }

  [[nodiscard]] HostState StateOf(const std::string& host) const {
    return state.view().hosts.at(HostName(host)).state;
  }
  [[nodiscard]] std::string PoolOf(const std::string& host) const {
    return state.view().hosts.at(HostName(host)).pool.str();
  }
};

// Guards against a quiet fleet that costs the leader commands.
BOOST_FIXTURE_TEST_CASE(QuietFleetNeedsNothing, Fixture) {
  Run(Millis(20'000));
  BOOST_TEST(names.empty());
}

// Guards against decisions on kept inputs: a loss that is reported after a
// long time without a change has to be seen, filled and undone.
BOOST_FIXTURE_TEST_CASE(LateLossIsSeenAndFilled, Fixture) {
  Run(Millis(10'000));
  Hear("h1", true);
  Run(Millis(5'000));
  BOOST_TEST((StateOf("h1") == HostState::kLost));
  Run(Millis(5'000));
  BOOST_TEST(PoolOf("s0") == "p");
  BOOST_TEST((StateOf("s0") == HostState::kActive));
  Hear("h1");
  Run(Millis(2'000));
  BOOST_TEST((StateOf("h1") == HostState::kActive));
}

// Guards against the silence of a whole zone being taken for the loss of its
// hosts, and against kept inputs that outlive the reports.
BOOST_FIXTURE_TEST_CASE(SilentZoneIsNotConcludedFrom, Fixture) {
  Run(Millis(10'000));
  Run(Millis(60'000), false);
  BOOST_TEST((StateOf("h0") == HostState::kActive));
  BOOST_TEST(PoolOf("s0") == "spare");
  Hear("h1", true);
  Run(Millis(10'000));
  BOOST_TEST((StateOf("h1") == HostState::kLost));
}

// Guards against a wave that is decided on a plan from before the operator's
// start, or that goes on by a plan from before a loss.
BOOST_FIXTURE_TEST_CASE(WavePlanFollowsItsInputs, Fixture) {
  Run(Millis(10'000));
  Command command;
  command.call.operation_id = OperationId("wave");
  command.call.operator_name = "ann";
  command.body = StartWave{PoolName("spare"), loop.unix_seconds() + 1};
  BOOST_REQUIRE(
      state.Apply(state.last_index() + 1, EncodeCommand(command)).accepted);
  Run(Millis(300));
  BOOST_TEST((StateOf("s0") != HostState::kActive));
  BOOST_TEST((StateOf("h0") == HostState::kActive));
}

// Guards against a worker that announces itself while nothing else changes and
// is never registered.
BOOST_FIXTURE_TEST_CASE(AnnouncedWorkerIsRegistered, Fixture) {
  Run(Millis(10'000));
  Hear("n0");
  Run(Millis(3'000));
  BOOST_REQUIRE(state.view().hosts.contains(HostName("n0")));
  BOOST_TEST(PoolOf("n0") == "spare");
  BOOST_TEST((StateOf("n0") == HostState::kActive));
}

// Guards against a change of a report that the kept inputs don't notice, and
// against a report without a change that makes everything computed again.
BOOST_AUTO_TEST_CASE(RevisionFollowsWorkers) {
  EntryReports reports;
  SyncReport report;
  report.entry = EntryName("e");
  report.zone = ZoneName("z");
  report.workers = {{HostName("h"), ZoneName("z")}};
  report.workers_sequence = 1;
  TimePoint now = FromMillis(1'000);
  BOOST_TEST(reports.Record(report, now));
  std::uint64_t last = reports.revision();
  report.workers.clear();
  report.workers_base = 1;
  BOOST_TEST(reports.Record(report, now));
  BOOST_TEST(reports.revision() == last);
  report.workers = {{HostName("h"), ZoneName("z"), RackName("r")}};
  report.workers_sequence = 2;
  BOOST_TEST(reports.Record(report, now));
  BOOST_TEST(reports.revision() != last);
  last = reports.revision();
  BOOST_TEST(reports.Fresh(now).size() == 1u);
  BOOST_TEST(reports.Fresh(now + kReportLifetime + Millis(1)).empty());
  reports.Forget(EntryName("e"));
  BOOST_TEST(reports.revision() != last);
}

}  // namespace
}  // namespace boragewinch
