#ifndef BORAGEWINCH_JOBS_FLEET_RULES_H_
#define BORAGEWINCH_JOBS_FLEET_RULES_H_

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

/// \brief A queue and where callers find it.
struct QueueRule {
  QueueName name;
  std::string virtual_host;
  std::string path_prefix;  ///< ends in "/"
  PoolName pool;
  std::int64_t priority = 0;  ///< 0 comes first and may preempt others
  std::int64_t max_attempts = 1;
  double stretch = 1.0;      ///< objective, as a multiple of the longest chain
  Millis latency_target{0};  ///< added to the objective
  bool open_to_all = false;  ///< callers need no key
  bool advised = false;      ///< starts need a ticket of the advice service
};

/// \brief A pool of hosts.
struct PoolRule {
  PoolName name;
  bool workers_check_room = true;  ///< workers reject what does not fit
  bool standby = false;            ///< its hosts are off
};

/// \brief A customer with its keys, share and upper limit.
struct CustomerRule {
  CustomerName name;
  std::set<std::string> keys;
  std::int64_t weight = 1;
  Resources limit;  ///< running at once, fleet-wide; 0: no limit
};

/// \brief One version of the configuration that operators set.
struct FleetRules {
  std::int64_t version = 0;
  std::vector<QueueRule> queues;
  std::map<PoolName, PoolRule> pools;
  std::map<CustomerName, CustomerRule> customers;
  std::string document;  ///< as the operator sent it, returned on reads

  /// \returns the queue with the longest prefix of `path` on `virtual_host`.
  [[nodiscard]] const QueueRule* FindQueue(std::string_view virtual_host,
                                           std::string_view path) const;
  [[nodiscard]] const QueueRule* FindQueue(const QueueName& name) const;
  /// \returns the customer that holds `key`.
  [[nodiscard]] const CustomerRule* FindCustomer(const std::string& key) const;
};

/// \returns kUnknownName for a queue on an unknown pool, kDuplicateName for two
/// queues at one place or a key of two customers, kInvalidField otherwise.
[[nodiscard]] Status CheckFleetRules(const FleetRules& rules);

[[nodiscard]] Json ToJson(const FleetRules& rules);
/// \returns the object that ToJson has written, or kInvalidField.
[[nodiscard]] Result<FleetRules> FleetRulesFromJson(const Json& json);

}  // namespace boragewinch::jobs

#endif  // BORAGEWINCH_JOBS_FLEET_RULES_H_
