#include "entry/control_link.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "entry/outbound_service.h"
#include "entry/peer_link.h"
#include "entry/public_port.h"
#include "entry/service_names.h"

namespace boragewinch {

namespace {

constexpr Millis kTickInterval{50};
// A changed demand or an offer is reported at once, but no sooner than this
// after the last sync began.
constexpr Millis kMinSyncInterval{100};
constexpr Millis kSyncTimeout{1'500};

[[nodiscard]] WorkerStatus StatusOf(const WorkerEntry& worker, bool leaving) {
  const WorkerReport& report = worker.report;
  WorkerStatus status;
  status.host = report.host;
  status.zone = report.zone;
  status.rack = report.rack;
  status.incarnation = report.incarnation;
  status.lost = worker.lost;
  status.leaving = leaving;
  status.acknowledged_drain = report.acknowledged_drain;
  status.acknowledged_assignment = report.acknowledged_assignment;
  status.idle = report.acknowledged_drain &&
                std::none_of(report.tasks.begin(), report.tasks.end(),
                             [](const TaskReport& task) {
                               return task.state == TaskState::kRunning;
                             });
  return status;
}

}  // namespace

ControlLink::ControlLink(const EntryOptions& options) : options_(options) {}

Status ControlLink::Start(Kernel& kernel) {
  loop_ = &kernel.loop();
  BW_TRY(entry_, kernel.Require<EntryService>(kEntryService));
  BW_TRY(auto* outbound, kernel.Require<OutboundService>(kOutboundService));
  BW_TRY(peers_, kernel.Require<PeerLink>(kPeersService));
  BW_TRY(public_, kernel.Require<PublicPort>(kPublicService));
  core_ = &entry_->core();
  rpc_ = &outbound->rpc();
  tick_ = loop_->Every(kTickInterval, [this](TimePoint now) { Tick(now); });
  // The other services listen, and know their addresses, once the loop runs.
  loop_->Post([this] { Sync(loop_->now()); });
  return Ok();
}

void ControlLink::Tick(TimePoint now) {
  if (sync_in_flight_)
    return;
  const bool may_sync = now + kSyncInterval >= next_sync_ + kMinSyncInterval;
  const bool demand_changed =
      may_sync && core_->requests().queued_by_team() != reported_wanted_;
  // Another entry host may need the offered units, and a lowered limit takes
  // effect only after their return.
  const bool offers = may_sync && !core_->allotments().offers().empty();
  const bool retiring = core_->stopping() && core_->stopped() && !retired_;
  if (now >= next_sync_ || demand_changed || offers || retiring)
    Sync(now);
}

void ControlLink::Sync(TimePoint now) {
  const SyncReport report = BuildReport(now);
  const std::string& target =
      options_.control[control_index_ % options_.control.size()];
  sync_in_flight_ = true;
  next_sync_ = now + kSyncInterval;
  reported_wanted_ = report.wanted;
  rpc_->Call(target, "control.sync", ToJson(report), kSyncTimeout,
             [this, report, now](const Result<Json>& result) {
               sync_in_flight_ = false;
               OnResponse(result, report, now);
             });
}

SyncReport ControlLink::BuildReport(TimePoint now) {
  const ControlReport decided = core_->BuildControlReport(now);
  SyncReport report;
  report.entry = options_.name;
  report.zone = options_.zone;
  report.incarnation = entry_->incarnation();
  report.address = public_->address();
  report.peer_address = peers_->address();
  report.version = decided.version;
  report.allotment_version = decided.allotment_version;
  report.entries_hash = entries_hash_;
  report.retiring = core_->stopping() && core_->stopped();
  report.running = decided.running;
  report.wanted = core_->requests().queued_by_team();
  report.returned = decided.returned;
  for (const TakenOver& taken : decided.taken_over) {
    report.taken_over.push_back(
        {taken.entry, taken.incarnation, taken.running});
  }
  for (const UnresponsivePeer& peer : decided.unresponsive) {
    report.unresponsive.push_back(
        {peer.entry, peer.incarnation, peer.unresponsive_for, peer.fenced});
  }
  // Omits the keys that the fleet state already lists as withdrawn.
  for (const KeyId& key : decided.tombstones) {
    const auto known = core_->view().keys.find(key);
    if (known == core_->view().keys.end() || !known->second.withdrawn)
      report.tombstones.push_back(key);
  }
  AddWorkers(&report);
  return report;
}

void ControlLink::AddWorkers(SyncReport* report) const {
  report->workers_base = workers_base_;
  report->workers_sequence = workers_sequence_ + 1;
  for (const auto& [host, worker] : core_->workers().workers()) {
    const WorkerStatus status =
        StatusOf(worker, core_->workers().leaving(worker));
    const auto known = acknowledged_workers_.find(host);
    if (workers_base_ == 0 || known == acknowledged_workers_.end() ||
        known->second != status)
      report->workers.push_back(status);
  }
}

void ControlLink::OnResponse(const Result<Json>& result,
                             const SyncReport& report,
                             TimePoint sent) {
  if (report.retiring && !result && result.error().code == ErrorCode::kFenced) {
    retired_ = true;
    return;
  }
  Status status = result ? Apply(result.value(), report, sent)
                         : Status(outcome::failure(result.error()));
  if (!status) {
    LogEvent(EventId::kCallFailed,
             {{"method", "control.sync"}, {"error", status.error().Text()}});
    // Tries the next control host, which may be the leader or reach it. Only
    // the leader that acknowledged the base knows it, so the next report lists
    // all workers.
    ++control_index_;
    workers_base_ = 0;
  }
  entry_->Flush();
}

Status ControlLink::Apply(const Json& json,
                          const SyncReport& report,
                          TimePoint sent) {
  BW_TRY(SyncResponse response, SyncResponseFromJson(json));
  const TimePoint now = loop_->now();
  if (response.delta.changed.version > core_->view().version) {
    FleetView view = core_->view();
    BW_CHECK(ApplyDelta(response.delta, &view));
    LogEvent(EventId::kStateApplied,
             {{"version", static_cast<unsigned long>(view.version)}});
    core_->OnFleetUpdate(std::move(view), now);
  }
  if (response.entries) {
    entries_ = std::move(*response.entries);
    entries_hash_ = HashOf(entries_);
  }
  ControlResponse control;
  control.confirmed_at = sent;
  control.registered = response.registered;
  control.allotment_version = response.allotment_version;
  control.allotment = std::move(response.allotment);
  control.entries = entries_;
  for (const auto& [id, key] : core_->view().keys) {
    if (key.withdrawn)
      control.tombstones.push_back(id);
  }
  core_->OnControlResponse(control, now);
  core_->SetAllotmentCaps(std::move(response.caps));
  if (response.resend_workers) {
    workers_base_ = 0;
    next_sync_ = now;
    return Ok();
  }
  for (const WorkerStatus& worker : report.workers)
    acknowledged_workers_[worker.host] = worker;
  workers_sequence_ = report.workers_sequence;
  workers_base_ = report.workers_sequence;
  return Ok();
}

}  // namespace boragewinch
