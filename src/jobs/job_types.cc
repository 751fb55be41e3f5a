#include "jobs/job_types.h"

#include <utility>

namespace boragewinch::jobs {

namespace {

// Members with their default value are omitted: jobs are stored and sent often,
// and most steps set few members.
void PutInt(Json* json, const char* name, std::int64_t value) {
  if (value != 0)
    (*json)[name] = ::Json::Int64(value);
}

void PutFlag(Json* json, const char* name, bool value) {
  if (value)
    (*json)[name] = true;
}

void PutText(Json* json, const char* name, const std::string& value) {
  if (!value.empty())
    (*json)[name] = value;
}

[[nodiscard]] Json ToJson(const StepSpec& step) {
  Json json(::Json::objectValue);
  PutInt(&json, "n", step.tasks);
  PutInt(&json, "cpu", step.request.cpu_millis);
  PutInt(&json, "mem", step.request.memory_mb);
  PutInt(&json, "acc", step.request.accelerators);
  PutInt(&json, "est", step.estimate.count());
  for (const std::uint32_t earlier : step.depends_on)
    json["after"].append(earlier);
  PutFlag(&json, "ckpt", step.checkpointing);
  PutFlag(&json, "gang", step.gang);
  PutFlag(&json, "rack_sensitive", step.rack_sensitive);
  PutFlag(&json, "copies", step.speculative);
  PutFlag(&json, "lasts", step.long_running);
  PutFlag(&json, "fills", step.best_effort);
  PutText(&json, "label", step.required_label);
  PutText(&json, "rack", step.data_rack.str());
  PutInt(&json, "per_worker", step.max_per_worker);
  PutText(&json, "image", step.image);
  PutInt(&json, "latency", step.latency_target.count());
  PutInt(&json, "away", step.max_unavailable);
  return json;
}

[[nodiscard]] Result<StepSpec> StepFromJson(const Json& json) {
  StepSpec step;
  const auto number = [&](const char* name) {
    return IntFieldOr(json, name, 0, 0, kMaxNumber);
  };
  BW_TRY(step.tasks, number("n"));
  BW_TRY(step.request.cpu_millis, number("cpu"));
  BW_TRY(step.request.memory_mb, number("mem"));
  BW_TRY(step.request.accelerators, number("acc"));
  BW_TRY(const std::int64_t estimate, number("est"));
  step.estimate = Millis(estimate);
  for (const Json& earlier : json["after"]) {
    if (!earlier.isUInt())
      return Fail(ErrorCode::kInvalidField,
                  "field \"after\" is not an array of step indexes");
    step.depends_on.push_back(earlier.asUInt());
  }
  BW_TRY(step.checkpointing, BoolFieldOr(json, "ckpt", false));
  BW_TRY(step.gang, BoolFieldOr(json, "gang", false));
  BW_TRY(step.rack_sensitive, BoolFieldOr(json, "rack_sensitive", false));
  BW_TRY(step.speculative, BoolFieldOr(json, "copies", false));
  BW_TRY(step.long_running, BoolFieldOr(json, "lasts", false));
  BW_TRY(step.best_effort, BoolFieldOr(json, "fills", false));
  BW_TRY(step.required_label, StoredTextOrEmpty(json, "label"));
  BW_TRY(const std::string rack, StoredTextOrEmpty(json, "rack"));
  step.data_rack = RackName(rack);
  BW_TRY(step.max_per_worker, number("per_worker"));
  BW_TRY(step.image, StoredTextOrEmpty(json, "image"));
  BW_TRY(const std::int64_t latency, number("latency"));
  step.latency_target = Millis(latency);
  BW_TRY(step.max_unavailable, number("away"));
  return step;
}

[[nodiscard]] Status CheckStep(const StepSpec& step, std::size_t index) {
  const std::string where = "step " + std::to_string(index);
  if (step.tasks < 1 || step.tasks > kMaxTasksPerStep)
    return Fail(ErrorCode::kInvalidField,
                where + ": number of tasks out of range");
  if (step.request.cpu_millis < 0 || step.request.memory_mb < 0 ||
      step.request.accelerators < 0 || step.max_per_worker < 0 ||
      step.max_unavailable < 0 || step.estimate.count() < 0) {
    return Fail(ErrorCode::kInvalidField, where + ": negative value");
  }
  for (const std::uint32_t earlier : step.depends_on) {
    if (earlier >= index)
      return Fail(ErrorCode::kInvalidField,
                  where + " depends on itself or a later step");
  }
  return Ok();
}

}  // namespace

Result<std::string> StoredText(const Json& object, const char* name) {
  return StringField(object, name, std::string::npos);
}

Result<std::string> StoredTextOrEmpty(const Json& object, const char* name) {
  return StringFieldOr(object, name, "", std::string::npos);
}

Json ResourcesToJson(const Resources& amount) {
  Json row(::Json::arrayValue);
  row.append(::Json::Int64(amount.cpu_millis));
  row.append(::Json::Int64(amount.memory_mb));
  row.append(::Json::Int64(amount.accelerators));
  return row;
}

Result<Resources> ResourcesFromJson(const Json& json) {
  const bool valid = json.isArray() && json.size() == 3 && json[0].isInt64() &&
                     json[1].isInt64() && json[2].isInt64();
  if (!valid)
    return Fail(ErrorCode::kInvalidField,
                "resources are not an array of three integers");
  return Resources{json[0].asInt64(), json[1].asInt64(), json[2].asInt64()};
}

Status CheckJobSpec(const JobSpec& spec) {
  if (spec.payload.size() > kMaxPayloadBytes)
    return Fail(ErrorCode::kTooLarge, "payload");
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps)
    return Fail(ErrorCode::kInvalidField, "number of steps out of range");
  if (spec.repeats < 0 || spec.repeats > kMaxRepeats ||
      (spec.repeats > 1 && spec.interval.count() <= 0)) {
    return Fail(ErrorCode::kInvalidField, "repetition");
  }
  std::int64_t tasks = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    BW_CHECK(CheckStep(spec.steps[i], i));
    tasks += spec.steps[i].tasks;
  }
  if (tasks > kMaxTasksPerJob)
    return Fail(ErrorCode::kTooLarge, "job has too many tasks");
  return Ok();
}

