#ifndef BORAGEWINCH_POLICY_CUSTOMER_LANE_H_
#define BORAGEWINCH_POLICY_CUSTOMER_LANE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <set>

#include "policy/pending_job.h"

namespace boragewinch {

/// \brief The waiting jobs of one customer in one pool with one urgency,
/// grouped by the order of magnitude of their demand.
class CustomerLane {
 public:
  using Order = std::pair<TimePoint, std::uint64_t>;

  void Add(const PendingJob& job, std::uint64_t sequence);
  void Remove(const PendingJob& job, std::uint64_t sequence);
  [[nodiscard]] bool empty() const noexcept { return size_ == 0; }

  /// \brief Looks for a startable job: the oldest one of each class, then
  /// those behind them. Where the tries end without one, the next call goes on.
  /// \param tries is reduced by the calls of `startable`.
  /// \returns the job, or nullptr.
  [[nodiscard]] const PendingJob* Find(
      std::size_t& tries,
      const std::function<bool(const PendingJob&)>& startable);

  /// \brief Adds the cost of a start to the decayed usage.
  void Charge(double cost, Millis window, TimePoint now);

  /// \returns the logarithm of the decayed usage, scaled so that the order of
  /// two customers does not change while neither is served.
  [[nodiscard]] double log_usage() const noexcept { return log_usage_; }

  TimePoint last_start;         ///< of this customer
  TimePoint turn_since;         ///< since when it has waited for a start
  std::uint64_t overdue = 0;    ///< place among overdue customers; 0 is none
  std::uint64_t served_by = 0;  ///< start of the pool that is its at the latest

 private:
  struct SizeClass {
    std::map<Order, const PendingJob*> jobs;
    Order passed_over{};         ///< last job that was tried and couldn't start
    std::uint64_t tried_at = 0;  ///< call of Find that tried it last
  };

  std::map<std::uint32_t, SizeClass> classes_;
  std::size_t size_ = 0;
  std::uint64_t finds_ = 0;
  double log_usage_ = -std::numeric_limits<double>::infinity();
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_CUSTOMER_LANE_H_
