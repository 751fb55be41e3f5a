#include "fault_schedule.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace boragewinch::platform {

namespace {

struct FaultProfile {
  FaultKind kind;
  int weight;
  Millis min_duration;
  Millis max_duration;
};

// Durations range from below to above an election (about 1 s), the worker lease
// (5 s) and the timeouts of calls (1 to 3 s).
constexpr std::array kProfiles{
    FaultProfile{FaultKind::kKill, 10, Millis(50), Millis(3'000)},
    FaultProfile{FaultKind::kStop, 6, Millis(50), Millis(2'000)},
    FaultProfile{FaultKind::kFreeze, 10, Millis(300), Millis(7'000)},
    FaultProfile{FaultKind::kReload, 3, Millis(0), Millis(0)},
    FaultProfile{FaultKind::kKillAll, 2, Millis(50), Millis(2'000)},
    FaultProfile{FaultKind::kLoseDisk, 2, Millis(50), Millis(2'000)},
    FaultProfile{FaultKind::kDelay, 6, Millis(500), Millis(4'000)},
    FaultProfile{FaultKind::kCut, 5, Millis(300), Millis(5'000)},
    FaultProfile{FaultKind::kStall, 5, Millis(300), Millis(5'000)},
    FaultProfile{FaultKind::kDropRequests, 5, Millis(300), Millis(5'000)},
    FaultProfile{FaultKind::kDropResponses, 5, Millis(300), Millis(5'000)},
    FaultProfile{FaultKind::kBlackhole, 4, Millis(0), Millis(0)},
    FaultProfile{FaultKind::kReset, 5, Millis(0), Millis(0)},
    FaultProfile{FaultKind::kWorkerCrash, 8, Millis(50), Millis(4'000)},
    FaultProfile{FaultKind::kWorkerUnresponsive, 6, Millis(500), Millis(9'000)},
    FaultProfile{FaultKind::kWorkerDelayed, 6, Millis(500), Millis(4'000)},
    FaultProfile{FaultKind::kWorkerFails, 2, Millis(300), Millis(1'500)},
    FaultProfile{FaultKind::kWorkerRefuses, 3, Millis(300), Millis(3'000)},
    FaultProfile{FaultKind::kWorkerDrain, 3, Millis(0), Millis(0)},
    FaultProfile{FaultKind::kHostApiUnavailable, 2, Millis(500), Millis(5'000)},
    FaultProfile{FaultKind::kConfig, 5, Millis(0), Millis(0)},
};

constexpr Millis kLongestGap{2'500};
constexpr int kSeriesPercent = 15;  ///< of faults that are injected three times
constexpr int kLeaderPercent = 50;  ///< of scheduler faults that hit the leader
constexpr int kHundred = 100;

class FaultGenerator {
 public:
  FaultGenerator(std::uint64_t seed, const FaultTargets& targets)
      : random_(seed), targets_(targets) {}

  [[nodiscard]] std::int64_t Between(std::int64_t low, std::int64_t high) {
    return low + static_cast<std::int64_t>(
                     random_() % static_cast<std::uint64_t>(high - low + 1));
  }

  [[nodiscard]] const FaultProfile& PickProfile() {
    int total = 0;
    for (const FaultProfile& profile : kProfiles)
      total += profile.weight;
    std::int64_t left = Between(0, total - 1);
    for (const FaultProfile& profile : kProfiles) {
      if (left < profile.weight)
        return profile;
      left -= profile.weight;
    }
    return kProfiles.front();
  }

  [[nodiscard]] std::string PickTarget(FaultKind kind) {
    switch (kind) {
      case FaultKind::kKill:
      case FaultKind::kStop:
      case FaultKind::kFreeze:
      case FaultKind::kReload: {
        constexpr int kGatewayPercent = 25;
        if (Between(0, kHundred - 1) < kGatewayPercent)
          return PickName(targets_.gateways);
        return Between(0, kHundred - 1) < kLeaderPercent
                   ? "leader"
                   : PickName(targets_.schedulers);
      }
      case FaultKind::kLoseDisk:
        return PickName(targets_.schedulers);
      case FaultKind::kDelay:
      case FaultKind::kCut:
      case FaultKind::kStall:
      case FaultKind::kDropRequests:
      case FaultKind::kDropResponses:
      case FaultKind::kBlackhole:
      case FaultKind::kReset:
        return PickName(targets_.relays);
      case FaultKind::kWorkerCrash:
      case FaultKind::kWorkerUnresponsive:
      case FaultKind::kWorkerDelayed:
      case FaultKind::kWorkerFails:
      case FaultKind::kWorkerRefuses:
      case FaultKind::kWorkerDrain:
        return PickName(targets_.hosts);
      case FaultKind::kKillAll:
      case FaultKind::kHostApiUnavailable:
      case FaultKind::kConfig:
        break;
    }
    return "-";
  }

 private:
  [[nodiscard]] std::string PickName(const std::vector<std::string>& names) {
    return names[random_() % names.size()];
  }

  std::mt19937_64 random_;
  const FaultTargets& targets_;
};

}  // namespace

std::vector<Fault> GenerateFaults(std::uint64_t seed,
                                  Millis time,
                                  const FaultTargets& targets) {
  FaultGenerator generator(seed, targets);
  std::vector<Fault> faults;
  bool disk_lost = false;
  for (Millis at{0}; at < time;
       at += Millis(generator.Between(50, kLongestGap.count()))) {
    const FaultProfile& profile = generator.PickProfile();
    // The deployment tolerates the loss of one disk.
    if (profile.kind == FaultKind::kLoseDisk && std::exchange(disk_lost, true))
      continue;
    Fault fault;
    fault.kind = profile.kind;
    fault.target = generator.PickTarget(profile.kind);
    const bool series = profile.kind != FaultKind::kLoseDisk &&
                        generator.Between(0, kHundred - 1) < kSeriesPercent;
    Millis start = at;
    for (int i = 0; i < (series ? 3 : 1); ++i) {
      fault.at = start;
      fault.duration = Millis(generator.Between(profile.min_duration.count(),
                                                profile.max_duration.count()));
      faults.push_back(fault);
      start += fault.duration + Millis(generator.Between(50, 800));
    }
  }
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return faults;
}

std::string ToText(const Fault& fault) {
  return std::to_string(fault.at.count()) + " " +
         std::string(kFaultKinds.Name(fault.kind)) + " " + fault.target +
         " for " + std::to_string(fault.duration.count()) + " ms";
}

}  // namespace boragewinch::platform
