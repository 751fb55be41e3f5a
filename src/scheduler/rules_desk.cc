#include "scheduler/rules_desk.h"

#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

void RulesDesk::Put(const Result<jobs::FleetConfig>& rules,
                    TimePoint now,
                    const Done& done) {
  const Status valid = rules ? jobs::ValidateFleetConfig(rules.value())
                             : Status(outcome::failure(rules.error()));
  if (!valid) {
    LogEvent(EventId::kCommandRefused,
             {{"command", "put_rules"}, {"error", valid.error().Text()}});
    done(valid);
    return;
  }
  if (!replica_.HasLeaderLease(now)) {
    done(Fail(ErrorCode::kNotLeader, "this host is not the leader"));
    return;
  }
  const std::int64_t version = rules.value().version;
  const std::int64_t stored = replica_.ledger().rules().version;
  if (version <= stored) {
    LogEvent(EventId::kCommandCommitted,
             {{"command", "put_rules"},
              {"version", static_cast<long>(version)},
              {"stored", static_cast<long>(stored)},
              {"outcome", "unchanged"}});
    done(Ok());
    return;
  }
  replica_.Submit(
      [rules = rules.value()](jobs::Batch* batch) {
        if (!batch->rules || batch->rules->version < rules.version)
          batch->rules = rules;
      },
      [version, done](const Status& result) {
        LogEvent(EventId::kCommandCommitted,
                 {{"command", "put_rules"},
                  {"version", static_cast<long>(version)},
                  {"outcome", result ? "stored" : result.error().Text()}});
        done(result);
      });
}

Result<std::string> RulesDesk::Read(TimePoint now) const {
  if (!replica_.HasLeaderLease(now))
    return Fail(ErrorCode::kNotLeader, "this host is not the leader");
  const jobs::FleetConfig& rules = replica_.ledger().rules();
  if (rules.version == 0)
    return Fail(ErrorCode::kNotFound, "no configuration has been uploaded");
  return rules.document;
}

void RulesDesk::StartWave(const Result<jobs::WaveOrder>& order,
                          TimePoint now,
                          const Done& done) {
  if (!order) {
    LogEvent(EventId::kCommandRefused,
             {{"command", "start_wave"}, {"error", order.error().Text()}});
    done(outcome::failure(order.error()));
    return;
  }
  if (!replica_.HasLeaderLease(now)) {
    done(Fail(ErrorCode::kNotLeader, "this host is not the leader"));
    return;
  }
  if (replica_.ledger().waves().count(order.value().number) > 0) {
    done(Ok());
    return;
  }
  replica_.Submit(
      [order = order.value()](jobs::Batch* batch) {
        batch->waves.push_back(order);
      },
      [number = order.value().number, done](const Status& result) {
        LogEvent(EventId::kWaveProgress,
                 {{"wave", static_cast<long>(number)},
                  {"outcome", result ? "stored" : result.error().Text()}});
        done(result);
      });
}

Result<bool> RulesDesk::WaveComplete(std::int64_t number, TimePoint now) const {
  if (!replica_.HasLeaderLease(now))
    return Fail(ErrorCode::kNotLeader, "this host is not the leader");
  const auto wave = replica_.ledger().waves().find(number);
  if (wave == replica_.ledger().waves().end())
    return Fail(ErrorCode::kNotFound, "no such wave");
  return wave->second.complete();
}

}  // namespace boragewinch::scheduler
