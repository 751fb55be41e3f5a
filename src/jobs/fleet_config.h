#ifndef BORAGEWINCH_JOBS_FLEET_CONFIG_H_
#define BORAGEWINCH_JOBS_FLEET_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "base/time.h"
#include "jobs/job_types.h"
#include "model/resources.h"

namespace boragewinch::jobs {

/// \brief Configuration of a queue and the URL prefix that callers use for it.
struct QueueConfig {
  QueueName name;
  std::string virtual_host;
  std::string path_prefix;  ///< ends in "/"
  PoolName pool;
  std::int64_t priority = 0;  ///< 0 is the highest
  std::int64_t max_attempts = 1;
  /// A job's objective is this multiple of its critical path plus
  /// `latency_target`.
  double stretch = 1.0;
  Millis latency_target{0};
  bool open_to_all = false;  ///< accepts callers without a key
  bool advised = false;  ///< starts require a ticket from the advice service
};

/// \brief Configuration of a pool of hosts.
struct PoolConfig {
  PoolName name;
  /// Workers reject tasks that exceed their free capacity.
  bool workers_enforce_capacity = true;
  bool standby = false;  ///< its hosts are powered off
};

/// \brief Configuration of a customer: API keys, weight and resource limit.
struct CustomerConfig {
  CustomerName name;
  std::set<std::string> keys;
  std::int64_t weight = 1;  ///< stored, without effect on scheduling
  Resources limit;          ///< concurrent use, fleet-wide; 0: no limit
};

/// \brief One version of the configuration that operators upload.
struct FleetConfig {
  std::int64_t version = 0;
  std::vector<QueueConfig> queues;
  std::map<PoolName, PoolConfig> pools;
  std::map<CustomerName, CustomerConfig> customers;
  std::string document;  ///< as uploaded; returned unchanged on reads

  /// \returns the queue on `virtual_host` with the longest prefix that `path`
  /// starts with, or nullptr.
  [[nodiscard]] const QueueConfig* FindQueue(std::string_view virtual_host,
                                             std::string_view path) const;
  [[nodiscard]] const QueueConfig* FindQueue(const QueueName& name) const;
  /// \returns the queue with exactly this prefix, or nullptr.
  [[nodiscard]] const QueueConfig* FindQueueOfPrefix(
      std::string_view virtual_host,
      std::string_view path_prefix) const;
  /// \returns the customer that owns `key`, or nullptr.
  [[nodiscard]] const CustomerConfig* FindCustomer(
      const std::string& key) const;
};

/// \returns kUnknownName for a queue on an unknown pool, kDuplicateName for two
/// queues with the same host and prefix or the same name, or for a key that two
/// customers share.
[[nodiscard]] Status ValidateFleetConfig(const FleetConfig& config);

[[nodiscard]] Json ToJson(const QueueConfig& queue);
/// \returns the object that ToJson wrote, or kInvalidField.
[[nodiscard]] Result<QueueConfig> QueueConfigFromJson(const Json& json);

[[nodiscard]] Json ToJson(const FleetConfig& config);
/// \returns the object that ToJson wrote, or kInvalidField.
[[nodiscard]] Result<FleetConfig> FleetConfigFromJson(const Json& json);

}  // namespace boragewinch::jobs

#endif  // BORAGEWINCH_JOBS_FLEET_CONFIG_H_
