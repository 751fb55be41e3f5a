#include <utility>

#include "jobs/job_ledger.h"

namespace boragewinch::jobs {

namespace {

[[nodiscard]] Json ToJson(const Run& run) {
  Json row(::Json::arrayValue);
  row.append(run.number);
  row.append(run.worker.id.str());
  row.append(::Json::Int64(run.worker.start_time));
  row.append(::Json::Int64(run.decided));
  row.append(run.inherited);
  return row;
}

[[nodiscard]] Json ToJson(const Task& task) {
  Json row(::Json::arrayValue);
  row.append(task.last_run);
  row.append(task.failures);
  row.append(task.done);
  row.append(task.checkpoint);
  for (const Run& run : task.runs)
    row.append(ToJson(run));
  return row;
}

[[nodiscard]] Json ToJson(const Job& job) {
  Json json;
  json["id"] = job.id.str();
  json["queue"] = job.queue.str();
  json["customer"] = job.customer.str();
  json["accepted"] = ::Json::Int64(job.accepted);
  json["finished"] = ::Json::Int64(job.finished);
  json["state"] = std::string(kJobStates.Name(job.state));
  json["attempts"] = ::Json::Int64(job.max_attempts);
  json["next"] = job.next_occurrence;
  json["completed"] = ::Json::Int64(job.completed_occurrences);
  if (job.spec)
    json["job"] = ToJson(*job.spec);
  for (const auto& [number, occurrence] : job.occurrences) {
    Json item;
    item["number"] = number;
    item["opened"] = ::Json::Int64(occurrence.opened);
    for (const Step& step : occurrence.steps) {
      Json tasks(::Json::arrayValue);
      tasks.append(step.gang_failures);
      for (const Task& task : step.tasks)
        tasks.append(ToJson(task));
      item["steps"].append(std::move(tasks));
      item["failed_gang_runs"].append(step.last_failed_gang_run);
    }
    json["occurrences"].append(std::move(item));
  }
  return json;
}

[[nodiscard]] Result<Task> TaskFromJson(const Json& row) {
  Task task;
  const bool valid = row.isArray() && row.size() >= 4 && row[0].isUInt() &&
                     row[1].isUInt() && row[2].isBool() && row[3].isString();
  if (!valid)
    return Fail(ErrorCode::kStorageCorrupt,
                "malformed task in a ledger snapshot");
  task.last_run = row[0].asUInt();
  task.failures = row[1].asUInt();
  task.done = row[2].asBool();
  task.checkpoint = row[3].asString();
  for (::Json::ArrayIndex i = 4; i < row.size(); ++i) {
    const Json& run = row[i];
    // Earlier versions wrote four fields.
    const bool has_inherited = run.isArray() && run.size() == 5;
    if (!run.isArray() || (run.size() != 4 && !has_inherited) ||
        !run[0].isUInt() || !run[1].isString() || !run[2].isInt64() ||
        !run[3].isInt64() || (has_inherited && !run[4].isBool())) {
      return Fail(ErrorCode::kStorageCorrupt,
                  "malformed run in a ledger snapshot");
    }
    task.runs.push_back({run[0].asUInt(),
                         {WorkerId(run[1].asString()), run[2].asInt64()},
                         run[3].asInt64(),
                         has_inherited && run[4].asBool()});
  }
  return task;
}

[[nodiscard]] Result<Step> StepFromJson(const Json& tasks) {
  if (!tasks.isArray() || tasks.empty() || !tasks[0].isUInt())
    return Fail(ErrorCode::kStorageCorrupt,
                "malformed step in a ledger snapshot");
  Step step;
  step.gang_failures = tasks[0].asUInt();
  for (::Json::ArrayIndex i = 1; i < tasks.size(); ++i) {
    BW_TRY(Task task, TaskFromJson(tasks[i]));
    if (task.done)
      ++step.done;
    else if (!task.runs.empty())
      ++step.placed;
    step.tasks.push_back(std::move(task));
  }
  return step;
}

[[nodiscard]] Result<Job> JobFromJson(const Json& json) {
  Job job;
  BW_TRY(const std::string id, StoredText(json, "id"));
  job.id = JobId(id);
  BW_TRY(const std::string queue, StoredText(json, "queue"));
  job.queue = QueueName(queue);
  BW_TRY(const std::string customer, StoredText(json, "customer"));
  job.customer = CustomerName(customer);
  BW_TRY(job.accepted, IntField(json, "accepted", 0, kMaxNumber));
  BW_TRY(job.finished, IntField(json, "finished", 0, kMaxNumber));
  BW_TRY(const std::string state, StoredText(json, "state"));
  const auto parsed = kJobStates.Parse(state);
  if (!parsed)
    return Fail(ErrorCode::kStorageCorrupt,
                "unknown job state \"" + state + "\"");
  job.state = *parsed;
  BW_TRY(job.max_attempts, IntField(json, "attempts", 1, kMaxNumber));
  BW_TRY(const std::int64_t next, IntField(json, "next", 0, kMaxRepeats));
  job.next_occurrence = static_cast<std::uint32_t>(next);
  BW_TRY(job.completed_occurrences, IntField(json, "completed", 0, kMaxNumber));
  if (json.isMember("job")) {
    BW_TRY(JobSpec spec, JobSpecFromJson(json["job"]));
    job.spec = std::make_shared<const JobSpec>(std::move(spec));
  }
  for (const Json& item : json["occurrences"]) {
    BW_TRY(const std::int64_t number, IntField(item, "number", 0, kMaxRepeats));
    Occurrence occurrence;
    BW_TRY(occurrence.opened, IntField(item, "opened", 0, kMaxNumber));
    for (const Json& tasks : item["steps"]) {
      BW_TRY(Step step, StepFromJson(tasks));
      occurrence.steps.push_back(std::move(step));
    }
    // Earlier versions did not write these.
    const Json& failed_runs = item["failed_gang_runs"];
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const Json& run = failed_runs[static_cast<::Json::ArrayIndex>(s)];
      if (run.isUInt())
        occurrence.steps[s].last_failed_gang_run = run.asUInt();
    }
    if (!job.spec || occurrence.steps.size() != job.spec->steps.size())
      return Fail(ErrorCode::kStorageCorrupt,
                  "wrong number of steps in job " + id);
    job.occurrences[static_cast<std::uint32_t>(number)] = std::move(occurrence);
  }
  return job;
}

}  // namespace

