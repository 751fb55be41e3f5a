#define BOOST_TEST_MODULE zone_evacuation
#include <boost/test/unit_test.hpp>

#include <limits>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "evacuation/zone_exit.h"
#include "ledger_builder.h"
#include "platform/job_codec.h"
#include "scheduler/admin_api.h"
#include "scheduler/pool_balancer.h"
#include "scheduler/stop_planner.h"
#include "scheduler/task_planner.h"
#include "scheduler/worker_registry.h"
#include "single_replica.h"

namespace boragewinch::scheduler {
namespace {

using jobs::JobLedger;
using jobs::LedgerBuilder;

/// Pool "p" with workers of 16 cores: a1 and a2 in zone "za", b1 in zone "zb".
struct Zones : LedgerBuilder {
  Zones() {
    for (const char* id : {"a1", "a2", "b1"})
      Add(id, std::string("z") + id[0]);
  }
  void Add(const std::string& id, const std::string& zone) {
    jobs::WorkerRecord record;
    record.incarnation = IncarnationOf(id);
    record.address = id + ":80";
    record.host = HostName("h-" + id);
    record.pool = PoolName("p");
    record.zone = ZoneName(zone);
    record.capacity = {16'000, 32'000, 0};
    jobs::Batch batch;
    batch.workers.push_back(record);
    Apply(batch);
  }
  void Order(const std::string& zone, bool evacuated) {
    jobs::Batch batch;
    batch.zone_changes.push_back({ZoneName(zone), evacuated});
    Apply(batch);
  }
  /// \returns the workers on which the planner starts tasks.
  [[nodiscard]] std::multiset<std::string> PlannedWorkers(
      const std::set<std::string>& cold = {}) const {
    PlannerHooks hooks;
    hooks.start_limit = [](const jobs::WorkerIncarnation&) {
      return std::numeric_limits<std::size_t>::max();
    };
    hooks.accepts_soon = [](const auto&) { return true; };
    hooks.is_quarantined = [](const auto&) { return false; };
    hooks.is_advised = [](const auto&, const auto&) { return true; };
    hooks.has_failed_on = [](const auto&, const auto&) { return false; };
    hooks.is_cold = [&](const jobs::WorkerIncarnation& incarnation) {
      return cold.count(incarnation.id.str()) > 0;
    };
    std::multiset<std::string> workers;
    for (const jobs::StartRecord& start :
         TaskPlanner(TaskPlannerOptions{}).Plan(ledger(), hooks, 2'000)) {
      workers.insert(start.worker.id.str());
    }
    return workers;
  }
  /// \returns the workers on which runs are to be stopped.
  [[nodiscard]] std::multiset<std::string> Stops(
      const std::set<std::string>& stopping = {},
      const std::set<std::string>& unusable = {}) const {
    const IsStopping is_stopping = [&](const jobs::RunName&,
                                       const jobs::WorkerIncarnation& worker) {
      return stopping.count(worker.id.str()) > 0;
    };
    const PercentOf percent_of = [&](const jobs::RunName& run,
                                     const jobs::WorkerIncarnation& worker) {
      return is_stopping(run, worker) ? 0 : 100;
    };
    std::multiset<std::string> workers;
    for (const StopOrder& stop :
         PlanStops(ledger(), {}, percent_of, is_stopping,
                   evacuation::PlanZoneExits(
                       ledger(),
                       [&](const jobs::WorkerIncarnation& worker) {
                         return unusable.count(worker.id.str()) == 0;
                       },
                       is_stopping))) {
      BOOST_TEST(std::string(stop.reason) == "zone_evacuated");
      workers.insert(stop.worker.id.str());
    }
    return workers;
  }
  /// Submits a long-running job with a run on each of the workers.
  void Serve(const std::string& job,
             const std::vector<std::string>& workers,
             std::int64_t cpu,
             std::int64_t max_unavailable) {
    jobs::StepSpec step = Tasks(static_cast<std::int64_t>(workers.size()), cpu);
    step.long_running = true;
    step.max_unavailable = max_unavailable;
    Submit(job, {step});
    for (std::uint32_t i = 0; i < workers.size(); ++i)
      Start(Run(job, 0, i), workers[i]);
  }
};

using Names = std::multiset<std::string>;

// Guards against an order or a withdrawal that is lost when a replica restarts
// from a snapshot or reads the log, and against entries of earlier versions.
BOOST_FIXTURE_TEST_CASE(OrdersSurviveEntriesAndSnapshots, Zones) {
  jobs::Batch batch;
  batch.zone_changes = {{ZoneName("za"), true}, {ZoneName("zb"), false}};
  BOOST_TEST(!batch.empty());
  const auto read = jobs::DecodeBatch(jobs::EncodeBatch(batch));
  BOOST_REQUIRE(read);
  BOOST_TEST((read.value().zone_changes == batch.zone_changes));
  const auto json = jobs::DecodeBatch(R"({"now":1,"zones":[["za",true]]})");
  BOOST_REQUIRE(json);
  BOOST_TEST(json.value().zone_changes.size() == 1U);
  BOOST_TEST(!jobs::DecodeBatch(R"({"now":1,"zones":[["za"]]})"));
  const auto earlier = jobs::DecodeBatch(R"({"now":1})");
  BOOST_REQUIRE(earlier);
  BOOST_TEST(earlier.value().zone_changes.empty());

  Order("za", true);
  Order("zb", true);
  Order("zb", false);
  Order("unknown", false);
  const auto restored = JobLedger::Restore(ledger().Snapshot());
  BOOST_REQUIRE(restored);
  BOOST_TEST(restored.value().zones().size() == 2U);
  BOOST_TEST(restored.value().IsEvacuated(ZoneName("za")));
  BOOST_TEST(restored.value().IsReturned(ZoneName("zb")));
  BOOST_TEST(restored.value().Snapshot() == ledger().Snapshot());
  const auto without = JobLedger::Restore(Zones().ledger().Snapshot());
  BOOST_REQUIRE(without);
  BOOST_TEST(without.value().zones().empty());
}

// Guards against a ledger that grows with the names that operators send, and
// against an evacuation that is forgotten for one of them.
BOOST_FIXTURE_TEST_CASE(TheNumberOfZonesIsBounded, Zones) {
  for (std::size_t i = 0; i < jobs::kMaxZones; ++i)
    Order("z" + std::to_string(i), true);
  BOOST_TEST(!ledger().CanEvacuate(ZoneName("more")));
  Order("more", true);
  BOOST_TEST(!ledger().IsEvacuated(ZoneName("more")));
  BOOST_TEST(ledger().CanEvacuate(ZoneName("z0")));
  Order("z7", false);
  Order("more", true);
  BOOST_TEST(ledger().zones().size() == jobs::kMaxZones);
  BOOST_TEST(ledger().IsEvacuated(ZoneName("more")));
  BOOST_TEST(ledger().IsEvacuated(ZoneName("z0")));
  BOOST_TEST(!ledger().IsReturned(ZoneName("z7")));
}

// Guards against starts that were decided before the order was applied, and
// against a gang of which only the members outside the zone start.
BOOST_FIXTURE_TEST_CASE(AStoredStartDoesNotPassAnEvacuation, Zones) {
  jobs::StepSpec gang = Tasks(2);
  gang.gang = true;
  Submit("single", {Tasks(2)}).Submit("gang", {gang});
  jobs::Batch batch;
  batch.zone_changes.push_back({ZoneName("za"), true});
  batch.starts = {{Run("single", 0, 0), IncarnationOf("a1")},
                  {Run("single", 0, 1), IncarnationOf("b1")},
                  {Run("gang", 0, 0), IncarnationOf("b1")},
                  {Run("gang", 0, 1), IncarnationOf("a2")}};
  Apply(batch);
  BOOST_TEST(!ledger().HasRun(Run("single", 0, 0), IncarnationOf("a1")));
  BOOST_TEST(ledger().HasRun(Run("single", 0, 1), IncarnationOf("b1")));
  BOOST_TEST(!ledger().HasRun(Run("gang", 0, 0), IncarnationOf("b1")));
  BOOST_TEST(!ledger().HasRun(Run("gang", 0, 1), IncarnationOf("a2")));
}

// Guards against starts in an evacuated zone, and against jobs that do not wait
// when all zones are evacuated.
BOOST_FIXTURE_TEST_CASE(NothingIsPlannedInAnEvacuatedZone, Zones) {
  Submit("job", {Tasks(40)});
  Order("za", true);
  BOOST_TEST(PlannedWorkers().size() == 16U);
  BOOST_TEST(PlannedWorkers().count("b1") == 16U);
  Order("zb", true);
  BOOST_TEST(PlannedWorkers().empty());
  Order("za", false);
  Order("zb", false);
  BOOST_TEST(PlannedWorkers().size() == 40U);
}

// Guards against a returned zone whose cold workers get tasks while warm ones
// are free, or get none at all.
BOOST_FIXTURE_TEST_CASE(WarmWorkersComeFirst, Zones) {
  Submit("job", {Tasks(20)});
  const Names workers = PlannedWorkers({"a1", "a2"});
  BOOST_TEST(workers.count("b1") == 16U);
  BOOST_TEST(workers.size() == 20U);
}

// Guards against a long-running step that loses more tasks at a time than it
// may, and against stops that are decided after a withdrawal.
BOOST_FIXTURE_TEST_CASE(LongRunningTasksLeaveWithinTheirLimit, Zones) {
  Serve("job", {"a1", "a2"}, 1'000, 1);
  BOOST_TEST(Stops().empty());
  Order("za", true);
  BOOST_TEST(Stops().size() == 1U);
  BOOST_TEST(Stops({"a1"}).empty());
  Order("za", false);
  BOOST_TEST(Stops().empty());
}

// Guards against long-running tasks that are stopped although no other zone has
// capacity for them, so that they serve nobody.
BOOST_FIXTURE_TEST_CASE(LongRunningTasksStayWithoutRoomElsewhere, Zones) {
  Serve("one", {"a1"}, 9'000, 0);
  Serve("two", {"a2"}, 9'000, 0);
  Order("za", true);
  BOOST_TEST((Stops() == Names{"a1"}));
  // The one that is being stopped keeps its room.
  BOOST_TEST((Stops({"a2"}) == Names{"a2"}));
  BOOST_TEST(Stops({}, {"b1"}).empty());
}

// Guards against capacity that is promised to a run in the zone and to a task
// that already waits.
BOOST_FIXTURE_TEST_CASE(WaitingTasksComeBeforeThoseInTheZone, Zones) {
  Serve("in-zone", {"a1"}, 9'000, 0);
  Order("za", true);
  BOOST_TEST(Stops().size() == 1U);
  jobs::StepSpec step = Tasks(1, 9'000);
  step.long_running = true;
  Submit("waits", {step});
  BOOST_TEST(Stops().empty());
}

// Guards against short tasks that are stopped with their zone, and against
// room that the label or the limit per worker rules out.
BOOST_FIXTURE_TEST_CASE(ShortTasksEndAndConstraintsHold, Zones) {
  Submit("short", {Tasks(1)}).Start(Run("short", 0, 0), "a1");
  jobs::StepSpec labelled = Tasks(1);
  labelled.long_running = true;
  labelled.required_label = "nowhere";
  Submit("labelled", {labelled}).Start(Run("labelled", 0, 0), "a1");
  jobs::StepSpec spread = Tasks(2);
  spread.long_running = true;
  spread.max_per_worker = 1;
  Submit("spread", {spread});
  Start(Run("spread", 0, 0), "a2").Start(Run("spread", 0, 1), "b1");
  Order("za", true);
  BOOST_TEST(Stops().empty());
  Add("b2", "zb");
  BOOST_TEST((Stops() == Names{"a2"}));
}

struct Balance : Zones {
  Balance() {
    jobs::Batch batch;
    batch.config = ledger().config();
    ++batch.config->version;
    batch.config->pools[PoolName("off")] = {PoolName("off"), true, true};
    Apply(batch);
    for (const char* id : {"a1", "a2", "b1"}) {
      rows.push_back({HostName(std::string("h-") + id), PoolName("p"),
                      HostState::kUp, jobs::WorkerId(id),
                      ZoneName(std::string("z") + id[0])});
    }
    for (const char* zone : {"za", "zb"}) {
      for (int i = 0; i < 3; ++i) {
        rows.push_back({HostName(std::string("off-") + zone + char('0' + i)),
                        PoolName("off"),
                        HostState::kUp,
                        {},
                        ZoneName(zone)});
      }
    }
  }
  [[nodiscard]] std::vector<HostMove> Decide(std::int64_t millis) {
    const TimePoint now = FromMillis(100'000 + millis);
    HostInventory inventory;
    inventory.OnList(rows, now, now);
    return balancer.Decide(
        ledger(), inventory, [](const auto&) { return true; }, {},
        [](const HostName&) { return true; }, 1'000 + millis, now);
  }
  std::vector<HostRow> rows;
  PoolBalancer balancer{PoolBalancerOptions{}};
};

// Guards against hosts of an evacuated zone that count as capacity, that are
// brought into a serving pool, or that are moved at all.
BOOST_FIXTURE_TEST_CASE(HostsOfOtherZonesReplaceThoseOfTheZone, Balance) {
  BOOST_TEST(Decide(0).empty());
  Order("za", true);
  Submit("job", {Tasks(8, 8'000)});
  const auto moves = Decide(50);
  BOOST_TEST(balancer.sizings().at(PoolName("p")).hosts == 1);
  BOOST_TEST(moves.size() == 3U);
  for (const HostMove& move : moves) {
    BOOST_TEST(move.host.str().starts_with("off-zb"));
    BOOST_TEST(move.to.str() == "p");
  }
  // Nor do idle ones return to standby.
  Cancel("job");
  for (int millis = 100; millis < 8'000; millis += 100) {
    for (const HostMove& move : Decide(millis))
      BOOST_TEST(!move.host.str().starts_with("h-a"));
  }
}

// Guards against long-running tasks that never leave a zone because nothing
// asks for hosts while they run.
BOOST_FIXTURE_TEST_CASE(TasksThatAreToLeaveBringHosts, Balance) {
  Serve("job", {"a1", "a2", "b1"}, 16'000, 1);
  // With many hosts in all, the demand of one job is no burst.
  for (int i = 0; i < 12; ++i) {
    rows.push_back({HostName("more" + std::to_string(i)),
                    PoolName("off"),
                    HostState::kUp,
                    {},
                    ZoneName("zb")});
  }
  BOOST_TEST(Decide(2'000).empty());
  Order("za", true);
  BOOST_TEST(Stops().empty());
  BOOST_TEST(Decide(2'100).size() >= 2U);
}

struct Orders : SingleReplica {
  Orders() {
    Lead();
    admin.emplace(*replica);
  }
  [[nodiscard]] Status Order(const Result<ZoneName>& zone, bool evacuated) {
    std::optional<Status> result;
    admin->SetEvacuated(zone, evacuated, loop.now(), [&](const Status& status) {
      result = status;
      loop.Stop();
    });
    if (!result)
      loop.Run();
    return *result;
  }
  std::optional<AdminApi> admin;
};

// Guards against an acknowledged order that an earlier, unanswered opposite
// order overtakes, and against a repeated one that is refused.
BOOST_FIXTURE_TEST_CASE(TheLastOrderCounts, Orders) {
  const ZoneName zone("za");
  BOOST_TEST(Order(zone, true).has_value());
  BOOST_TEST(Order(zone, true).has_value());
  admin->SetEvacuated(zone, false, loop.now(), [](const Status&) {});
  BOOST_TEST(Order(zone, true).has_value());
  // All changes before this one are applied with it.
  BOOST_TEST(Order(ZoneName("zb"), true).has_value());
  BOOST_TEST(replica->ledger().IsEvacuated(zone));
  BOOST_TEST(admin->EvacuatedZones(loop.now()).value().size() == 2U);
  BOOST_TEST(Order(zone, false).has_value());
  BOOST_TEST(Order(ZoneName("zb"), false).has_value());
  BOOST_TEST(Order(ZoneName("never-seen"), false).has_value());
  BOOST_TEST(admin->EvacuatedZones(loop.now()).value().empty());
  for (const std::string& name : {std::string(), std::string(129, 'z')}) {
    const Status refused = Order(platform::DecodeZone(name), true);
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().code == ErrorCode::kInvalidField));
  }
  BOOST_TEST(platform::DecodeZone(std::string(128, 'z')).has_value());
}

// Guards against cold workers that rank behind others in a deployment whose
// operators have evacuated nothing, and against ones that stay cold.
BOOST_FIXTURE_TEST_CASE(WorkersAreColdOnlyInAReturnedZone, Orders) {
  jobs::WorkerRecord record;
  record.incarnation = {jobs::WorkerId("w"), 1};
  record.zone = ZoneName("za");
  BOOST_REQUIRE(
      Store([&](jobs::Batch* batch) { batch->workers.push_back(record); }));
  WorkerRegistry registry(*replica, {});
  const auto is_cold_after = [&](Millis time) {
    return registry.IsCold(record.incarnation, loop.now() + time);
  };
  registry.RecordCold(record.incarnation, Millis(30'000), loop.now());
  BOOST_TEST(!is_cold_after(Millis(0)));
  BOOST_REQUIRE(Order(record.zone, true));
  BOOST_REQUIRE(Order(record.zone, false));
  BOOST_TEST(is_cold_after(Millis(0)));
  BOOST_TEST(!is_cold_after(Millis(31'000)));
  registry.RecordCold(record.incarnation, Millis(0), loop.now());
  BOOST_TEST(!is_cold_after(Millis(0)));
}

}  // namespace
}  // namespace boragewinch::scheduler
