#ifndef BORAGEWINCH_POLICY_ESTIMATOR_H_
#define BORAGEWINCH_POLICY_ESTIMATOR_H_

#include <array>
#include <cstdint>
#include <unordered_map>

#include "base/result.h"
#include "base/strong_id.h"
#include "base/time.h"
#include "model/resources.h"

namespace boragewinch {

/// \brief Parameters of Estimator.
struct EstimatorConfig {
  /// Weight of a new observation in the mean and variance, in percent.
  int gain_percent = 5;
  /// Standard deviations added to the mean as a safety margin, in percent.
  int margin_percent = 130;
  /// With fewer observations the declared size is used.
  std::uint32_t min_samples = 10;

  /// \returns kInvalidSetting for a value out of range.
  [[nodiscard]] Status Check() const;
};

struct SizeEstimate {
  Resources demand;
  Millis run_time{0};
  std::uint32_t samples = 0;  ///< 0 if the declared size is returned
};

/// \brief Estimates the actual resource usage of the tasks of a team's queue.
///
/// Two models are kept for each resource: the logarithm of its usage, and the
/// logarithm of the ratio of usage to declared amount. The one with the smaller
/// variance is used: the ratio fits queues whose callers are wrong by a
/// constant factor, the usage fits queues whose declarations are random.
class Estimator {
 public:
  /// \returns kInvalidSetting for a configuration out of range.
  [[nodiscard]] static Result<Estimator> Make(
      const EstimatorConfig& config = {});

  /// \brief Updates the models with an ended task.
  /// \param used peak usage reported by its worker.
  void Observe(const TeamName& team,
               const QueueName& queue,
               const Resources& declared,
               Millis declared_run_time,
               const Resources& used,
               Millis run_time);

  /// \returns the expected usage plus the safety margin. Accelerators are whole
  /// devices and are returned as declared.
  [[nodiscard]] SizeEstimate Estimate(const TeamName& team,
                                      const QueueName& queue,
                                      const Resources& declared,
                                      Millis declared_run_time) const;

 private:
  struct Moments {
    double mean = 0;
    double variance = 0;
  };
  struct Model {
    std::uint32_t samples = 0;
    std::array<Moments, 3> amount;  // processors, memory, run time
    std::array<Moments, 3> ratio;
  };

  explicit Estimator(const EstimatorConfig& config) : config_(config) {}
  void Learn(Moments& moments, double value, std::uint32_t samples) const;
  [[nodiscard]] std::int64_t Predict(const Model& model,
                                     std::size_t component,
                                     std::int64_t declared) const;

  EstimatorConfig config_;
  // Keyed by "<team>/<queue>"; names contain no slash.
  std::unordered_map<std::string, Model> models_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_ESTIMATOR_H_
