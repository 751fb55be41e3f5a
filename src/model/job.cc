#include "model/job.h"

#include <algorithm>
#include <utility>

namespace boragewinch {

namespace {

constexpr std::int64_t kMaxCpuMillis = 1'000'000;
constexpr std::int64_t kMaxMemoryMb = 64L * 1024 * 1024;
constexpr std::int64_t kMaxAccelerators = 1'024;

[[nodiscard]] Result<std::string> NameField(const Json& json,
                                            const char* name,
                                            bool required) {
  BW_TRY(auto text, StringFieldOr(json, name, "", kMaxNameBytes));
  if (text.empty() && !required)
    return text;
  if (!IsValidName(text)) {
    return Fail(ErrorCode::kInvalidField,
                "field \"" + std::string(name) +
                    "\" must be 1 to 64 characters of A-Z a-z 0-9 _ -");
  }
  return text;
}

}  // namespace

Json ToJson(const Resources& resources) {
  Json json(::Json::objectValue);
  json["cpu_millis"] = ::Json::Int64(resources.cpu_millis);
  json["memory_mb"] = ::Json::Int64(resources.memory_mb);
  json["accelerators"] = ::Json::Int64(resources.accelerators);
  return json;
}

Result<Resources> ResourcesFromJson(const Json& json) {
  Resources resources;
  BW_TRY(resources.cpu_millis,
         IntFieldOr(json, "cpu_millis", 0, 0, kMaxCpuMillis));
  BW_TRY(resources.memory_mb,
         IntFieldOr(json, "memory_mb", 0, 0, kMaxMemoryMb));
  BW_TRY(resources.accelerators,
         IntFieldOr(json, "accelerators", 0, 0, kMaxAccelerators));
  return resources;
}

Json ToJson(const JobSpec& spec) {
  Json json = ToJson(spec.declared);
  json["team"] = spec.team.str();
  json["queue"] = spec.queue.str();
  json["customer"] = spec.customer.str();
  json["run_time_ms"] = ::Json::Int64(spec.declared_run_time.count());
  json["urgency"] = std::string(kUrgencies.Name(spec.urgency));
  json["repeatable"] = spec.repeatable;
  json["client_request_id"] = spec.client_request_id;
  json["start_deadline_ms"] = ::Json::Int64(spec.start_deadline.count());
  json["payload"] = spec.payload;
  return json;
}

Result<JobSpec> JobSpecFromJson(const Json& json) {
  if (!json.isObject())
    return Fail(ErrorCode::kInvalidField, "a job must be a JSON object");
  JobSpec spec;
  BW_TRY(auto team, NameField(json, "team", false));
  BW_TRY(auto queue, NameField(json, "queue", true));
  BW_TRY(auto customer, NameField(json, "customer", false));
  BW_TRY(spec.declared, ResourcesFromJson(json));
  BW_TRY(auto run_time,
         IntFieldOr(json, "run_time_ms", 0, 0, kMaxRunTime.count()));
  BW_TRY(auto urgency, StringFieldOr(json, "urgency", "normal", kMaxNameBytes));
  BW_TRY(spec.repeatable, BoolFieldOr(json, "repeatable", false));
  BW_TRY(spec.client_request_id, NameField(json, "client_request_id", false));
  BW_TRY(auto deadline,
         IntFieldOr(json, "start_deadline_ms", kDefaultDeadline.count(), 1,
                    kMaxRunTime.count()));
  BW_TRY(spec.payload, StringFieldOr(json, "payload", "", kMaxPayloadBytes));
  const auto parsed_urgency = kUrgencies.Parse(urgency);
  if (!parsed_urgency) {
    return Fail(ErrorCode::kInvalidField,
                "field \"urgency\" must be \"normal\" or \"urgent\"");
  }
  spec.team = TeamName(std::move(team));
  spec.queue = QueueName(std::move(queue));
  spec.customer = CustomerName(std::move(customer));
  spec.declared_run_time = Millis(run_time);
  spec.urgency = *parsed_urgency;
  spec.start_deadline = Millis(deadline);
  return spec;
}

bool IsValidName(std::string_view name) noexcept {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '_' || c == '-';
  };
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), allowed);
}

}  // namespace boragewinch
