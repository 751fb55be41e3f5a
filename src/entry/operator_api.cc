#include "entry/operator_api.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/invariant.h"
#include "base/secret.h"
#include "entry/service_names.h"

namespace boragewinch {

namespace {

constexpr char kJobsPath[] = "/v1/jobs";
constexpr char kKeysPrefix[] = "/v1/keys/";
constexpr char kWithdrawSuffix[] = "/withdraw";
constexpr std::int64_t kMaxListedJobs = 1'000;

[[nodiscard]] Json CountsJson(const std::map<TeamName, std::int64_t>& counts) {
  Json json(::Json::objectValue);
  for (const auto& [team, count] : counts)
    json[team.str()] = ::Json::Int64(count);
  return json;
}

[[nodiscard]] Json InvariantsJson() {
  Json json;
  for (const auto& [invariant, name] : kInvariants.entries) {
    const InvariantCount count = invariant_count(invariant);
    Json& entry = json[std::string(name)];
    entry["checked"] = ::Json::UInt64(count.checked);
    entry["violated"] = ::Json::UInt64(count.violated);
  }
  return json;
}

[[nodiscard]] Json JobJson(const RequestRecord& record) {
  Json json;
  json["id"] = record.id.str();
  json["team"] = record.spec.team.str();
  json["queue"] = record.spec.queue.str();
  json["customer"] = record.spec.customer.str();
  json["phase"] = std::string(kRequestPhases.Name(record.phase));
  json["worker"] = record.intent.worker.str();
  json["replica"] = record.owner.has_value();
  if (record.phase == RequestPhase::kEnded)
    json["outcome"] = std::string(kOutcomes.Name(record.closing.outcome));
  return json;
}

[[nodiscard]] std::string Query(const HttpRequest& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

[[nodiscard]] HttpResponse ToResponse(const Result<Json>& result) {
  if (result)
    return {200, WriteJson(result.value())};
  Json json;
  json["error"] = std::string(kErrorCodes.Name(result.error().code));
  json["detail"] = result.error().detail;
  return {result.error().code == ErrorCode::kNotFound ? 404 : 400,
          WriteJson(json)};
}

}  // namespace

OperatorApi::OperatorApi(const EntryOptions& options)
    : options_(options), secret_hash_(HashSecret(options.operator_secret)) {}

Status OperatorApi::Start(Kernel& kernel) {
  loop_ = &kernel.loop();
  BW_TRY(entry_, kernel.Require<EntryService>(kEntryService));
  core_ = &entry_->core();
  metrics_ = &entry_->metrics();
  scheduler_ = &entry_->scheduler();
  entry_->On<AnswerCaller>([this](const AnswerCaller& action) {
    Observe(action.answer, loop_->now());
  });
  return Ok();
}

bool OperatorApi::Handles(const HttpRequest& request) const {
  return request.path == kJobsPath && request.method == "GET";
}

HttpResponse OperatorApi::Serve(const HttpRequest& request) {
  const TimePoint now = loop_->now();
  const auto secret = request.headers.find(kOperatorHeader);
  if (secret == request.headers.end() ||
      !SecretMatches(secret->second, secret_hash_)) {
    return {401, R"({"error":"unauthorized",)"
                 R"("detail":"the operator secret is missing or wrong"})"};
  }
  if (request.path.starts_with(kKeysPrefix) &&
      request.path.ends_with(kWithdrawSuffix) && request.method == "POST")
    return ToResponse(Withdraw(request));
  if (request.method != "GET")
    return {405, R"({"error":"protocol","detail":"method not allowed"})"};
  if (request.path == "/v1/status")
    return {200, WriteJson(StatusJson(now))};
  if (request.path == kJobsPath)
    return {200, WriteJson(JobsJson(request))};
  if (request.path == "/v1/explain")
    return ToResponse(Explain(request));
  if (request.path == "/metrics") {
    UpdateGauges(now);
    return {200, metrics_->PrometheusText(), kPrometheusContentType};
  }
  if (request.path == "/v1/metrics") {
    UpdateGauges(now);
    return {200, WriteJson(metrics_->ToJson())};
  }
  return {404, R"({"error":"not_found","detail":"no such path"})"};
}

Json OperatorApi::StatusJson(TimePoint now) const {
  const ControlReport report = core_->BuildControlReport(now);
  Json json;
  json["entry"] = options_.name.str();
  json["zone"] = options_.zone.str();
  json["version"] = ::Json::UInt64(core_->view().version);
  json["fresh"] = core_->fresh(now);
  json["isolated"] = core_->isolated(now);
  json["stopping"] = core_->stopping();
  json["open_requests"] = ::Json::UInt64(core_->open_requests());
  json["running"] = CountsJson(report.running);
  json["queued"] = CountsJson(core_->requests().queued_by_team());
  json["allotment_version"] = ::Json::UInt64(report.allotment_version);
  Json workers(::Json::arrayValue);
  for (const auto& [host, worker] : core_->workers().workers()) {
    Json item;
    item["host"] = host.str();
    item["incarnation"] = worker.report.incarnation.str();
    item["rack"] = worker.report.rack.str();
    item["lost"] = worker.lost;
    item["leaving"] = core_->workers().leaving(worker);
    item["tasks"] = ::Json::UInt64(worker.report.tasks.size());
    workers.append(std::move(item));
  }
  json["workers"] = std::move(workers);
  json["invariants"] = InvariantsJson();
  return json;
}

Json OperatorApi::JobsJson(const HttpRequest& request) const {
  const std::string text = Query(request, "limit");
  const std::int64_t limit =
      text.empty()
          ? 100
          : std::clamp<std::int64_t>(std::strtol(text.c_str(), nullptr, 10), 1,
                                     kMaxListedJobs);
  Json jobs(::Json::arrayValue);
  for (const auto& [id, record] : core_->requests().records()) {
    if (static_cast<std::int64_t>(jobs.size()) >= limit)
      break;
    jobs.append(JobJson(record));
  }
  Json json;
  json["jobs"] = std::move(jobs);
  return json;
}

Result<Json> OperatorApi::Explain(const HttpRequest& request) const {
  if (Query(request, "kind") != "job")
    return Fail(ErrorCode::kInvalidField, "an entry host explains only jobs");
  const RequestId id(Query(request, "name"));
  const auto found = core_->requests().records().find(id);
  if (found == core_->requests().records().end())
    return Fail(ErrorCode::kNotFound,
                "request " + id.str() + " is unknown at this entry host");
  const RequestRecord& record = found->second;
  Json json = JobJson(record);
  if (record.phase == RequestPhase::kQueued) {
    const TeamName& team = record.spec.team;
    json["text"] =
        scheduler_->Explain(id, core_->allotments().in_use(team),
                            core_->allotments().allotment(team), loop_->now());
  } else {
    std::string text = "request " + id.str() + " of team " +
                       record.spec.team.str() + " is " +
                       std::string(kRequestPhases.Name(record.phase));
    if (!record.intent.worker.empty())
      text += " on " + record.intent.worker.str();
    const auto queue = core_->view().queues.find(record.spec.queue);
    if (queue != core_->view().queues.end()) {
      text += ": queue " + queue->first.str() + " uses the workers of pool " +
              queue->second.pool.str();
    }
    json["text"] = text;
  }
  return json;
}

Result<Json> OperatorApi::Withdraw(const HttpRequest& request) {
  const std::size_t prefix = sizeof(kKeysPrefix) - 1;
  const std::size_t suffix = sizeof(kWithdrawSuffix) - 1;
  const std::string id =
      request.path.size() < prefix + suffix
          ? std::string()
          : request.path.substr(prefix, request.path.size() - prefix - suffix);
  if (!IsValidName(id))
    return Fail(ErrorCode::kInvalidField, "the path must name a key id");
  core_->OnKeyWithdrawn(KeyId(id), loop_->now());
  entry_->Flush();
  Json json;
  json["withdrawn"] = true;
  json["entry"] = options_.name.str();
  return json;
}

void OperatorApi::Observe(const JobAnswer& answer, TimePoint) {
  metrics_->Count("answers", {"", std::string(kOutcomes.Name(answer.outcome))});
}

void OperatorApi::UpdateGauges(TimePoint now) {
  const ControlReport report = core_->BuildControlReport(now);
  for (const auto& [name, team] : core_->view().teams) {
    const auto running = report.running.find(name);
    metrics_->Gauge("running", {name.str(), ""},
                    running == report.running.end()
                        ? 0.0
                        : static_cast<double>(running->second));
  }
  const EntryCounters& counters = core_->counters();
  metrics_->Gauge("log_lines_dropped", {},
                  static_cast<double>(DroppedLogLines()));
  metrics_->Gauge("accepted", {}, static_cast<double>(counters.accepted));
  metrics_->Gauge("refused", {}, static_cast<double>(counters.refused));
  metrics_->Gauge("starts", {}, static_cast<double>(counters.starts));
  metrics_->Gauge("taken_over", {}, static_cast<double>(counters.taken_over));
  metrics_->Gauge("checkpoints_sent", {},
                  static_cast<double>(counters.checkpoints_sent));
  metrics_->Gauge("checkpoints_declined", {},
                  static_cast<double>(counters.checkpoints_declined));
  metrics_->Gauge("tasks_moved", {}, static_cast<double>(counters.tasks_moved));
  metrics_->Gauge("progress_dropped", {},
                  static_cast<double>(counters.progress_dropped));
  metrics_->Gauge("fresh", {}, core_->fresh(now) ? 1.0 : 0.0);
  for (const auto& [invariant, name] : kInvariants.entries) {
    metrics_->Gauge("invariant_violations", {"", std::string(name)},
                    static_cast<double>(invariant_count(invariant).violated));
  }
}

}  // namespace boragewinch
