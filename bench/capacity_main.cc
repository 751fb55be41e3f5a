// Measures CPU time, message bytes and memory of each role at several fleet
// sizes, without sockets. docs/CAPACITY.md quotes the results.

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "control/leader_controller.h"
#include "entry/entry_core.h"
#include "entry/policy_scheduler.h"
#include "fleet/fleet_state.h"
#include "fleet/sync_message.h"

namespace boragewinch {
namespace {

constexpr int kZones = 4;
constexpr int kTeams = 47;
constexpr int kHostsPerPool = 23;
constexpr int kTasksPerWorker = 6;

/// CPU time of this thread in microseconds.
[[nodiscard]] double CpuMicros() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

[[nodiscard]] std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

[[nodiscard]] HostName HostOf(int number) {
  return HostName("h" + std::to_string(number));
}

[[nodiscard]] Sheet MakeSheet(int hosts) {
  Sheet sheet;
  sheet.file = "bench";
  const int pools = std::max(2, hosts / kHostsPerPool);
  for (int i = 0; i < pools; ++i) {
    Pool pool{.name = PoolName("p" + std::to_string(i))};
    pool.spare = i == 0;
    sheet.pools.push_back({pool, {}});
  }
  for (int i = 0; i < kTeams; ++i) {
    Team team{.name = TeamName("t" + std::to_string(i))};
    team.limit = hosts;
    sheet.teams.push_back({team, {}});
  }
  for (int i = 1; i < pools; ++i) {
    Queue queue{.name = QueueName("q" + std::to_string(i))};
    queue.pool = PoolName("p" + std::to_string(i));
    queue.team = TeamName("t" + std::to_string(i % kTeams));
    sheet.queues.push_back({queue, {}});
  }
  for (int i = 0; i < hosts; ++i) {
    Host host{.name = HostOf(i)};
    host.pool = PoolName("p" + std::to_string(i % pools));
    host.zone = ZoneName("z" + std::to_string(i / pools % kZones));
    host.rack = RackName("r" + std::to_string(i / 4));
    sheet.hosts.push_back({host, {}});
  }
  return sheet;
}

[[nodiscard]] Command OperatorCommand(CommandBody body, int number) {
  Command command;
  command.call.operation_id = OperationId("op" + std::to_string(number));
  command.call.operator_name = "bench";
  command.body = std::move(body);
  return command;
}

[[nodiscard]] FleetState MakeFleet(int hosts, std::int64_t wall_seconds = 1) {
  FleetState state;
  Command sheet =
      OperatorCommand(ApplySheet{MakeSheet(hosts), true, {}, wall_seconds}, 0);
  sheet.call.expected_version = 0;
  const CommandResult result = state.Apply(1, EncodeCommand(sheet));
  if (!result.accepted)
    std::printf("sheet refused: %s\n", result.errors.front().Text().c_str());
  return state;
}

void MeasureControl(int hosts) {
  const std::size_t heap = HeapBytes();
  FleetState state = MakeFleet(hosts);
  const double megabytes =
      static_cast<double>(HeapBytes() - heap) / (1024.0 * 1024.0);

  constexpr int kChanges = 200;
  std::uint64_t index = 2;
  double start = CpuMicros();
  std::size_t log_bytes = 0;
  std::size_t delta_bytes = 0;
  for (int i = 0; i < kChanges; ++i) {
    const FleetVersion before = state.version();
    const std::string bytes = EncodeCommand(OperatorCommand(
        CommandBody(CreateKey{KeyId("k" + std::to_string(i)),
                              TeamName("t" + std::to_string(i % kTeams)),
                              std::string(64, 'a')}),
        i + 1));
    log_bytes += bytes.size();
    state.Apply(index++, bytes);
    delta_bytes += WriteJson(ToJson(state.DeltaSince(before))).size();
  }
  const double change_us = (CpuMicros() - start) / kChanges;

  start = CpuMicros();
  const std::string snapshot = state.Snapshot();
  const double snapshot_ms = (CpuMicros() - start) / 1e3;
  start = CpuMicros();
  const auto restored = FleetState::Restore(snapshot);
  const double restore_ms = (CpuMicros() - start) / 1e3;
  std::printf(
      "control hosts=%d state_mb=%.2f change_us=%.0f log_bytes_per_change=%zu "
      "delta_bytes=%zu snapshot_mb=%.2f snapshot_ms=%.0f restore_ms=%.0f%s\n",
      hosts, megabytes, change_us, log_bytes / kChanges, delta_bytes / kChanges,
      static_cast<double>(snapshot.size()) / (1024.0 * 1024.0), snapshot_ms,
      restore_ms, restored ? "" : " RESTORE FAILED");
}

[[nodiscard]] WorkerReport MakeReport(const Host& host,
                                      std::uint64_t sequence) {
  WorkerReport report;
  report.host = host.name;
  report.incarnation = Incarnation("0123456789abcdef");
  report.sequence = sequence;
  report.zone = host.zone;
  report.rack = host.rack;
  report.address = "127.0.0.1:10000";
  report.total = {16'000, 65'536, 0};
  report.acknowledged_assignment = host.assignment;
  report.acknowledged_pool = host.pool;
  for (int i = 0; i < kTasksPerWorker; ++i) {
    TaskReport task;
    task.task = {RequestId("z1.e2.fedcba9876543210." + std::to_string(i)), 1};
    task.team = TeamName("t1");
    task.usage = {1'000, 2'048, 0};
    report.tasks.push_back(std::move(task));
  }
  return report;
}

/// CPU time from submitting a repeatable job to its start, one job at a time,
/// in a zone whose workers have free slots.
void MeasureDispatch(EntryCore& core, int hosts, TimePoint now) {
  constexpr int kJobs = 200;
  FleetView view = core.view();
  for (auto& [name, queue] : view.queues)
    queue.open = true;
  ++view.version;
  core.OnFleetUpdate(view, now);
  ControlResponse control;
  control.confirmed_at = now;
  control.allotment_version = 1;
  for (const auto& [name, team] : view.teams)
    control.allotment[name] = team.limit;
  core.OnControlResponse(control, now);
  // Without a peer to replicate to, a repeatable job starts with a single copy
  // after replication_timeout.
  now += Millis(1);
  int starts = 0;
  const double begin = CpuMicros();
  for (int i = 0; i < kJobs; ++i) {
    SubmitCall call;
    call.call = CallId{1'000'000} + static_cast<CallId>(i);
    const int queues = static_cast<int>(view.queues.size());
    call.spec.queue = QueueName("q" + std::to_string(1 + i % queues));
    call.spec.declared = {100, 100, 0};
    call.spec.repeatable = true;
    call.deadline = now + Millis(5'000);
    core.Submit(std::move(call), now);
    for (const EntryAction& action : core.TakeActions())
      starts += std::holds_alternative<StartTask>(action) ? 1 : 0;
  }
  now += Millis(1'100);
  core.Tick(now);
  for (const EntryAction& action : core.TakeActions())
    starts += std::holds_alternative<StartTask>(action) ? 1 : 0;
  std::printf("dispatch hosts=%d jobs=%d starts=%d us_per_job=%.0f\n", hosts,
              kJobs, starts, (CpuMicros() - begin) / kJobs);
}

void MeasureEntry(int hosts) {
  const FleetState state = MakeFleet(hosts);
  std::vector<Host> zone_hosts;
  for (const auto& [name, host] : state.view().hosts) {
    if (host.zone == ZoneName("z0"))
      zone_hosts.push_back(host);
  }
  const std::size_t heap = HeapBytes();
  PolicyScheduler scheduler;
  EntryConfig config;
  config.zone = ZoneName("z0");
  config.name = EntryName("e0");
  config.incarnation = Incarnation("0011223344556677");
  TimePoint now = FromMillis(1'000'000);
  EntryCore core(
      config, scheduler.hooks(), [](std::uint64_t) { return 0; }, now);
  core.OnFleetUpdate(state.view(), now);

  std::size_t report_bytes = 0;
  std::size_t response_bytes = 0;
  constexpr int kRounds = 5;
  double handling_us = 0;
  for (int round = 1; round <= kRounds; ++round) {
    now += Millis(1'000);
    for (const Host& host : zone_hosts) {
      // The worker encodes the report; only parsing is timed here.
      const std::string text = WriteJson(
          ToJson(MakeReport(host, static_cast<std::uint64_t>(round))));
      report_bytes += text.size();
      const double begin = CpuMicros();
      const auto json = ParseJson(text);
      const auto report = WorkerReportFromJson(json.value());
      const WorkerReportResponse response =
          core.OnWorkerReport(report.value(), now);
      response_bytes += 120 + response.renewed.size() * 40;
      static_cast<void>(core.TakeActions());
      handling_us += CpuMicros() - begin;
    }
    const double begin = CpuMicros();
    core.Tick(now);
    static_cast<void>(core.TakeActions());
    handling_us += CpuMicros() - begin;
  }
  const auto reports =
      static_cast<double>(kRounds) * static_cast<double>(zone_hosts.size());
  const double report_us = handling_us / reports;
  const double megabytes =
      static_cast<double>(HeapBytes() - heap) / (1024.0 * 1024.0);

  MeasureDispatch(core, hosts, now);

  SyncReport sync;
  sync.entry = config.name;
  sync.zone = config.zone;
  sync.incarnation = config.incarnation;
  sync.address = sync.peer_address = "127.0.0.1:10000";
  for (int i = 0; i < kTeams; ++i) {
    sync.running[TeamName("t" + std::to_string(i))] = 10;
    sync.wanted[TeamName("t" + std::to_string(i))] = 5;
  }
  const std::size_t sync_bytes = WriteJson(ToJson(sync)).size();
  for (const Host& host : zone_hosts) {
    WorkerStatus status{host.name, host.zone, host.rack};
    status.incarnation = Incarnation("0123456789abcdef");
    sync.workers.push_back(status);
  }
  const double start = CpuMicros();
  const std::string full = WriteJson(ToJson(sync));
  const double full_us = CpuMicros() - start;
  std::printf(
      "entry hosts=%d zone_workers=%zu report_bytes=%.0f answer_bytes=%.0f "
      "report_us=%.1f heap_mb=%.2f sync_bytes=%zu full_sync_kb=%.0f "
      "full_sync_us=%.0f\n",
      hosts, zone_hosts.size(), static_cast<double>(report_bytes) / reports,
      static_cast<double>(response_bytes) / reports, report_us, megabytes,
      sync_bytes, static_cast<double>(full.size()) / 1024.0, full_us);
}

void MeasureRecords(int records) {
  TimePoint now = FromMillis(1'000'000);
  FleetState state = MakeFleet(100);
  PolicyScheduler scheduler;
  EntryConfig config;
  config.zone = ZoneName("z0");
  config.name = EntryName("e0");
  config.incarnation = Incarnation("0011223344556677");
  EntryCore core(
      config, scheduler.hooks(), [](std::uint64_t) { return 0; }, now);
  FleetView view = state.view();
  for (auto& [name, queue] : view.queues)
    queue.open = true;
  core.OnFleetUpdate(view, now);
  const std::size_t heap = HeapBytes();
  const double start = CpuMicros();
  for (int i = 0; i < records; ++i) {
    SubmitCall call;
    call.call = static_cast<CallId>(i) + 1;
    call.spec.queue = QueueName("q" + std::to_string(1 + i % 3));
    call.spec.customer = CustomerName("c" + std::to_string(i % 6));
    call.spec.declared = {1'000, 1'024, 0};
    call.spec.repeatable = true;
    call.spec.payload = std::string(200, 'x');
    call.deadline = now + Millis(5'000);
    core.Submit(std::move(call), now);
    static_cast<void>(core.TakeActions());
  }
  now += Millis(2'000);
  core.Tick(now);
  const std::size_t actions = core.TakeActions().size();
  std::printf(
      "records n=%d held=%zu submit_us=%.1f heap_bytes_per_record=%.0f "
      "answers=%zu\n",
      records, core.requests().size(), (CpuMicros() - start) / records,
      static_cast<double>(HeapBytes() - heap) / records, actions);
}

/// CPU time of the leader's controller while every entry host reports unchanged
/// workers, with `changes` state changes during the measurement.
void MeasureLeader(int hosts, int changes) {
  constexpr int kEntriesPerZone = 4;
  constexpr int kTicks = 240;  // 24 s
  EventLoop loop;
  HttpClient client(loop, HttpClientLimits{});
  PlatformClient platform(client, "127.0.0.1:1");
  FleetState state = MakeFleet(hosts, loop.unix_seconds());
  EntryReports reports;
  LeaderController controller(loop, platform, state, reports, WaveConfig(),
                              BufferMoveConfig(),
                              [](const Command&, const Proposals::Reply&) {});
  TimePoint now = FromMillis(1'000'000);
  controller.OnLeadership(now);
  std::vector<SyncReport> sent;
  for (int zone = 0; zone < kZones; ++zone) {
    for (int i = 0; i < kEntriesPerZone; ++i) {
      SyncReport report;
      report.zone = ZoneName("z" + std::to_string(zone));
      report.entry = EntryName(report.zone.str() + "e" + std::to_string(i));
      report.incarnation = Incarnation("0123456789abcdef");
      report.workers_sequence = 1;
      for (const auto& [name, host] : state.view().hosts) {
        if (host.zone != report.zone)
          continue;
        WorkerStatus worker{name, host.zone, host.rack,
                            Incarnation("fedcba9876543210")};
        worker.acknowledged_assignment = host.assignment;
        report.workers.push_back(std::move(worker));
      }
      static_cast<void>(reports.Record(report, now));
      report.workers.clear();
      report.workers_base = 1;
      sent.push_back(std::move(report));
    }
  }
  std::uint64_t index = 2;
  double micros = 0;
  double longest = 0;
  for (int tick = 0; tick < kTicks; ++tick) {
    now += Millis(100);
    if (tick % 5 == 0) {
      for (const SyncReport& report : sent)
        static_cast<void>(reports.Record(report, now));
    }
    if (changes > 0 && tick % (kTicks / changes) == 0) {
      state.Apply(
          index,
          EncodeCommand(OperatorCommand(
              CommandBody(CreateKey{KeyId("k" + std::to_string(index)),
                                    TeamName("t1"), std::string(64, 'a')}),
              static_cast<int>(index))));
      ++index;
    }
    const double start = CpuMicros();
    controller.Tick(now);
    const double elapsed = CpuMicros() - start;
    micros += elapsed;
    longest = std::max(longest, elapsed);
  }
  std::printf(
      "leader hosts=%d entries=%zu changes=%d in 24 s: core_percent=%.2f "
      "longest_tick_us=%.0f\n",
      hosts, sent.size(), changes, micros / (kTicks * 100'000.0) * 100,
      longest);
}

}  // namespace
}  // namespace boragewinch

int main() {
  boragewinch::ConfigureEventLog("capacity", boragewinch::EventLevel::kError);
  for (const int hosts : {500, 2'000, 7'100})
    boragewinch::MeasureControl(hosts);
  for (const int hosts : {500, 2'000, 7'100})
    boragewinch::MeasureEntry(hosts);
  for (const int records : {1'000, 4'000, 16'000})
    boragewinch::MeasureRecords(records);
  for (const int hosts : {500, 2'000, 7'100}) {
    // 36,000 changes a day are 10 in 24 s.
    for (const int changes : {0, 10})
      boragewinch::MeasureLeader(hosts, changes);
  }
  return 0;
}
