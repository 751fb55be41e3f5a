#include "bench/policy_trace.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>
#include <string>

namespace boragewinch::bench {

namespace {

// Demand of a pool: five times the mean for 4 of every 20 s, one pool after the
// other, and a twentieth of the mean otherwise.
constexpr std::int64_t kPeriodMillis = 4'000;
constexpr double kPeakFactor = 5;
constexpr double kOffPeakFactor = 0.05;
// Mean demand as a fraction of the pool's slots.
constexpr double kMeanLoad = 0.6;
constexpr std::int64_t kSlots = 8;
constexpr double kUrgentFraction = 0.03;
constexpr std::array<double, kServicePools> kMeanRunMillis = {1'000, 1'500, 700,
                                                              3'000, 8'000};
// Two of the six customers submit most of the work.
constexpr std::array<double, 6> kCustomerWeights = {35, 30, 12, 10, 8, 5};

using Random = std::mt19937_64;

[[nodiscard]] double Uniform(Random& random, double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random);
}

[[nodiscard]] std::int64_t LogNormal(Random& random,
                                     double mean,
                                     double sigma) {
  // `mean` is the mean of the log-normal distribution.
  const double log_mean = std::log(mean) - sigma * sigma / 2;
  return std::max<std::int64_t>(
      1, std::llround(
             std::lognormal_distribution<double>(log_mean, sigma)(random)));
}

// Declared sizes are wrong by up to a factor of ten in either direction.
[[nodiscard]] std::int64_t RandomEstimate(Random& random, std::int64_t used) {
  return std::max<std::int64_t>(
      1, std::llround(static_cast<double>(used) *
                      std::pow(10.0, Uniform(random, -1, 1))));
}

[[nodiscard]] TraceJob MakeJob(Random& random, std::size_t pool) {
  TraceJob job;
  job.pool = pool;
  job.customer = std::discrete_distribution<std::size_t>(
      kCustomerWeights.begin(), kCustomerWeights.end())(random);
  job.urgency = Uniform(random, 0, 1) < kUrgentFraction ? Urgency::kUrgent
                                                        : Urgency::kNormal;
  job.repeatable = Uniform(random, 0, 1) < 0.7;
  job.used = {
      LogNormal(random, 1'200, 0.4),
      LogNormal(random, 1'500.0 + 300.0 * static_cast<double>(pool), 0.5), 0};
  job.run_time = Millis(std::min<std::int64_t>(
      LogNormal(random, kMeanRunMillis.at(pool), 0.6), 60'000));
  job.declared = {RandomEstimate(random, job.used.cpu_millis),
                  RandomEstimate(random, job.used.memory_mb), 0};
  job.declared_run_time = Millis(RandomEstimate(random, job.run_time.count()));
  return job;
}

void AddJobs(Random& random, Trace& trace) {
  for (std::size_t pool = 0; pool < kServicePools; ++pool) {
    const double per_milli = kMeanLoad *
                             static_cast<double>(kHostsPerPool * kSlots) /
                             kMeanRunMillis.at(pool);
    std::vector<double> weights(trace.teams.size(), 1);
    std::int64_t weights_period = -1;
    double now = 0;
    while (true) {
      const auto period = static_cast<std::int64_t>(now) / kPeriodMillis;
      if (period != weights_period) {
        // The teams that submit most of the work change with each period.
        weights_period = period;
        for (double& weight : weights)
          weight = std::exp(Uniform(random, -1.2, 1.2));
      }
      const bool peak =
          static_cast<std::size_t>(period) % kServicePools == pool;
      const double rate = per_milli * (peak ? kPeakFactor : kOffPeakFactor);
      const double gap = std::exponential_distribution<double>(rate)(random);
      const double period_end =
          static_cast<double>((period + 1) * kPeriodMillis);
      if (now + gap > period_end) {
        now = period_end;
        if (now >= static_cast<double>(kTraceLength.count()))
          break;
        continue;
      }
      now += gap;
      TraceJob job = MakeJob(random, pool);
      job.arrival = FromMillis(std::llround(now));
      job.team = std::discrete_distribution<std::size_t>(weights.begin(),
                                                         weights.end())(random);
      trace.jobs.push_back(job);
    }
  }
  std::stable_sort(trace.jobs.begin(), trace.jobs.end(),
                   [](const TraceJob& a, const TraceJob& b) {
                     return a.arrival < b.arrival;
                   });
}

void AddIncidents(Random& random, Trace& trace) {
  const auto at = [&](double low, double high) {
    return FromMillis(std::llround(static_cast<double>(kTraceLength.count()) *
                                   Uniform(random, low, high)));
  };
  const auto host = [&] { return random() % kServiceHosts; };
  // Single host losses; the second follows right after the first host is back.
  const TimePoint first = at(0.1, 0.3);
  const std::size_t lost = host();
  trace.incidents.push_back({first, IncidentKind::kLoss, lost, Millis(90'000)});
  trace.incidents.push_back({first + Millis(92'000), IncidentKind::kLoss,
                             (lost + 3) % kServiceHosts, Millis(60'000)});
  trace.incidents.push_back(
      {at(0.5, 0.8), IncidentKind::kLoss, host(), Millis(120'000)});
  for (int i = 0; i < 2; ++i) {
    trace.incidents.push_back(
        {at(0.05, 0.8), IncidentKind::kBadWorker, host(), Millis(150'000)});
  }
  for (int i = 0; i < 2; ++i) {
    trace.incidents.push_back(
        {at(0.1, 0.9), IncidentKind::kCancel, 0, Millis(0), 0.3});
  }
  if (KindOf(trace.seed) == TraceKind::kRackLoss) {
    const TimePoint when = kRollOutStart + FromMillis(90'000);
    const RackName rack = RackAt(host());
    for (std::size_t i = 0; i < kServiceHosts; ++i) {
      if (RackAt(i) == rack) {
        trace.incidents.push_back(
            {when, IncidentKind::kLoss, i, Millis(150'000)});
      }
    }
  }
  if (KindOf(trace.seed) == TraceKind::kCancelStorm) {
    for (int i = 0; i < 20; ++i) {
      trace.incidents.push_back(
          {at(0.2, 0.8), IncidentKind::kCancel, 0, Millis(0), 0.8});
    }
  }
  std::stable_sort(
      trace.incidents.begin(), trace.incidents.end(),
      [](const Incident& a, const Incident& b) { return a.at < b.at; });
}

}  // namespace

TraceKind KindOf(std::uint64_t seed) noexcept {
  if (seed % 10 == 9)
    return TraceKind::kRackLoss;
  return seed % 10 == 0 ? TraceKind::kCancelStorm : TraceKind::kUsual;
}

PoolName PoolAt(std::size_t index) {
  return PoolName("service" + std::to_string(index));
}

ZoneName ZoneAt(std::size_t host) {
  return ZoneName("z" + std::to_string(host % 3));
}

RackName RackAt(std::size_t host) {
  return RackName(ZoneAt(host).str() + "r" + std::to_string(host / 12));
}

Trace MakeTrace(User user, std::uint64_t seed) {
  Trace trace{.user = user, .seed = seed};
  if (user == User::kZapisnik) {
    trace.teams = {TeamName("orders"), TeamName("printing")};
    trace.shares = {3, 2};
    trace.worker = {16'000, 32 * 1024, 0};
  } else {
    trace.teams = {TeamName("intake"), TeamName("hygiene"),
                   TeamName("dispatch"), TeamName("laundry")};
    trace.shares = {4, 2, 3, 1};
    trace.worker = {16'000, 64 * 1024, 0};
  }
  const std::int64_t sum = std::accumulate(trace.shares.begin(),
                                           trace.shares.end(), std::int64_t{0});
  const auto slots = static_cast<std::int64_t>(kServiceHosts) * kSlots;
  // The limits let a team exceed its share, but not fill the whole fleet.
  for (const std::int64_t share : trace.shares)
    trace.limits.push_back(std::min(slots * share / sum * 2, slots * 9 / 10));
  Random random(seed * 2 + static_cast<std::uint64_t>(user));
  AddJobs(random, trace);
  AddIncidents(random, trace);
  return trace;
}

}  // namespace boragewinch::bench