std::string JobLedger::Snapshot() const {
  Json json;
  json["rules"] = ToJson(config_);
  for (const auto& [name, queue] : retired_queues_)
    json["retired_queues"].append(ToJson(queue));
  json["jobs"] = Json(::Json::arrayValue);
  for (const auto& [id, job] : jobs_)
    json["jobs"].append(ToJson(job));
  for (const auto& [incarnation, worker] : workers_) {
    Json item;
    item["note"] = ToJson(worker.record);
    item["ends"] = ::Json::Int64(worker.last_end_sequence);
    if (worker.join_number > 0)
      item["join"] = ::Json::Int64(worker.join_number);
    if (worker.succeeded > 0)
      item["succeeded"] = ::Json::Int64(worker.succeeded);
    json["workers"].append(std::move(item));
  }
  json["joins"] = ::Json::Int64(joins_);
  // Not part of the runs' rows, whose size earlier versions check.
  for (const auto& [incarnation, worker] : workers_) {
    for (const RunName& name : worker.runs) {
      if (const Run* run = FindRun(name); run != nullptr && run->confirmed)
        json["confirmed"].append(jobs::ToJson(name));
    }
  }
  for (const auto& [id, departure] : departed_) {
    Json row(::Json::arrayValue);
    row.append(id.str());
    row.append(::Json::Int64(departure.start_time));
    json["departed"].append(std::move(row));
    json["departed_at"].append(::Json::Int64(departure.at));
  }
  for (const auto& [cancel, at] : unseen_cancels_) {
    Json row(::Json::arrayValue);
    row.append(cancel.id.str());
    row.append(cancel.virtual_host);
    row.append(cancel.path_prefix);
    row.append(cancel.customer.str());
    row.append(::Json::Int64(at));
    json["cancelled_unseen"].append(std::move(row));
  }
  for (const auto& [number, wave] : waves_) {
    Json item;
    item["order"] = ToJson(wave.order);
    item["started"] = ::Json::Int64(wave.started);
    item["begun"] = Json(::Json::arrayValue);
    for (const HostName& host : wave.begun)
      item["begun"].append(host.str());
    json["waves"].append(std::move(item));
  }
  for (const auto& [host, order] : host_orders_) {
    Json item;
    item["order"] = ToJson(order.record);
    item["decided"] = ::Json::Int64(order.decided);
    json["host_orders"].append(std::move(item));
  }
  for (const auto& [zone, state] : zones_) {
    Json item;
    item["zone"] = zone.str();
    item["evacuated"] = state.evacuated;
    item["changed"] = ::Json::Int64(state.changed);
    json["zones"].append(std::move(item));
  }
  return WriteJson(json);
}

