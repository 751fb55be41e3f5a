#ifndef BORAGEWINCH_ENTRY_ALLOTMENT_TRACKER_H_
#define BORAGEWINCH_ENTRY_ALLOTMENT_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/strong_id.h"
#include "base/time.h"
#include "entry/request_record.h"
#include "model/worker_types.h"

namespace boragewinch {

/// \brief One task that counts against its team's allotment.
struct CountedTask {
  TeamName team;
  HostName worker;
  /// Set once a peer owns the task's record, after a fence or a handover. The
  /// task counts until its worker no longer lists it as running or, if the
  /// worker is unresponsive, until that peer no longer lists it.
  EntryName new_owner;
  std::optional<ReplicaOwner> taken_from;  ///< set for a taken-over task
  TimePoint counted_at;
};

/// \brief The allotments of this process and the tasks counted against them.
class AllotmentTracker {
 public:
  /// \brief Applies the ledger's allotments; older versions are ignored.
  void Update(std::uint64_t version, std::map<TeamName, std::int64_t> units);
  /// \brief Sets how many units each team keeps. Idle units above its cap are
  /// offered back to the control leader: those idle now and those that become
  /// idle before the next call, since a busy entry host rarely has an idle unit
  /// at the moment of a call. Offered units are not used until a newer version
  /// of the allotment arrives, as the leader may have granted them to another
  /// entry host.
  void SetCaps(std::map<TeamName, std::int64_t> caps);
  /// \brief Marks the allotments as unconfirmed; nothing may start.
  void Suspend() noexcept { confirmed_ = false; }

  void Count(const TaskId& task, CountedTask counted);
  void Release(const TaskId& task);
  void SetNewOwner(const TaskId& task, const EntryName& entry);

  [[nodiscard]] std::int64_t allotment(const TeamName& team) const;
  [[nodiscard]] std::int64_t in_use(const TeamName& team) const;
  /// \returns whether one more task of `team` may be counted.
  [[nodiscard]] bool HasFreeUnit(const TeamName& team) const {
    return confirmed_ && in_use(team) < allotment(team) - offered(team);
  }
  [[nodiscard]] std::int64_t offered(const TeamName& team) const;
  [[nodiscard]] const std::map<TeamName, std::int64_t>& offers()
      const noexcept {
    return offered_;
  }
  [[nodiscard]] bool confirmed() const noexcept { return confirmed_; }
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
  [[nodiscard]] const std::map<TeamName, std::int64_t>& units() const noexcept {
    return units_;
  }
  [[nodiscard]] const std::map<TeamName, std::int64_t>& counts()
      const noexcept {
    return in_use_;
  }
  [[nodiscard]] const std::map<TaskId, CountedTask>& tasks() const noexcept {
    return tasks_;
  }

 private:
  void OfferIdle(const TeamName& team, std::int64_t cap);

  bool confirmed_ = false;
  std::uint64_t version_ = 0;
  std::map<TeamName, std::int64_t> units_;
  std::map<TeamName, std::int64_t> caps_;
  std::map<TeamName, std::int64_t> offered_;
  std::map<TeamName, std::int64_t> in_use_;
  std::map<TaskId, CountedTask> tasks_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_ALLOTMENT_TRACKER_H_
