#ifndef BORAGEWINCH_CONTROL_LEADER_DUTIES_H_
#define BORAGEWINCH_CONTROL_LEADER_DUTIES_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/entry_reports.h"
#include "control/platform_client.h"
#include "control/proposals.h"
#include "fleet/allotment_planner.h"
#include "fleet/command.h"
#include "fleet/fleet_state.h"
#include "fleet/reclaim_planner.h"
#include "kernel/event_loop.h"
#include "policy/buffer_moves.h"
#include "policy/wave_planner.h"

namespace boragewinch {

/// \brief What only the control leader does: it turns reports of entry hosts
/// and plans of the policy into commands.
class LeaderDuties {
 public:
  using Submit = std::function<void(const Command&, Proposals::Reply)>;

  LeaderDuties(EventLoop& loop,
               PlatformClient& platform,
               const FleetState& state,
               const EntryReports& reports,
               WaveConfig waves,
               BufferMoveConfig buffers,
               Submit submit);

  /// \brief Leadership was won or lost: forgets everything observed.
  void OnLeadership(TimePoint now);
  /// \brief An entry host has reported.
  void OnReport(const SyncReport& report, TimePoint now);
  /// \brief Submits what is due; cheap when nothing is.
  void Tick(TimePoint now);

  [[nodiscard]] Millis LeadingFor(TimePoint now) const noexcept {
    return now - leading_since_;
  }
  /// \returns what `entry` shall shrink its allotment to, by team.
  [[nodiscard]] TeamCounts CapsOf(const EntryName& entry) const;

  /// \returns tasks of `entry` that peers have taken over, for the command
  /// that declares it lost.
  [[nodiscard]] std::vector<AllotmentTransfer> TransfersFrom(
      const EntryName& entry,
      TimePoint now) const;

  [[nodiscard]] Json WavesJson(TimePoint now) const;
  /// \returns one line on a host, team or pool, or kNotFound.
  [[nodiscard]] Result<Json> Explain(const std::string& kind,
                                     const std::string& name,
                                     TimePoint now) const;

 private:
  using PlatformAnswer = std::function<void(const PlatformHost&)>;

  /// \brief Submits `command` unless one with the same key is under way.
  void SubmitOnce(const std::string& key, CommandBody body);
  void WithdrawReported(const SyncReport& report);
  void RetireStopped(const SyncReport& report, TimePoint now);
  void RegisterAnnounced();
  void MoveAllotments(TimePoint now);
  void ReclaimLost(TimePoint now);
  void ProgressHosts(TimePoint now);
  /// \returns whether the host needs no further step while nothing changes.
  bool ProgressHost(const Host& host, TimePoint now);
  void Observe(const Host& host,
               HostState state,
               std::optional<std::int64_t> boots = std::nullopt);
  void ProgressReboot(const Host& host, bool alive, TimePoint now);
  /// \brief Asks the platform for the state of `host`, or orders a reboot
  /// after `reboot_after` boots, unless a call for the host is under way.
  void CallPlatform(const HostName& host,
                    TimePoint now,
                    std::optional<std::int64_t> reboot_after,
                    PlatformAnswer then);
  void OnPlatformFailed(const HostName& host,
                        const Error& error,
                        TimePoint now);
  void OnPlatformHost(const HostName& name,
                      const PlatformHost& found,
                      bool alive,
                      TimePoint now);
  void ProgressMoves();
  void ProgressWaves(TimePoint now);
  void ProgressBuffers(TimePoint now);
  void MoveBuffer(const HostMove& move, const char* kind, MoveHost body);
  /// \brief Computes again what the decisions on hosts read, if anything that
  /// they depend on has changed.
  void RefreshInputs(TimePoint now);
  [[nodiscard]] WavePlan Plan(TimePoint now) const;
  [[nodiscard]] std::string ExplainTeamUse(const Team& team) const;
  [[nodiscard]] Millis SilenceOf(const HostName& host,
                                 bool alive,
                                 TimePoint now);

  EventLoop& loop_;
  PlatformClient& platform_;
  const FleetState& state_;
  const EntryReports& reports_;
  WaveConfig waves_;
  BufferMoveConfig buffers_;
  Submit submit_;
  ReclaimPlanner reclaims_{TimePoint()};
  AllotmentPlanner allotments_;
  std::map<EntryName, TeamCounts> caps_;
  std::map<EntryRun, TimePoint> retiring_since_;
  TimePoint leading_since_;
  /// What the state of the fleet and the reports were when the members below
  /// were computed. All of these are functions of it.
  struct Inputs {
    FleetVersion version = 0;
    std::uint64_t revision = 0;
    std::set<EntryName> fresh;

    friend bool operator==(const Inputs&, const Inputs&) = default;
  };
  std::optional<Inputs> inputs_;
  bool inputs_changed_ = true;  ///< in this tick
  std::set<HostName> unavailable_;
  std::set<HostName> unsettled_;  ///< hosts that need steps or time
  bool announced_open_ = false;   ///< registrations are under way
  std::optional<WavePlan> wave_plan_;
  TimePoint wave_plan_until_;
  std::set<HostName> buffer_settled_;
  TimePoint buffer_plan_until_;
  TimePoint next_tick_;
  TimePoint next_buffers_;
  std::set<std::string> under_way_;
  std::uint64_t leadership_ = 0;  ///< grows with each change of leadership
  /// Hosts whose last platform call failed, with the time of its sending.
  std::map<HostName, TimePoint> platform_failed_;
  std::map<HostName, TimePoint> silent_since_;
  std::string last_wave_text_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_CONTROL_LEADER_DUTIES_H_
