#ifndef BORAGEWINCH_SCHEDULER_HOST_BOOK_H_
#define BORAGEWINCH_SCHEDULER_HOST_BOOK_H_

#include <map>
#include <vector>

#include "base/time.h"
#include "scheduler/host_calls.h"

namespace boragewinch::scheduler {

/// \brief The platform's newest list of hosts, and when to ask for the next.
class HostBook {
 public:
  /// \returns whether a list is due; then the caller asks for one.
  [[nodiscard]] bool TakeDue(TimePoint now);
  /// \brief Asks for a list at `at` at the latest.
  void RefreshBy(TimePoint at);
  /// \param sent when the list was asked for.
  void OnList(const Result<std::vector<HostRow>>& hosts,
              TimePoint sent,
              TimePoint now);

  [[nodiscard]] bool listed() const noexcept { return listed_; }
  /// \returns when the newest list was asked for.
  [[nodiscard]] TimePoint listed_at() const noexcept { return listed_at_; }
  [[nodiscard]] const std::map<HostName, HostRow>& rows() const noexcept {
    return rows_;
  }
  [[nodiscard]] const HostRow* Find(const HostName& host) const;
  /// \returns for how long all lists have lacked the host.
  [[nodiscard]] Millis MissingFor(const HostName& host, TimePoint now) const;

 private:
  std::map<HostName, HostRow> rows_;
  std::map<HostName, TimePoint> missing_;  ///< since when
  bool listed_ = false;
  bool open_ = false;
  TimePoint first_at_;  ///< time of the first list
  TimePoint listed_at_;
  TimePoint due_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_HOST_BOOK_H_
