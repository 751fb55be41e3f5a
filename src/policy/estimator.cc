#include "policy/estimator.h"

#include <algorithm>
#include <cmath>

namespace boragewinch {

namespace {

[[nodiscard]] double Log(std::int64_t amount) {
  return std::log(static_cast<double>(std::max<std::int64_t>(amount, 1)));
}

[[nodiscard]] std::string KeyOf(const TeamName& team, const QueueName& queue) {
  return team.str() + "/" + queue.str();
}

}  // namespace

Status EstimatorConfig::Check() const {
  if (gain_percent < 1 || gain_percent > 100) {
    return Fail(ErrorCode::kInvalidSetting,
                "gain_percent must be within 1 and 100");
  }
  if (margin_percent < 0)
    return Fail(ErrorCode::kInvalidSetting,
                "margin_percent must not be negative");
  return Ok();
}

Result<Estimator> Estimator::Make(const EstimatorConfig& config) {
  BW_CHECK(config.Check());
  return Estimator(config);
}

void Estimator::Learn(Moments& moments,
                      double value,
                      std::uint32_t samples) const {
  // Arithmetic mean of the first samples, exponential moving average after.
  const double gain = std::max(config_.gain_percent / 100.0, 1.0 / samples);
  const double error = value - moments.mean;
  moments.mean += gain * error;
  moments.variance = (1 - gain) * (moments.variance + gain * error * error);
}

void Estimator::Observe(const TeamName& team,
                        const QueueName& queue,
                        const Resources& declared,
                        Millis declared_run_time,
                        const Resources& used,
                        Millis run_time) {
  Model& model = models_[KeyOf(team, queue)];
  ++model.samples;
  const std::array<std::pair<std::int64_t, std::int64_t>, 3> pairs = {
      {{declared.cpu_millis, used.cpu_millis},
       {declared.memory_mb, used.memory_mb},
       {declared_run_time.count(), run_time.count()}}};
  for (std::size_t i = 0; i < pairs.size(); ++i) {
    const auto [declared_amount, measured] = pairs[i];
    Learn(model.amount[i], Log(measured), model.samples);
    Learn(model.ratio[i], Log(measured) - Log(declared_amount), model.samples);
  }
}

std::int64_t Estimator::Predict(const Model& model,
                                std::size_t component,
                                std::int64_t declared) const {
  const Moments& amount = model.amount[component];
  const Moments& ratio = model.ratio[component];
  const bool use_ratio = declared > 0 && ratio.variance < amount.variance;
  const Moments& moments = use_ratio ? ratio : amount;
  const double value =
      (use_ratio ? Log(declared) : 0) + moments.mean +
      config_.margin_percent / 100.0 * std::sqrt(moments.variance);
  return static_cast<std::int64_t>(std::llround(std::exp(value)));
}

SizeEstimate Estimator::Estimate(const TeamName& team,
                                 const QueueName& queue,
                                 const Resources& declared,
                                 Millis declared_run_time) const {
  const auto found = models_.find(KeyOf(team, queue));
  if (found == models_.end() || found->second.samples < config_.min_samples)
    return {declared, declared_run_time, 0};
  const Model& model = found->second;
  return {{Predict(model, 0, declared.cpu_millis),
           Predict(model, 1, declared.memory_mb), declared.accelerators},
          Millis(Predict(model, 2, declared_run_time.count())),
          model.samples};
}

}  // namespace boragewinch
