#include "scheduler/admin_api.h"

#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

void AdminApi::Put(const Result<jobs::FleetConfig>& config,
                   TimePoint now,
                   const Done& done) {
  const Status valid = config ? jobs::ValidateFleetConfig(config.value())
                              : Status(outcome::failure(config.error()));
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
  const std::int64_t version = config.value().version;
  const std::int64_t stored = replica_.ledger().config().version;
  if (version <= stored) {
    LogEvent(EventId::kCommandCommitted,
             {{"command", "put_rules"},
              {"version", static_cast<long>(version)},
              {"stored", static_cast<long>(stored)},
              {"outcome", "unchanged"}});
    done(Ok());
    return;
  }
  jobs::Batch change;
  change.config = config.value();
  replica_.Submit(change, [version, done](const Status& result) {
    LogEvent(EventId::kCommandCommitted,
             {{"command", "put_rules"},
              {"version", static_cast<long>(version)},
              {"outcome", result ? "stored" : result.error().Text()}});
    done(result);
  });
}

Result<std::string> AdminApi::Read(TimePoint now) const {
  if (!replica_.HasLeaderLease(now))
    return Fail(ErrorCode::kNotLeader, "this host is not the leader");
  const jobs::FleetConfig& config = replica_.ledger().config();
  if (config.version == 0)
    return Fail(ErrorCode::kNotFound, "no configuration has been uploaded");
  return config.document;
}

void AdminApi::StartWave(const Result<jobs::WaveOrder>& order,
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
  jobs::Batch change;
  change.waves.push_back(order.value());
  replica_.Submit(
      change, [number = order.value().number, done](const Status& result) {
        LogEvent(EventId::kWaveProgress,
                 {{"wave", static_cast<long>(number)},
                  {"outcome", result ? "stored" : result.error().Text()}});
        done(result);
      });
}

Result<bool> AdminApi::WaveComplete(std::int64_t number, TimePoint now) const {
  if (!replica_.HasLeaderLease(now))
    return Fail(ErrorCode::kNotLeader, "this host is not the leader");
  const auto wave = replica_.ledger().waves().find(number);
  if (wave == replica_.ledger().waves().end())
    return Fail(ErrorCode::kNotFound, "no such wave");
  return wave->second.complete();
}

void AdminApi::SetEvacuated(const Result<ZoneName>& zone,
                            bool evacuated,
                            TimePoint now,
                            const Done& done) {
  if (!zone) {
    LogEvent(EventId::kCommandRefused,
             {{"command", "evacuate"}, {"error", zone.error().Text()}});
    done(outcome::failure(zone.error()));
    return;
  }
  if (!replica_.HasLeaderLease(now)) {
    done(Fail(ErrorCode::kNotLeader, "this host is not the leader"));
    return;
  }
  const auto too_many = [] {
    LogEvent(EventId::kBoundReached, {{"bound", "evacuated_zones"}});
    return Fail(ErrorCode::kTableFull, "too many zones are evacuated");
  };
  if (evacuated && !replica_.ledger().CanEvacuate(zone.value())) {
    done(too_many());
    return;
  }
  jobs::Batch change;
  change.zone_changes.push_back({zone.value(), evacuated});
  replica_.Submit(change, [this, too_many, done, evacuated,
                           name = zone.value()](const Status& result) {
    LogEvent(EventId::kZoneEvacuation,
             {{"zone", name.str()},
              {"state", evacuated ? "evacuated" : "in_use"},
              {"outcome", result ? "stored" : result.error().Text()}});
    // Another order that was stored before it may have reached the limit.
    if (result && evacuated && !replica_.ledger().CanEvacuate(name))
      done(too_many());
    else
      done(result);
  });
}

Result<std::map<ZoneName, jobs::UnixMillis>> AdminApi::EvacuatedZones(
    TimePoint now) const {
  if (!replica_.HasLeaderLease(now))
    return Fail(ErrorCode::kNotLeader, "this host is not the leader");
  std::map<ZoneName, jobs::UnixMillis> zones;
  for (const auto& [zone, state] : replica_.ledger().zones()) {
    if (state.evacuated)
      zones[zone] = state.changed;
  }
  return zones;
}

}  // namespace boragewinch::scheduler
