#include "fault_schedule.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace boragewinch::platform {

namespace {

struct KindRule {
  FaultKind kind;
  int weight;
  Millis shortest;
  Millis longest;
};

// Durations range from below to above an election (about 1 s), the worker lease
// (5 s) and the timeouts of calls (1 to 3 s).
constexpr std::array kRules{
    KindRule{FaultKind::kKill, 10, Millis(50), Millis(3'000)},
    KindRule{FaultKind::kStop, 6, Millis(50), Millis(2'000)},
    KindRule{FaultKind::kFreeze, 10, Millis(300), Millis(7'000)},
    KindRule{FaultKind::kReload, 3, Millis(0), Millis(0)},
    KindRule{FaultKind::kKillAll, 2, Millis(50), Millis(2'000)},
    KindRule{FaultKind::kLoseDisk, 2, Millis(50), Millis(2'000)},
    KindRule{FaultKind::kDelay, 6, Millis(500), Millis(4'000)},
    KindRule{FaultKind::kCut, 5, Millis(300), Millis(5'000)},
    KindRule{FaultKind::kStall, 5, Millis(300), Millis(5'000)},
    KindRule{FaultKind::kSwallowCalls, 5, Millis(300), Millis(5'000)},
    KindRule{FaultKind::kSwallowAnswers, 5, Millis(300), Millis(5'000)},
    KindRule{FaultKind::kSilence, 4, Millis(0), Millis(0)},
    KindRule{FaultKind::kReset, 5, Millis(0), Millis(0)},
    KindRule{FaultKind::kWorkerCrash, 8, Millis(50), Millis(4'000)},
    KindRule{FaultKind::kWorkerSilent, 6, Millis(500), Millis(9'000)},
    KindRule{FaultKind::kWorkerLate, 6, Millis(500), Millis(4'000)},
    KindRule{FaultKind::kWorkerFails, 2, Millis(300), Millis(1'500)},
    KindRule{FaultKind::kWorkerRefuses, 3, Millis(300), Millis(3'000)},
    KindRule{FaultKind::kWorkerDrain, 3, Millis(0), Millis(0)},
    KindRule{FaultKind::kHostsAway, 2, Millis(500), Millis(5'000)},
    KindRule{FaultKind::kConfig, 5, Millis(0), Millis(0)},
};

constexpr Millis kLongestGap{2'500};
constexpr int kSeriesPercent = 15;  ///< of faults that are injected three times
constexpr int kLeaderPercent =
    50;  ///< of faults of schedulers that hit the leader
constexpr int kHundred = 100;

class Drawing {
 public:
  Drawing(std::uint64_t seed, const FaultTargets& targets)
      : random_(seed), targets_(targets) {}

  [[nodiscard]] std::int64_t Between(std::int64_t low, std::int64_t high) {
    return low + static_cast<std::int64_t>(
                     random_() % static_cast<std::uint64_t>(high - low + 1));
  }

  [[nodiscard]] const KindRule& Kind() {
    int total = 0;
    for (const KindRule& rule : kRules)
      total += rule.weight;
    std::int64_t left = Between(0, total - 1);
    for (const KindRule& rule : kRules) {
      if (left < rule.weight)
        return rule;
      left -= rule.weight;
    }
    return kRules.front();
  }

  [[nodiscard]] std::string Target(FaultKind kind) {
    switch (kind) {
      case FaultKind::kKill:
      case FaultKind::kStop:
      case FaultKind::kFreeze:
      case FaultKind::kReload: {
        constexpr int kGatewayPercent = 25;
        if (Between(0, kHundred - 1) < kGatewayPercent)
          return One(targets_.gateways);
        return Between(0, kHundred - 1) < kLeaderPercent
                   ? "leader"
                   : One(targets_.schedulers);
      }
      case FaultKind::kLoseDisk:
        return One(targets_.schedulers);
      case FaultKind::kDelay:
      case FaultKind::kCut:
      case FaultKind::kStall:
      case FaultKind::kSwallowCalls:
      case FaultKind::kSwallowAnswers:
      case FaultKind::kSilence:
      case FaultKind::kReset:
        return One(targets_.relays);
      case FaultKind::kWorkerCrash:
      case FaultKind::kWorkerSilent:
      case FaultKind::kWorkerLate:
      case FaultKind::kWorkerFails:
      case FaultKind::kWorkerRefuses:
      case FaultKind::kWorkerDrain:
        return One(targets_.hosts);
      case FaultKind::kKillAll:
      case FaultKind::kHostsAway:
      case FaultKind::kConfig:
        break;
    }
    return "-";
  }

 private:
  [[nodiscard]] std::string One(const std::vector<std::string>& names) {
    return names[random_() % names.size()];
  }

  std::mt19937_64 random_;
  const FaultTargets& targets_;
};

}  // namespace

std::vector<Fault> DrawFaults(std::uint64_t seed,
                              Millis time,
                              const FaultTargets& targets) {
  Drawing drawing(seed, targets);
  std::vector<Fault> faults;
  bool disk_lost = false;
  for (Millis at{0}; at < time;
       at += Millis(drawing.Between(50, kLongestGap.count()))) {
    const KindRule& rule = drawing.Kind();
    // The deployment tolerates the loss of one disk.
    if (rule.kind == FaultKind::kLoseDisk && std::exchange(disk_lost, true))
      continue;
    Fault fault;
    fault.kind = rule.kind;
    fault.target = drawing.Target(rule.kind);
    const bool series = rule.kind != FaultKind::kLoseDisk &&
                        drawing.Between(0, kHundred - 1) < kSeriesPercent;
    Millis start = at;
    for (int i = 0; i < (series ? 3 : 1); ++i) {
      fault.at = start;
      fault.length =
          Millis(drawing.Between(rule.shortest.count(), rule.longest.count()));
      faults.push_back(fault);
      start += fault.length + Millis(drawing.Between(50, 800));
    }
  }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return faults;
}

std::string ToText(const Fault& fault) {
  return std::to_string(fault.at.count()) + " " +
         std::string(kFaultKinds.Name(fault.kind)) + " " + fault.target +
         " for " + std::to_string(fault.length.count()) + " ms";
}

}  // namespace boragewinch::platform
