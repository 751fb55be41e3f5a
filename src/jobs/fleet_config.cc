#include "jobs/fleet_config.h"

#include <utility>

namespace boragewinch::jobs {

namespace {

[[nodiscard]] Result<CustomerConfig> CustomerFromJson(const Json& json) {
  CustomerConfig customer;
  BW_TRY(const std::string name, StoredText(json, "name"));
  customer.name = CustomerName(name);
  for (const Json& key : json["keys"]) {
    if (!key.isString())
      return Fail(ErrorCode::kInvalidField, "customer key is not a string");
    customer.keys.insert(key.asString());
  }
  BW_TRY(customer.weight, IntField(json, "weight", 0, kMaxNumber));
  BW_TRY(customer.limit, ResourcesFromJson(json["limit"]));
  return customer;
}

}  // namespace

const QueueConfig* FleetConfig::FindQueue(std::string_view virtual_host,
                                          std::string_view path) const {
  const QueueConfig* best = nullptr;
  for (const QueueConfig& queue : queues) {
    if (queue.virtual_host == virtual_host &&
        path.starts_with(queue.path_prefix) &&
        (best == nullptr ||
         queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const QueueConfig* FleetConfig::FindQueue(const QueueName& name) const {
  for (const QueueConfig& queue : queues) {
    if (queue.name == name)
      return &queue;
  }
  return nullptr;
}

const QueueConfig* FleetConfig::FindQueueOfPrefix(
    std::string_view virtual_host,
    std::string_view path_prefix) const {
  const auto found =
      std::find_if(queues.begin(), queues.end(), [&](const QueueConfig& queue) {
        return queue.virtual_host == virtual_host &&
               queue.path_prefix == path_prefix;
      });
  return found == queues.end() ? nullptr : &*found;
}

const CustomerConfig* FleetConfig::FindCustomer(const std::string& key) const {
  for (const auto& [name, customer] : customers) {
    if (customer.keys.count(key) > 0)
      return &customer;
  }
  return nullptr;
}

Status ValidateFleetConfig(const FleetConfig& config) {
  std::set<std::pair<std::string, std::string>> places;
  std::set<QueueName> names;
  for (const QueueConfig& queue : config.queues) {
    if (config.pools.count(queue.pool) == 0) {
      return Fail(ErrorCode::kUnknownName, "queue " + queue.name.str() +
                                               " refers to unknown pool \"" +
                                               queue.pool.str() + "\"");
    }
    if (!places.emplace(queue.virtual_host, queue.path_prefix).second) {
      return Fail(ErrorCode::kDuplicateName, "two queues use the prefix " +
                                                 queue.virtual_host +
                                                 queue.path_prefix);
    }
    if (!names.insert(queue.name).second) {
      return Fail(ErrorCode::kDuplicateName,
                  "two queues have the name " + queue.name.str());
    }
  }
  std::set<std::string> keys;
  for (const auto& [name, customer] : config.customers) {
    for (const std::string& key : customer.keys) {
      if (!keys.insert(key).second) {
        return Fail(
            ErrorCode::kDuplicateName,
            "customer " + name.str() + " shares a key with another customer");
      }
    }
  }
  return Ok();
}

Json ToJson(const QueueConfig& queue) {
  Json json;
  json["name"] = queue.name.str();
  json["host"] = queue.virtual_host;
  json["prefix"] = queue.path_prefix;
  json["pool"] = queue.pool.str();
  json["priority"] = ::Json::Int64(queue.priority);
  json["attempts"] = ::Json::Int64(queue.max_attempts);
  json["stretch"] = queue.stretch;
  json["latency_ms"] = ::Json::Int64(queue.latency_target.count());
  json["open"] = queue.open_to_all;
  json["advised"] = queue.advised;
  return json;
}

Result<QueueConfig> QueueConfigFromJson(const Json& json) {
  QueueConfig queue;
  BW_TRY(const std::string name, StoredText(json, "name"));
  queue.name = QueueName(name);
  BW_TRY(queue.virtual_host, StoredText(json, "host"));
  BW_TRY(queue.path_prefix, StoredText(json, "prefix"));
  BW_TRY(const std::string pool, StoredText(json, "pool"));
  queue.pool = PoolName(pool);
  BW_TRY(queue.priority, IntField(json, "priority", 0, kMaxNumber));
  BW_TRY(queue.max_attempts, IntField(json, "attempts", 1, kMaxNumber));
  if (!json["stretch"].isNumeric())
    return Fail(ErrorCode::kInvalidField, "field stretch is not a number");
  queue.stretch = json["stretch"].asDouble();
  BW_TRY(const std::int64_t latency,
         IntField(json, "latency_ms", 0, kMaxNumber));
  queue.latency_target = Millis(latency);
  BW_TRY(queue.open_to_all, BoolField(json, "open"));
  BW_TRY(queue.advised, BoolField(json, "advised"));
  return queue;
}

Json ToJson(const FleetConfig& config) {
  Json json;
  json["version"] = ::Json::Int64(config.version);
  json["document"] = config.document;
  json["queues"] = Json(::Json::arrayValue);
  for (const QueueConfig& queue : config.queues)
    json["queues"].append(ToJson(queue));
  json["pools"] = Json(::Json::arrayValue);
  for (const auto& [name, pool] : config.pools) {
    Json item;
    item["name"] = name.str();
    item["check"] = pool.workers_enforce_capacity;
    item["standby"] = pool.standby;
    json["pools"].append(std::move(item));
  }
  json["customers"] = Json(::Json::arrayValue);
  for (const auto& [name, customer] : config.customers) {
    Json item;
    item["name"] = name.str();
    item["keys"] = Json(::Json::arrayValue);
    for (const std::string& key : customer.keys)
      item["keys"].append(key);
    item["weight"] = ::Json::Int64(customer.weight);
    item["limit"] = ResourcesToJson(customer.limit);
    json["customers"].append(std::move(item));
  }
  return json;
}

Result<FleetConfig> FleetConfigFromJson(const Json& json) {
  FleetConfig config;
  BW_TRY(config.version, IntField(json, "version", 0, kMaxNumber));
  BW_TRY(config.document, StoredText(json, "document"));
  for (const Json& item : json["queues"]) {
    BW_TRY(QueueConfig queue, QueueConfigFromJson(item));
    config.queues.push_back(std::move(queue));
  }
  for (const Json& item : json["pools"]) {
    PoolConfig pool;
    BW_TRY(const std::string name, StoredText(item, "name"));
    pool.name = PoolName(name);
    BW_TRY(pool.workers_enforce_capacity, BoolField(item, "check"));
    BW_TRY(pool.standby, BoolField(item, "standby"));
    config.pools[pool.name] = std::move(pool);
  }
  for (const Json& item : json["customers"]) {
    BW_TRY(CustomerConfig customer, CustomerFromJson(item));
    const CustomerName name = customer.name;
    config.customers[name] = std::move(customer);
  }
  return config;
}

}  // namespace boragewinch::jobs
