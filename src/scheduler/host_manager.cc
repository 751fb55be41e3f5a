#include "scheduler/host_manager.h"

#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"

namespace boragewinch::scheduler {

namespace {

/// Time between two decisions on hosts; a move takes 15 times as long.
constexpr Millis kDecisionInterval{100};
/// Minimum time between two log lines about a pool.
constexpr Millis kSizingLogInterval{500};

[[nodiscard]] std::string OutcomeOf(const Result<HostVerdict>& verdict) {
  return verdict ? std::string(kHostVerdicts.Name(verdict.value()))
                 : verdict.error().Text();
}

}  // namespace

HostManager::HostManager(EventLoop& loop,
                         LedgerReplica& replica,
                         HostCalls calls,
                         WorkerPredicate usable,
                         RecordDeparture record_departure,
                         HostManagerOptions options)
    : loop_(loop),
      replica_(replica),
      calls_(std::move(calls)),
      usable_(std::move(usable)),
      record_departure_(std::move(record_departure)),
      options_(options),
      orders_(options.holder_lease),
      waves_(std::make_unique<MaintenanceScheduler>(options.min_maintenance,
                                                    hosts_)),
      pools_(std::make_unique<PoolBalancer>(options.pools)) {}

void HostManager::OnApplied(const jobs::Batch& batch, TimePoint now) {
  orders_.OnApplied(batch, loop_.unix_millis(), now);
}

void HostManager::OnLeadership(bool leading, TimePoint now) {
  ++leadership_epoch_;
  hosts_ = HostInventory();
  waves_ =
      std::make_unique<MaintenanceScheduler>(options_.min_maintenance, hosts_);
  pools_ = std::make_unique<PoolBalancer>(options_.pools);
  if (leading)
    Inherit(now);
}

// An order of an earlier leader may still be in flight, even if the platform
// has not responded to it.
void HostManager::Inherit(TimePoint now) {
  const jobs::JobLedger& ledger = replica_.ledger();
  for (const auto& [host, order] : ledger.host_orders()) {
    const TimePoint at = orders_.IssuedAt(order, loop_.unix_millis(), now);
    if (order.record.wave > 0)
      waves_->Inherit(host, order.record.wave, at);
    else
      pools_->Inherit(ledger, host, order.record.to, at, now);
  }
}

void HostManager::Tick(TimePoint now) {
  if (now < due_)
    return;
  due_ = now + kDecisionInterval;
  RequestList(now);
  IssueMaintenanceOrders(now);
  if (hosts_.listed())
    IssueMoves(now);
}

std::set<jobs::WorkerIncarnation> HostManager::Reserved() const {
  std::set<jobs::WorkerIncarnation> reserved = waves_->cordoned();
  reserved.insert(pools_->cordoned().begin(), pools_->cordoned().end());
  return reserved;
}

void HostManager::RequestList(TimePoint now) {
  if (!hosts_.StartRequestIfDue(now))
    return;
  calls_.list([this, now, epoch = leadership_epoch_](
                  const Result<std::vector<HostRow>>& hosts) {
    if (epoch != leadership_epoch_)
      return;
    if (!hosts)
      LogEvent(EventId::kPlatformFailed, {{"error", hosts.error().Text()}});
    hosts_.OnList(hosts, now, loop_.now());
    for (const jobs::WorkerIncarnation& incarnation :
         pools_->EndedWorkers(replica_.ledger(), hosts_)) {
      record_departure_(incarnation, "its host was moved to another pool");
    }
  });
}

void HostManager::IssueMoves(TimePoint now) {
  // A start whose batch is not yet stored is not visible in the ledger.
  std::set<jobs::WorkerIncarnation> reserved = replica_.WorkersInOpenBatch();
  reserved.insert(waves_->cordoned().begin(), waves_->cordoned().end());
  const jobs::UnixMillis wall_time = loop_.unix_millis();
  const auto may_order = [&](const HostName& host) {
    return orders_.MayOrder(replica_.ledger(), host, replica_.term(), wall_time,
                            now);
  };
  for (const HostMove& move :
       pools_->Decide(replica_.ledger(), hosts_, usable_, reserved, may_order,
                      wall_time, now)) {
    Move(move);
  }
  LogSizings(now);
}

void HostManager::LogSizings(TimePoint now) {
  for (const auto& [pool, sizing] : pools_->sizings()) {
    const auto [logged, added] = logged_.try_emplace(pool);
    if (!added && (logged->second.wanted == sizing.wanted ||
                   now - logged->second.at < kSizingLogInterval)) {
      continue;
    }
    logged->second = {sizing.wanted, now};
    LogEvent(EventId::kPoolSized,
             {{"pool", pool.str()},
              {"hosts", sizing.hosts},
              {"arriving", sizing.arriving},
              {"reserve", sizing.reserve},
              {"needed", static_cast<long>(std::ceil(sizing.needed))},
              {"wanted", sizing.wanted},
              {"list_age_ms",
               static_cast<long>((now - hosts_.listed_at()).count())}});
  }
}

void HostManager::Move(const HostMove& move) {
  const auto on_response = [this, move, epoch = leadership_epoch_](
                               const Result<HostVerdict>& verdict) {
    if (epoch != leadership_epoch_)
      return;
    LogEvent(EventId::kBufferMove, {{"host", move.host.str()},
                                    {"to", move.to.str()},
                                    {"worker", move.worker.Text()},
                                    {"outcome", OutcomeOf(verdict)}});
    hosts_.RefreshBy(loop_.now());
    pools_->OnResponse(move, verdict, loop_.now());
  };
  Order(
      {move.host, replica_.term(), 0, move.to},
      [this, move, on_response] {
        // The evacuation of the host's zone may have been stored with the
        // order.
        const HostRow* row = hosts_.Find(move.host);
        if (row != nullptr && replica_.ledger().IsEvacuated(row->zone)) {
          on_response(HostVerdict::kBusy);
          return;
        }
        calls_.move(move.host, move.to, replica_.term(), on_response);
      },
      [on_response](const Error&) { on_response(HostVerdict::kBusy); });
}

void HostManager::IssueMaintenanceOrders(TimePoint now) {
  const WaveActions actions = waves_->Decide(replica_.ledger(), now);
  for (const jobs::WaveProgress& missing : actions.progress)
    RecordProgress(missing);
  const std::set<jobs::WorkerIncarnation> starting =
      replica_.WorkersInOpenBatch();
  for (const WaveActions::Order& order : actions.maintain) {
    if (starting.count(order.worker) == 0 &&
        orders_.MayOrder(replica_.ledger(), order.host, replica_.term(),
                         loop_.unix_millis(), now)) {
      waves_->OnOrderSent(order.host, order.wave, now);
      Maintain(order);
    }
  }
}

void HostManager::Maintain(const WaveActions::Order& order) {
  const auto on_response = [this, order, epoch = leadership_epoch_](
                               const Result<HostVerdict>& verdict) {
    if (epoch != leadership_epoch_)
      return;
    LogEvent(EventId::kWaveProgress, {{"wave", static_cast<long>(order.wave)},
                                      {"host", order.host.str()},
                                      {"outcome", OutcomeOf(verdict)}});
    if (const auto progress =
            waves_->OnResponse(order.host, order.wave, verdict, loop_.now())) {
      RecordProgress(*progress);
    }
  };
  Order(
      {order.host, replica_.term(), order.wave, PoolName()},
      [this, order, on_response] {
        calls_.maintain(order.host, order.wave, replica_.term(), on_response);
      },
      [on_response](const Error&) { on_response(HostVerdict::kBusy); });
}

void HostManager::Order(const jobs::HostOrderRecord& record,
                        const std::function<void()>& send,
                        const std::function<void(const Error&)>& dropped) {
  jobs::Batch change;
  change.host_orders.push_back(record);
  replica_.Submit(change, [this, record, send, dropped](const Status& stored) {
    if (!stored) {
      LogEvent(EventId::kCallFailed, {{"call", "host order"},
                                      {"host", record.host.str()},
                                      {"error", stored.error().Text()}});
      dropped(stored.error());
    } else if (replica_.HasLeaderLease(loop_.now()) &&
               replica_.term() == record.term) {
      send();
    } else {
      dropped({ErrorCode::kNotLeader, "leadership was lost", std::nullopt});
    }
  });
}

void HostManager::RecordProgress(const jobs::WaveProgress& progress) {
  jobs::Batch change;
  change.progress.push_back(progress);
  replica_.Submit(change, [](const Status& stored) {
    // The next leader repeats the maintenance order, which is idempotent.
    if (!stored)
      LogEvent(EventId::kCallFailed, {{"error", stored.error().Text()}});
  });
}

}  // namespace boragewinch::scheduler