Json ToJson(const JobSpec& spec) {
  Json json(::Json::objectValue);
  json["payload"] = spec.payload;
  json["steps"] = Json(::Json::arrayValue);
  for (const StepSpec& step : spec.steps)
    json["steps"].append(ToJson(step));
  PutInt(&json, "repeats", spec.repeats);
  PutInt(&json, "due", spec.first_due);
  PutInt(&json, "interval", spec.interval.count());
  return json;
}

Result<JobSpec> JobSpecFromJson(const Json& json) {
  JobSpec spec;
  BW_TRY(spec.payload, StringFieldOr(json, "payload", "", kMaxPayloadBytes));
  for (const Json& item : json["steps"]) {
    BW_TRY(StepSpec step, StepFromJson(item));
    spec.steps.push_back(std::move(step));
  }
  BW_TRY(spec.repeats, IntFieldOr(json, "repeats", 0, 0, kMaxRepeats));
  BW_TRY(spec.first_due, IntFieldOr(json, "due", 0, 0, kMaxNumber));
  BW_TRY(const std::int64_t interval,
         IntFieldOr(json, "interval", 0, 0, kMaxNumber));
  spec.interval = Millis(interval);
  BW_CHECK(CheckJobSpec(spec));
  return spec;
}

Json ToJson(const RunName& run) {
  Json row(::Json::arrayValue);
  row.append(run.task.job.str());
  row.append(run.task.occurrence);
  row.append(run.task.step);
  row.append(run.task.index);
  row.append(run.number);
  return row;
}

Result<RunName> RunNameFromJson(const Json& row) {
  const bool valid = row.isArray() && row.size() == 5 && row[0].isString() &&
                     row[1].isUInt() && row[2].isUInt() && row[3].isUInt() &&
                     row[4].isUInt();
  if (!valid)
    return Fail(ErrorCode::kInvalidField, "malformed name of a run");
  return RunName{{JobId(row[0].asString()), row[1].asUInt(), row[2].asUInt(),
                  row[3].asUInt()},
                 row[4].asUInt()};
}

}  // namespace boragewinch::jobs
