#ifndef BORAGEWINCH_POLICY_CUSTOMER_BACKLOG_H_
#define BORAGEWINCH_POLICY_CUSTOMER_BACKLOG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <set>

#include "policy/pending_job.h"

namespace boragewinch {

/// \brief Waiting jobs of one customer in one pool with one urgency, grouped
/// by size class of their demand.
class CustomerBacklog {
 public:
  using Order = std::pair<TimePoint, std::uint64_t>;

  void Add(const PendingJob& job, std::uint64_t sequence);
  void Remove(const PendingJob& job, std::uint64_t sequence);
  [[nodiscard]] bool empty() const noexcept { return size_ == 0; }

  /// \brief Looks for a startable job: tries the oldest one of each size class,
  /// then the ones behind them. If the attempts run out, the next call prefers
  /// the classes and jobs that this one has not reached.
  /// \param attempts is decremented for each call of `startable`.
  /// \returns the job, or nullptr.
  [[nodiscard]] const PendingJob* Find(
      std::size_t& attempts,
      const std::function<bool(const PendingJob&)>& startable);

  /// \brief Adds the cost of a start to the decayed usage.
  void Charge(double cost, Millis window, TimePoint now);

  /// \returns the logarithm of the decayed usage, scaled so that the order of
  /// two customers does not change while neither starts a job.
  [[nodiscard]] double log_usage() const noexcept { return log_usage_; }

  TimePoint last_start;     ///< last start of a job of this customer
  TimePoint waiting_since;  ///< start of its current wait
  /// Position among the overdue backlogs of its pool; 0 if not overdue.
  std::uint64_t overdue = 0;
  /// Number of starts of the pool by which it must have had one, if overdue.
  std::uint64_t must_start_by = 0;

 private:
  struct SizeClass {
    std::map<Order, const PendingJob*> jobs;
    Order passed_over{};  ///< last job that was tried but not startable
    /// Number of the call of Find that last tried its oldest job, if that job
    /// was not startable; else 0.
    std::uint64_t last_failed_find = 0;
  };

  std::map<std::uint32_t, SizeClass> classes_;
  std::size_t size_ = 0;
  std::uint64_t finds_ = 0;
  double log_usage_ = -std::numeric_limits<double>::infinity();
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_CUSTOMER_BACKLOG_H_