Result<JobLedger> JobLedger::Restore(const std::string& bytes) {
  BW_TRY(const Json json, ParseTrustedJson(bytes));
  if (!json.isObject())
    return Fail(ErrorCode::kStorageCorrupt,
                "ledger snapshot is not a JSON object");
  JobLedger ledger;
  BW_TRY(ledger.config_, FleetConfigFromJson(json["rules"]));
  for (const Json& item : json["retired_queues"]) {
    BW_TRY(QueueConfig queue, QueueConfigFromJson(item));
    const QueueName name = queue.name;
    ledger.retired_queues_[name] = std::move(queue);
  }
  for (const Json& item : json["workers"]) {
    Worker worker;
    BW_TRY(worker.record, WorkerRecordFromJson(item["note"]));
    BW_TRY(worker.last_end_sequence, IntField(item, "ends", 0, kMaxNumber));
    if (item.isMember("join")) {
      BW_TRY(worker.join_number, IntField(item, "join", 0, kMaxNumber));
    }
    if (item.isMember("succeeded")) {
      BW_TRY(worker.succeeded, IntField(item, "succeeded", 0, kMaxNumber));
    }
    ledger.RestoreWorker(std::move(worker));
  }
  if (json.isMember("joins")) {
    BW_TRY(ledger.joins_, IntField(json, "joins", 0, kMaxNumber));
  }
  // Snapshots of earlier versions have no times; a worker that started long ago
  // is then forgotten.
  const Json& departed_at = json["departed_at"];
  for (::Json::ArrayIndex i = 0; i < json["departed"].size(); ++i) {
    const Json& row = json["departed"][i];
    if (!row.isArray() || row.size() != 2 || !row[0].isString() ||
        !row[1].isInt64()) {
      return Fail(ErrorCode::kStorageCorrupt,
                  "malformed departed worker in a ledger snapshot");
    }
    const WorkerId id(row[0].asString());
    const Json& at = departed_at.isArray() ? departed_at[i] : Json();
    Departure& departure = ledger.departed_[id];
    departure.start_time = row[1].asInt64();
    departure.at = at.isInt64() ? at.asInt64() : departure.start_time;
    ledger.departures_.emplace(departure.at, id);
  }
  for (const Json& item : json["jobs"]) {
    BW_TRY(Job job, JobFromJson(item));
    ledger.RestoreJob(std::move(job));
  }
  for (const Json& row : json["confirmed"]) {
    BW_TRY(const RunName run, RunNameFromJson(row));
    ledger.ApplyConfirmed(run);
  }
  for (const Json& row : json["cancelled_unseen"]) {
    constexpr ::Json::ArrayIndex kTexts = 4;
    bool valid =
        row.isArray() && row.size() == kTexts + 1 && row[kTexts].isInt64();
    for (::Json::ArrayIndex i = 0; valid && i < kTexts; ++i)
      valid = row[i].isString();
    if (!valid) {
      return Fail(ErrorCode::kStorageCorrupt,
                  "malformed cancellation in a ledger snapshot");
    }
    ledger
        .unseen_cancels_[{JobId(row[0].asString()), row[1].asString(),
                          row[2].asString(), CustomerName(row[3].asString())}] =
        row[kTexts].asInt64();
  }
  for (const Json& item : json["waves"]) {
    Wave wave;
    BW_TRY(wave.order, WaveOrderFromJson(item["order"]));
    BW_TRY(wave.started, IntField(item, "started", 0, kMaxNumber));
    for (const Json& host : item["begun"])
      wave.begun.insert(HostName(host.asString()));
    const std::int64_t number = wave.order.number;
    ledger.waves_[number] = std::move(wave);
  }
  for (const Json& item : json["host_orders"]) {
    HostOrder order;
    BW_TRY(order.record, HostOrderFromJson(item["order"]));
    BW_TRY(order.decided, IntField(item, "decided", 0, kMaxNumber));
    const HostName host = order.record.host;
    ledger.host_orders_[host] = std::move(order);
  }
  for (const Json& item : json["zones"]) {
    BW_TRY(const std::string zone, StoredText(item, "zone"));
    ZoneState state;
    BW_TRY(state.evacuated, BoolField(item, "evacuated"));
    BW_TRY(state.changed, IntField(item, "changed", 0, kMaxNumber));
    ledger.zones_[ZoneName(zone)] = state;
  }
  return ledger;
}

void JobLedger::RestoreWorker(Worker worker) {
  const WorkerIncarnation incarnation = worker.record.incarnation;
  const auto [it, added] = workers_.try_emplace(incarnation);
  if (!added)
    UnindexWorker(it->second);
  it->second = std::move(worker);
  IndexWorker(it->second);
  UpdateStopCandidate(it->second);
}

// Rebuilds the counts and indexes that the snapshot omits.
void JobLedger::RestoreJob(Job job) {
  for (auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      const StepSpec& spec = job.spec->steps[s];
      const auto& tasks = occurrence.steps[s].tasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        IndexCopies({job.id, number, s, i}, tasks[i]);
        for (const Run& run : tasks[i].runs) {
          ++job.runs;
          usage_[job.customer] += spec.request;
          if (const auto worker = workers_.find(run.worker);
              worker != workers_.end()) {
            worker->second.used += CapacityOf(spec);
            const RunName name{{job.id, number, s, i}, run.number};
            worker->second.runs.insert(name);
            if (run.inherited)
              worker->second.inherited.insert(name);
            worker->second.long_running_runs += spec.long_running ? 1 : 0;
            if (job.final() || tasks[i].done)
              AddObsoleteRuns(run.worker, 1);
          }
        }
      }
    }
  }
  if (job.final()) {
    finished_jobs_.emplace(job.finished, job.id);
  } else {
    active_.insert(job.id);
    loads_[job.queue].open_tasks += OpenTasksOf(job);
  }
  if (job.state == JobState::kQueued)
    ++queued_[job.queue];
  const JobId id = job.id;
  Job& adopted = jobs_[id];
  adopted = std::move(job);
  if (!adopted.final() && adopted.spec)
    IndexJob(&adopted);
}

}  // namespace boragewinch::jobs
