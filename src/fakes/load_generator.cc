#include "fakes/load_generator.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace boragewinch {

namespace {

constexpr Millis kCallTimeout{3'000};
constexpr Millis kRetryDelay{100};
constexpr char kKeyHeader[] = "X-Boragewinch-Key";
// Long poll: the server responds after this time or when the job ends.
constexpr char kWaitQuery[] = "?wait_ms=2000";

[[nodiscard]] bool RefusedByRestart(const Json& response) {
  const auto reason = kRefusalReasons.Parse(
      ValueOr<std::string>(StringFieldOr(response, "reason", ""), ""));
  return reason == RefusalReason::kStopping ||
         reason == RefusalReason::kNoConfiguration ||
         reason == RefusalReason::kNoBackup;
}

}  // namespace

LoadGenerator::LoadGenerator(EventLoop& loop,
                             HttpClient& client,
                             LoadConfig config,
                             std::function<void(const LoadReport&)> done)
    : loop_(loop),
      client_(client),
      config_(std::move(config)),
      done_(std::move(done)),
      random_(config_.seed) {}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::Start() {
  StartMore();
}

std::int64_t LoadGenerator::wanted_jobs() const {
  return config_.stop != nullptr && *config_.stop ? started_ : config_.jobs;
}

void LoadGenerator::StartMore() {
  while (started_ < wanted_jobs() && started_ - ended_ < config_.in_flight) {
    const std::int64_t number = started_++;
    Job& job = open_[number];
    job.number = number;
    job.target = config_.targets[random_() % config_.targets.size()];
    job.entry = random_() % config_.entries.size();
    job.echo = "result-" + Hex64(random_()) + "-" + std::to_string(number);
    job.submitted = loop_.now();
    Json payload;
    payload["run_ms"] = ::Json::Int64(config_.run.count());
    payload["echo"] = job.echo;
    Json spec;
    spec["queue"] = job.target.queue.str();
    spec["customer"] = "customer-" + std::to_string(random_() % 6);
    spec["cpu_millis"] = 1'000;
    spec["memory_mb"] = 1'024;
    spec["run_time_ms"] = ::Json::Int64(config_.run.count());
    const auto chance = [this](std::int64_t percent) {
      return static_cast<std::int64_t>(random_() % 100) < percent;
    };
    spec["urgency"] = chance(config_.urgent_percent) ? "urgent" : "normal";
    spec["repeatable"] = chance(config_.repeatable_percent);
    spec["payload"] = WriteJson(payload);
    job.body = WriteJson(spec);
    RequestTicket(number);
  }
}

HttpCall LoadGenerator::CallFor(const Job& job,
                                std::string method,
                                const std::string& path) const {
  HttpCall call;
  call.method = std::move(method);
  call.url = "http://" + config_.entries[job.entry] + path;
  call.timeout = kCallTimeout;
  if (!job.target.key.empty())
    call.headers[kKeyHeader] = job.target.key;
  return call;
}

void LoadGenerator::RetryLater(std::int64_t number,
                               void (LoadGenerator::*step)(std::int64_t)) {
  Job& job = open_.at(number);
  if (loop_.now() - job.submitted > config_.deadline) {
    Finish(number, "no_answer");
    return;
  }
  job.entry = (job.entry + 1) % config_.entries.size();
  job.timer = loop_.After(
      kRetryDelay, [this, number, step](TimePoint) { (this->*step)(number); });
}

void LoadGenerator::RequestTicket(std::int64_t number) {
  client_.Send(CallFor(open_.at(number), "POST", "/v1/tickets"),
               [this, number](const Result<HttpResponse>& result) {
                 if (!open_.contains(number))
                   return;
                 if (result && result.value().status == 200) {
                   if (auto json = ParseJson(result.value().body)) {
                     if (auto id = StringField(json.value(), "id", 256)) {
                       open_.at(number).id = id.value();
                       Submit(number);
                       return;
                     }
                   }
                 }
                 RetryLater(number, &LoadGenerator::RequestTicket);
               });
}

void LoadGenerator::Submit(std::int64_t number) {
  const Job& job = open_.at(number);
  HttpCall call = CallFor(job, "PUT", "/v1/jobs/" + job.id);
  call.body = job.body;
  client_.Send(std::move(call),
               [this, number](const Result<HttpResponse>& result) {
                 OnResponse(number, result);
               });
}

void LoadGenerator::Poll(std::int64_t number) {
  const Job& job = open_.at(number);
  client_.Send(CallFor(job, "GET", "/v1/jobs/" + job.id + kWaitQuery),
               [this, number](const Result<HttpResponse>& result) {
                 OnResponse(number, result);
               });
}

void LoadGenerator::OnResponse(std::int64_t number,
                               const Result<HttpResponse>& result) {
  if (!open_.contains(number))
    return;
  Job& job = open_.at(number);
  const auto step =
      job.accepted ? &LoadGenerator::Poll : &LoadGenerator::Submit;
  if (!result) {
    RetryLater(number, step);
    return;
  }
  const auto json = ParseJson(result.value().body);
  const auto name = json && json.value().isObject()
                        ? StringField(json.value(), "outcome")
                        : Result<std::string>(Fail(ErrorCode::kProtocol, ""));
  const auto outcome =
      name ? kOutcomes.Parse(name.value()) : std::optional<Outcome>();
  if (!outcome) {
    RetryLater(number, step);
    return;
  }
  switch (*outcome) {
    case Outcome::kAccepted:
    case Outcome::kRunning:
      job.accepted = true;
      // Limits the polling rate if the server doesn't hold the call open.
      job.timer =
          loop_.After(Millis(5), [this, number](TimePoint) { Poll(number); });
      return;
    case Outcome::kFinished:
      FetchResult(number);
      return;
    case Outcome::kUnknownMayHaveRun:
      // Not final: the worker's report may still arrive.
      if (loop_.now() - job.submitted > config_.deadline)
        Finish(number, name.value());
      else
        RetryLater(number, job.accepted ? &LoadGenerator::Poll : step);
      return;
    case Outcome::kRefusedNotRun:
      report_.not_run.push_back(job.id);
      if (config_.resubmit_elsewhere && RefusedByRestart(json.value())) {
        job.accepted = false;
        RetryLater(number, &LoadGenerator::RequestTicket);
        return;
      }
      Finish(number, name.value() + ":" +
                         ValueOr<std::string>(
                             StringFieldOr(json.value(), "reason", ""), ""));
      return;
    case Outcome::kFailed:
    case Outcome::kCancelled:
      break;
  }
  Finish(number, name.value());
}

void LoadGenerator::FetchResult(std::int64_t number) {
  const Job& job = open_.at(number);
  client_.Send(CallFor(job, "GET", "/v1/jobs/" + job.id + "/result"),
               [this, number](const Result<HttpResponse>& result) {
                 if (!open_.contains(number))
                   return;
                 if (!result || result.value().status != 200) {
                   RetryLater(number, &LoadGenerator::FetchResult);
                   return;
                 }
                 const Job& ended = open_.at(number);
                 if (result.value().body != ended.echo)
                   ++report_.wrong_results;
                 report_.finished.push_back(ended.id);
                 report_.latencies.push_back(loop_.now() - ended.submitted);
                 Finish(number, "finished");
               });
}

void LoadGenerator::Finish(std::int64_t number, const std::string& outcome) {
  ++report_.outcomes[outcome];
  ++ended_;
  loop_.Post([this, number] { open_.erase(number); });
  if (ended_ == wanted_jobs())
    loop_.Post([this] { done_(report_); });
  else
    loop_.Post([this] { StartMore(); });
}

}  // namespace boragewinch
