#include "scheduler/maintenance_scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "scheduler/late_orders.h"

namespace boragewinch::scheduler {

namespace {

/// Maximum time between two lists while a wave is open.
constexpr Millis kListInterval{1'000};
/// Delay before an order is repeated after the platform did not accept it.
constexpr Millis kRetryDelay{500};
/// A host missing from the lists for this long counts as removed: a crashed one
/// is missing for some seconds and comes back.
constexpr Millis kRemovedAfter{30'000};
/// The same for a host whose worker had reported that it drains: it was removed
/// on purpose. A new worker would be listed within some seconds.
constexpr Millis kDrainedRemovedAfter{8'000};

}  // namespace

void MaintenanceScheduler::Inherit(const HostName& host,
                                   std::int64_t wave,
                                   TimePoint at) {
  ordered_[host] = {wave, at, false, false, at + kMaxLateOrder};
  hosts_.RefreshBy(at + min_maintenance_);
}

void MaintenanceScheduler::OnOrderSent(const HostName& host,
                                       std::int64_t wave,
                                       TimePoint now) {
  // An earlier order to the host may still be without a response.
  Ordered& order = ordered_[host];
  order = {wave, now, true, false,
           order.wave == wave ? order.late_until : TimePoint()};
}

std::optional<jobs::WaveProgress> MaintenanceScheduler::OnResponse(
    const HostName& host,
    std::int64_t wave,
    const Result<HostVerdict>& verdict,
    TimePoint now) {
  Ordered& order = ordered_[host];
  order.in_flight = false;
  order.at = now;
  hosts_.RefreshBy(now + min_maintenance_);
  if (verdict && verdict.value() == HostVerdict::kDone) {
    order.begun = true;
    return jobs::WaveProgress{wave, host};
  }
  refused_until_[host] = now + kRetryDelay;
  if (!verdict)
    order.late_until = now + kMaxLateOrder;
  else if (now >= order.late_until)
    ordered_.erase(host);
  return std::nullopt;
}

// A host counts as down from the order until a list that was requested after
// the minimum duration of the maintenance shows it up again.
bool MaintenanceScheduler::IsDown(const HostName& host, TimePoint now) const {
  const auto ordered = ordered_.find(host);
  const HostRow* row = hosts_.Find(host);
  if (ordered != ordered_.end()) {
    if (ordered->second.in_flight ||
        now < ordered->second.at + min_maintenance_ ||
        hosts_.listed_at() < ordered->second.at + min_maintenance_) {
      return true;
    }
  }
  return row != nullptr && row->state == HostState::kMaintenance;
}

bool MaintenanceScheduler::MayStillGoDown(const HostName& host,
                                          const jobs::Wave& wave,
                                          TimePoint now) const {
  const auto ordered = ordered_.find(host);
  return ordered != ordered_.end() && wave.begun.count(host) == 0 &&
         ordered->second.wave == wave.order.number && !ordered->second.begun &&
         now < ordered->second.late_until;
}

WaveActions MaintenanceScheduler::Decide(const jobs::JobLedger& ledger,
                                         TimePoint now) {
  WaveActions actions;
  cordoned_.clear();
  for (const auto& [number, wave] : ledger.waves()) {
    if (wave.complete())
      continue;
    hosts_.RefreshBy(hosts_.listed_at() + kListInterval);
    if (hosts_.listed())
      DecideWave(ledger, wave, now, &actions);
  }
  return actions;
}

void MaintenanceScheduler::DecideWave(const jobs::JobLedger& ledger,
                                      const jobs::Wave& wave,
                                      TimePoint now,
                                      WaveActions* actions) {
  struct Candidate {
    HostName host;
    const jobs::Worker* worker = nullptr;
    bool ordered = false;  ///< counts as down already
    std::size_t runs = 0;
  };
  std::int64_t down = 0;
  std::vector<Candidate> candidates;
  for (const HostName& host : wave.order.hosts) {
    const bool is_down = IsDown(host, now);
    const bool ordered = MayStillGoDown(host, wave, now);
    if (is_down || ordered) {
      ++down;
      // An order, also one without a response, may end the listed worker at any
      // time until the host's next worker is listed.
      const HostRow* row = hosts_.Find(host);
      const jobs::Worker* worker =
          row == nullptr ? nullptr : ledger.FindCurrent(row->worker);
      if (worker != nullptr)
        cordoned_.insert(worker->record.incarnation);
    }
    if (is_down || wave.begun.count(host) > 0)
      continue;
    const HostRow* row = hosts_.Find(host);
    if (row == nullptr) {
      if (hosts_.MissingFor(host, now) >=
          (drained_.count(host) > 0 ? kDrainedRemovedAfter : kRemovedAfter)) {
        actions->progress.push_back({wave.order.number, host});
      }
      continue;
    }
    const jobs::Worker* worker =
        row->worker.empty() ? nullptr : ledger.FindCurrent(row->worker);
    if (worker != nullptr && worker->record.draining)
      drained_.insert(host);
    else if (worker != nullptr)
      drained_.erase(host);
    const auto refused = refused_until_.find(host);
    if (row->state != HostState::kUp ||
        (refused != refused_until_.end() && now < refused->second)) {
      continue;
    }
    candidates.push_back(
        {host, worker, ordered, worker == nullptr ? 0 : worker->runs.size()});
  }
  // An order without a response is repeated, which is idempotent. Then idle
  // hosts come first: no task has to end or be stopped for them.
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return std::tuple(!a.ordered, a.runs) <
                            std::tuple(!b.ordered, b.runs);
                   });
  for (const Candidate& item : candidates) {
    if (!item.ordered && down >= wave.order.at_once)
      return;
    down += item.ordered ? 0 : 1;
    if (item.worker != nullptr)
      cordoned_.insert(item.worker->record.incarnation);
    if (item.runs == 0)
      actions->maintain.push_back({item.host, wave.order.number,
                                   item.worker == nullptr
                                       ? jobs::WorkerIncarnation{}
                                       : item.worker->record.incarnation});
  }
}

}  // namespace boragewinch::scheduler
