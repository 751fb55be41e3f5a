#define BOOST_TEST_MODULE leader_controller
#include <boost/test/unit_test.hpp>

#include <deque>
#include <string>

#include "control/leader_controller.h"

namespace boragewinch {
namespace {

// Runs the control loops of a leader on a real fleet state. Commands are
// applied after each tick, as if a majority had committed them.
struct Fixture {
  EventLoop loop;
  HttpClient client{loop, HttpClientLimits{}};
  PlatformClient platform{client, "127.0.0.1:1"};
  FleetState state;
  EntryReports reports;
  std::deque<std::pair<Command, Proposals::Reply>> submitted;
  std::vector<std::string> names;  ///< of applied commands
  BufferMoveConfig buffers{.loss_delay = Millis(2'000)};
  LeaderController controller{
      loop,
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
      SetWorker(name.str());
    controller.OnLeadership(now);
  }

  void SetWorker(const std::string& name, bool lost = false) {
    WorkerStatus& worker = workers[HostName(name)];
    worker = {HostName(name), ZoneName("z"), RackName("r"), Incarnation("i")};
    worker.lost = lost;
    changed.emplace_back(name);
  }

  // Sends an incremental report of an entry host.
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
    controller.OnReport(report, now);
  }

  void Tick() {
    controller.Tick(now);
    while (!submitted.empty()) {
      auto [command, reply] = std::move(submitted.front());
      submitted.pop_front();
      names.emplace_back(CommandName(command.body));
      reply(state.Apply(state.last_index() + 1, EncodeCommand(command)));
    }
    // Workers acknowledge their assignments and drains at once.
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

  // Ticks for `time`, with a report every 0.5 s if `reporting`.
  void Run(Millis time, bool reporting = true) {
    const TimePoint end = now + time;
    for (; now < end; now += Millis(100)) {
      if (reporting && now.time_since_epoch().count() % 500 == 0)
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

// Guards against commands while nothing changes.
BOOST_FIXTURE_TEST_CASE(UnchangedFleetNeedsNoCommands, Fixture) {
  Run(Millis(20'000));
  BOOST_TEST(names.empty());
}

// Guards against decisions from stale cached inputs: a host that is lost after
// a long time without changes must be detected and replaced by a spare host,
// and must return to service when its worker reports again.
BOOST_FIXTURE_TEST_CASE(LateLossIsDetectedAndReplaced, Fixture) {
  Run(Millis(10'000));
  SetWorker("h1", true);
  Run(Millis(5'000));
  BOOST_TEST((StateOf("h1") == HostState::kLost));
  Run(Millis(5'000));
  BOOST_TEST(PoolOf("s0") == "p");
  BOOST_TEST((StateOf("s0") == HostState::kActive));
  SetWorker("h1");
  Run(Millis(2'000));
  BOOST_TEST((StateOf("h1") == HostState::kActive));
}

// Guards against declaring hosts lost when no entry host of their zone reports,
// and against cached inputs from before the reports resumed.
BOOST_FIXTURE_TEST_CASE(UnresponsiveZoneKeepsItsHosts, Fixture) {
  Run(Millis(10'000));
  Run(Millis(60'000), false);
  BOOST_TEST((StateOf("h0") == HostState::kActive));
  BOOST_TEST(PoolOf("s0") == "spare");
  SetWorker("h1", true);
  Run(Millis(10'000));
  BOOST_TEST((StateOf("h1") == HostState::kLost));
}

// Guards against a wave that follows a cached plan from before the operator
// started it.
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

// Guards against never registering a new worker that is reported while nothing
// else changes.
BOOST_FIXTURE_TEST_CASE(ReportedWorkerIsRegistered, Fixture) {
  Run(Millis(10'000));
  SetWorker("n0");
  Run(Millis(3'000));
  BOOST_REQUIRE(state.view().hosts.contains(HostName("n0")));
  BOOST_TEST(PoolOf("n0") == "spare");
  BOOST_TEST((StateOf("n0") == HostState::kActive));
}

// Guards against a changed report that doesn't invalidate the cached inputs,
// and against an unchanged report that does.
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
