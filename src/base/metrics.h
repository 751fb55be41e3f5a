#ifndef BORAGEWINCH_BASE_METRICS_H_
#define BORAGEWINCH_BASE_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

#include "base/json.h"
#include "base/time.h"

namespace boragewinch {

/// \brief Labels of a time series. Either may be empty.
struct MetricLabels {
  std::string team;
  std::string class_name;  ///< for example the urgency or the queue

  friend bool operator==(const MetricLabels&, const MetricLabels&) = default;
  friend bool operator<(const MetricLabels& a, const MetricLabels& b) noexcept {
    return std::tie(a.team, a.class_name) < std::tie(b.team, b.class_name);
  }
};

/// \brief Summary of the durations observed under one label set.
struct DurationSummary {
  std::uint64_t count = 0;
  Millis sum{0};
  Millis max{0};
  /// Upper bounds of the histogram bins: at most 19% above the true value for
  /// durations from 1 ms to 70 minutes.
  Millis median{0};
  Millis p99{0};
};

/// \brief Counters, gauges and duration histograms of a process, labelled by
/// team and class. Metric names are constants made of a-z and "_".
class Metrics {
 public:
  /// Limit of label sets per metric; sufficient for 47 teams with several
  /// queues or urgencies each.
  static constexpr std::size_t kDefaultMaxLabelSets = 512;
  /// Value of both labels of the series that all label sets beyond the limit
  /// share.
  static constexpr std::string_view kOverflowLabel = "other";

  explicit Metrics(std::size_t max_label_sets = kDefaultMaxLabelSets);
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /// \brief Adds `n` to a counter.
  void Count(std::string_view name,
             const MetricLabels& labels,
             std::uint64_t n = 1);
  /// \brief Sets a gauge.
  void Gauge(std::string_view name, const MetricLabels& labels, double value);
  /// \brief Adds a duration to a histogram; a negative one counts as 0.
  void Observe(std::string_view name,
               const MetricLabels& labels,
               Millis duration);

  /// \returns the value of a counter, 0 if it does not exist.
  [[nodiscard]] std::uint64_t counter(std::string_view name,
                                      const MetricLabels& labels) const;
  /// \returns the summary of a histogram, with count 0 if it does not exist.
  [[nodiscard]] DurationSummary durations(std::string_view name,
                                          const MetricLabels& labels) const;

  /// \returns the Prometheus text format (version 0.0.4). Names become
  /// "boragewinch_<name>", with "_total" for counters and "_ms" for durations.
  /// The gauge "boragewinch_build_info" is 1 and names the program's build.
  [[nodiscard]] std::string PrometheusText() const;

  /// \returns {"counters": [{name, team, class, value}], "gauges": [same],
  /// "durations": [{name, team, class, count, median_ms, p99_ms, max_ms,
  /// sum_ms}]}.
  [[nodiscard]] Json ToJson() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Content type of Metrics::PrometheusText.
inline constexpr char kPrometheusContentType[] = "text/plain; version=0.0.4";

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_METRICS_H_
