#ifndef BORAGEWINCH_CONTROL_LEADER_CONTROLLER_H_
#define BORAGEWINCH_CONTROL_LEADER_CONTROLLER_H_

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

/// \brief Control loops that run on the control leader only: they compare the
/// fleet state with the reports of the entry hosts and the plans of the policy,
/// and propose commands.
class LeaderController {
 public:
  using Submit = std::function<void(const Command&, Proposals::Reply)>;

  LeaderController(EventLoop& loop,
                   PlatformClient& platform,
                   const FleetState& state,
                   const EntryReports& reports,
                   WaveConfig waves,
                   BufferMoveConfig buffers,
                   Submit submit);

  /// \brief Drops all observations; called when leadership is won or lost.
  void OnLeadership(TimePoint now);
  /// \brief Processes a sync report of an entry host.
  void OnReport(const SyncReport& report, TimePoint now);
  /// \brief Runs the control loops if an interval has passed.
  void Tick(TimePoint now);

  [[nodiscard]] Millis LeadingFor(TimePoint now) const noexcept {
    return now - leading_since_;
  }
  /// \returns the size to which `entry` shall shrink its allotment, by team.
  [[nodiscard]] TeamCounts CapsOf(const EntryName& entry) const;

  /// \returns the numbers of tasks of `entry` that peers have taken over, for
  /// commands that end its allotment.
  [[nodiscard]] std::vector<AllotmentTransfer> TransfersFrom(
      const EntryName& entry,
      TimePoint now) const;

  [[nodiscard]] Json WavesJson(TimePoint now) const;
  /// \returns a one-line explanation of a host, team or pool, or kNotFound.
  [[nodiscard]] Result<Json> Explain(const std::string& kind,
                                     const std::string& name,
                                     TimePoint now) const;

 private:
  using PlatformCallback = std::function<void(const PlatformHost&)>;

  /// \brief Submits `body` unless a command with the same key is in flight.
  void SubmitOnce(const std::string& key, CommandBody body);
  void WithdrawReportedKeys(const SyncReport& report);
  void RetireStoppedEntry(const SyncReport& report, TimePoint now);
  void RegisterNewHosts();
  void RebalanceAllotments(TimePoint now);
  void ReclaimLostEntries(TimePoint now);
  void ProgressHosts(TimePoint now);
  /// \returns whether the host needs no further check until the inputs change.
  bool ProgressHost(const Host& host, TimePoint now);
  void SubmitObservedState(const Host& host,
                           HostState state,
                           std::optional<std::int64_t> boots = std::nullopt);
  void ProgressReboot(const Host& host, bool alive, TimePoint now);
  /// \brief Queries the platform for the state of `host`, or requests a reboot
  /// if `reboot_after`, the host's expected boot count, is set. Does nothing
  /// while a call for the host is in flight.
  void CallPlatform(const HostName& host,
                    TimePoint now,
                    std::optional<std::int64_t> reboot_after,
                    PlatformCallback then);
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
  void SubmitBufferMove(const HostMove& move, const char* kind, MoveHost body);
  /// \brief Recomputes the cached inputs of decisions about hosts if the fleet
  /// state or the reports have changed.
  void RefreshInputs(TimePoint now);
  [[nodiscard]] WavePlan CurrentWavePlan(TimePoint now) const;
  [[nodiscard]] std::string ExplainTeamUse(const Team& team) const;
  /// \returns for how long `host` has not been alive; 0 if `alive`.
  [[nodiscard]] Millis UnresponsiveFor(const HostName& host,
                                       bool alive,
                                       TimePoint now);

  EventLoop& loop_;
  PlatformClient& platform_;
  const FleetState& state_;
  const EntryReports& reports_;
  WaveConfig waves_;
  BufferMoveConfig buffers_;
  Submit submit_;
  ReclaimPlanner reclaim_planner_{TimePoint()};
  AllotmentPlanner allotment_planner_;
  std::map<EntryName, TeamCounts> caps_;
  std::map<EntryRun, TimePoint> retiring_since_;
  TimePoint leading_since_;
  /// Inputs from which the members below were computed. The plans also depend
  /// on the time, so each of them expires.
  struct Inputs {
    FleetVersion version = 0;
    std::uint64_t revision = 0;
    std::set<EntryName> fresh;

    friend bool operator==(const Inputs&, const Inputs&) = default;
  };
  std::optional<Inputs> inputs_;
  bool inputs_changed_ = true;  ///< in this tick
  std::set<HostName> unavailable_;
  std::set<HostName> hosts_to_recheck_;  ///< checked again at each tick
  bool registrations_pending_ = false;
  std::optional<WavePlan> wave_plan_;
  TimePoint wave_plan_until_;
  std::set<HostName> buffer_confirmed_lost_;
  TimePoint buffer_plan_until_;
  TimePoint next_tick_;
  TimePoint next_buffers_;
  std::set<std::string> in_flight_;     ///< keys of commands and platform calls
  std::uint64_t leadership_epoch_ = 0;  ///< counts changes of leadership
  /// Send time of the last platform call, for hosts whose last call failed.
  std::map<HostName, TimePoint> platform_failed_;
  std::map<HostName, TimePoint> unresponsive_since_;
  std::string last_wave_text_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_CONTROL_LEADER_CONTROLLER_H_
