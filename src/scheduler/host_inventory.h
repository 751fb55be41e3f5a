#ifndef BORAGEWINCH_SCHEDULER_HOST_INVENTORY_H_
#define BORAGEWINCH_SCHEDULER_HOST_INVENTORY_H_

#include <map>
#include <vector>

#include "base/time.h"
#include "scheduler/host_calls.h"

namespace boragewinch::scheduler {

/// \brief Cache of the platform's newest host list, with its refresh schedule.
class HostInventory {
 public:
  /// \returns whether a list is due. If so it counts as requested, and the
  /// caller has to request it.
  [[nodiscard]] bool StartRequestIfDue(TimePoint now);
  /// \brief Schedules the next list for `at` at the latest.
  void RefreshBy(TimePoint at);
  /// \brief Handles the response to a list request.
  /// \param sent when the list was requested.
  void OnList(const Result<std::vector<HostRow>>& hosts,
              TimePoint sent,
              TimePoint now);

  [[nodiscard]] bool listed() const noexcept { return listed_; }
  /// \returns when the newest list was requested.
  [[nodiscard]] TimePoint listed_at() const noexcept { return listed_at_; }
  [[nodiscard]] const std::map<HostName, HostRow>& rows() const noexcept {
    return rows_;
  }
  [[nodiscard]] const HostRow* Find(const HostName& host) const;
  /// \returns for how long the host has been missing from every list; 0 before
  /// the first list.
  [[nodiscard]] Millis MissingFor(const HostName& host, TimePoint now) const;

 private:
  std::map<HostName, HostRow> rows_;
  std::map<HostName, TimePoint> missing_since_;
  bool listed_ = false;
  bool request_pending_ = false;
  TimePoint first_listed_at_;
  TimePoint listed_at_;
  TimePoint due_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_HOST_INVENTORY_H_
