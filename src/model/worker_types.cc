#include "model/worker_types.h"

#include <limits>
#include <utility>

#include "model/job.h"

namespace boragewinch {

namespace {

constexpr std::size_t kMaxTasksPerReport = 256;
constexpr std::size_t kMaxTaskIdBytes = 256;
constexpr std::int64_t kMaxCounter = std::numeric_limits<std::int64_t>::max();

[[nodiscard]] Json ToJson(const TaskReport& report) {
  Json json = ToJson(report.usage);
  json["task"] = report.task.Text();
  json["team"] = report.team.str();
  json["state"] = std::string(kTaskStates.Name(report.state));
  return json;
}

[[nodiscard]] Result<TaskReport> TaskReportFromJson(const Json& json) {
  TaskReport report;
  BW_TRY(auto task, StringField(json, "task", kMaxTaskIdBytes));
  BW_TRY(report.task, TaskId::Parse(task));
  BW_TRY(auto team, StringFieldOr(json, "team", "", kMaxNameBytes));
  BW_TRY(auto state, StringField(json, "state"));
  BW_TRY(report.usage, ResourcesFromJson(json));
  const auto parsed = kTaskStates.Parse(state);
  if (!parsed)
    return Fail(ErrorCode::kInvalidField,
                "unknown task state \"" + state + "\"");
  report.team = TeamName(std::move(team));
  report.state = *parsed;
  return report;
}

[[nodiscard]] Result<std::string> Name(const Json& json, const char* field) {
  BW_TRY(auto text, StringField(json, field, kMaxNameBytes));
  if (!IsValidName(text)) {
    return Fail(ErrorCode::kInvalidField,
                "field \"" + std::string(field) +
                    "\" must be 1 to 64 characters of A-Z a-z 0-9 _ -");
  }
  return text;
}

}  // namespace

Result<TaskId> TaskId::Parse(const std::string& text) {
  const auto slash = text.rfind('/');
  const std::string digits =
      slash == std::string::npos ? "" : text.substr(slash + 1);
  const bool valid =
      slash != 0 && !digits.empty() && digits.size() <= 9 &&
      digits.find_first_not_of("0123456789") == std::string::npos;
  if (!valid) {
    return Fail(ErrorCode::kInvalidField,
                "task id must be <request id>/<attempt>");
  }
  return TaskId{RequestId(text.substr(0, slash)),
                static_cast<std::uint32_t>(std::stoul(digits))};
}

Json ToJson(const WorkerReport& report) {
  Json json = ToJson(report.total);
  json["host"] = report.host.str();
  json["incarnation"] = report.incarnation.str();
  json["sequence"] = ::Json::UInt64(report.sequence);
  json["zone"] = report.zone.str();
  json["rack"] = report.rack.str();
  json["address"] = report.address;
  json["slots"] = ::Json::Int64(report.slots);
  json["leaving"] = report.leaving;
  json["acknowledged_assignment"] =
      ::Json::UInt64(report.acknowledged_assignment);
  json["acknowledged_pool"] = report.acknowledged_pool.str();
  json["acknowledged_drain"] = report.acknowledged_drain;
  Json tasks(::Json::arrayValue);
  for (const TaskReport& task : report.tasks)
    tasks.append(ToJson(task));
  json["tasks"] = std::move(tasks);
  return json;
}

Result<WorkerReport> WorkerReportFromJson(const Json& json) {
  if (!json.isObject())
    return Fail(ErrorCode::kInvalidField, "a report must be a JSON object");
  WorkerReport report;
  BW_TRY(auto host, Name(json, "host"));
  BW_TRY(auto incarnation, Name(json, "incarnation"));
  BW_TRY(auto sequence, IntField(json, "sequence", 0, kMaxCounter));
  BW_TRY(auto zone, Name(json, "zone"));
  BW_TRY(auto rack, Name(json, "rack"));
  BW_TRY(report.address, StringField(json, "address", kMaxNameBytes));
  BW_TRY(report.total, ResourcesFromJson(json));
  BW_TRY(report.slots, IntField(json, "slots", 1, kMaxSlotsPerWorker));
  BW_TRY(report.leaving, BoolFieldOr(json, "leaving", false));
  BW_TRY(auto assignment,
         IntFieldOr(json, "acknowledged_assignment", 0, 0, kMaxCounter));
  BW_TRY(auto pool,
         StringFieldOr(json, "acknowledged_pool", "", kMaxNameBytes));
  BW_TRY(report.acknowledged_drain,
         BoolFieldOr(json, "acknowledged_drain", false));
  report.host = HostName(std::move(host));
  report.incarnation = Incarnation(std::move(incarnation));
  report.sequence = static_cast<std::uint64_t>(sequence);
  report.zone = ZoneName(std::move(zone));
  report.rack = RackName(std::move(rack));
  report.acknowledged_assignment = static_cast<FleetVersion>(assignment);
  report.acknowledged_pool = PoolName(std::move(pool));
  const Json& tasks = json["tasks"];
  if (!tasks.isNull() && !tasks.isArray())
    return Fail(ErrorCode::kInvalidField, "field \"tasks\" must be an array");
  if (tasks.size() > kMaxTasksPerReport) {
    return Fail(ErrorCode::kTooLarge, "a report lists at most " +
                                          std::to_string(kMaxTasksPerReport) +
                                          " tasks");
  }
  for (const Json& task : tasks) {
    if (!task.isObject())
      return Fail(ErrorCode::kInvalidField, "a task must be a JSON object");
    BW_TRY(auto parsed, TaskReportFromJson(task));
    report.tasks.push_back(std::move(parsed));
  }
  return report;
}

}  // namespace boragewinch
