#include "entry/caller_api.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "entry/service_names.h"
#include "model/outcome.h"

namespace boragewinch {

namespace {

constexpr char kJobsPath[] = "/v1/jobs";
constexpr char kTicketsPath[] = "/v1/tickets";
constexpr char kResultSuffix[] = "/result";
constexpr Millis kCallDeadline{5'000};
constexpr Millis kMaxWait{10'000};
constexpr std::size_t kMaxRequestIdBytes = 256;
constexpr const char* kKindNames[] = {"submit", "status", "cancel", "result"};

[[nodiscard]] HttpResponse Malformed(const std::string& detail) {
  JobAnswer answer;
  answer.outcome = Outcome::kRefusedNotRun;
  answer.reason = RefusalReason::kMalformed;
  Json json = ToCallerJson(answer);
  json["detail"] = detail;
  return {HttpStatusOf(answer), WriteJson(json)};
}

[[nodiscard]] std::string HeaderOf(const HttpRequest& request,
                                   const char* name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? std::string() : found->second;
}

[[nodiscard]] Millis WaitOf(const HttpRequest& request) {
  const auto found = request.query.find("wait_ms");
  if (found == request.query.end())
    return Millis(0);
  const long wait = std::strtol(found->second.c_str(), nullptr, 10);
  return std::clamp(Millis(wait), Millis(0), kMaxWait);
}

[[nodiscard]] int StatusOfRefusal(RefusalReason reason) noexcept {
  switch (reason) {
    case RefusalReason::kBadKey:
    case RefusalReason::kWithdrawnKey:
    case RefusalReason::kWrongTeam:
      return 403;
    case RefusalReason::kUnknownRequest:
      return 404;
    case RefusalReason::kNeverFits:
    case RefusalReason::kUnknownQueue:
    case RefusalReason::kDeadline:
      return 422;
    case RefusalReason::kLimit:
    case RefusalReason::kFull:
      return 429;
    case RefusalReason::kDraining:
    case RefusalReason::kNoConfiguration:
    case RefusalReason::kStaleConfiguration:
    case RefusalReason::kNoBackup:
    case RefusalReason::kStopping:
      return 503;
    case RefusalReason::kNone:
    case RefusalReason::kMalformed:
      break;
  }
  return 400;
}

}  // namespace

int HttpStatusOf(const JobAnswer& answer) noexcept {
  switch (answer.outcome) {
    case Outcome::kRefusedNotRun:
      return StatusOfRefusal(answer.reason);
    case Outcome::kUnknownMayHaveRun:
      return 409;
    default:
      return 200;
  }
}

Json ToCallerJson(const JobAnswer& answer) {
  Json json;
  json["id"] = answer.request.str();
  json["outcome"] = std::string(kOutcomes.Name(answer.outcome));
  if (answer.reason != RefusalReason::kNone)
    json["reason"] = std::string(kRefusalReasons.Name(answer.reason));
  return json;
}

Status CallerApi::Start(Kernel& kernel) {
  loop_ = &kernel.loop();
  BW_TRY(entry_, kernel.Require<EntryService>(kEntryService));
  core_ = &entry_->core();
  metrics_ = &entry_->metrics();
  entry_->On<AnswerCaller>(
      [this](const AnswerCaller& action) { OnAnswer(action); });
  return Ok();
}

bool CallerApi::Handles(const HttpRequest& request) {
  return request.path == kTicketsPath || request.path == kJobsPath ||
         request.path.starts_with(std::string(kJobsPath) + "/");
}

void CallerApi::Serve(const HttpRequest& request,
                      const HttpResponder& respond) {
  const std::string& method = request.method;
  if (request.path == kTicketsPath && method == "POST") {
    const Result<RequestId> ticket = core_->NewTicket(loop_->now());
    if (!ticket) {
      respond({503, R"({"error":"unavailable","detail":"stopping"})"});
      return;
    }
    Json json;
    json["id"] = ticket.value().str();
    respond({200, WriteJson(json)});
  } else if ((request.path == kJobsPath && method == "POST") ||
             (request.path != kJobsPath && method == "PUT")) {
    Submit(request, respond);
  } else if (method == "GET" && request.path.ends_with(kResultSuffix)) {
    OpenRequestCall(Kind::kResult, request, respond);
  } else if (method == "GET" && request.path != kJobsPath) {
    OpenRequestCall(Kind::kStatus, request, respond);
  } else if (method == "DELETE" && request.path != kJobsPath) {
    OpenRequestCall(Kind::kCancel, request, respond);
  } else {
    respond({405, R"({"error":"protocol","detail":"method not allowed"})"});
  }
}

void CallerApi::Submit(const HttpRequest& request,
                       const HttpResponder& respond) {
  const Result<Json> json = ParseJson(request.body);
  if (!json) {
    respond(Malformed(json.error().Text()));
    return;
  }
  Result<JobSpec> spec = JobSpecFromJson(json.value());
  if (!spec) {
    respond(Malformed(spec.error().Text()));
    return;
  }
  SubmitCall call;
  if (request.method == "PUT") {
    call.ticket =
        RequestId(request.path.substr(std::string(kJobsPath).size() + 1));
    if (call.ticket.empty() || call.ticket.str().size() > kMaxRequestIdBytes) {
      respond(Malformed("the path must name a request id"));
      return;
    }
  }
  const TimePoint now = loop_->now();
  call.call = next_call_++;
  call.key = HeaderOf(request, kKeyHeader);
  call.spec = std::move(spec).value();
  call.deadline = now + kCallDeadline;
  calls_.emplace(call.call, Call{Kind::kSubmit, respond, now});
  core_->Submit(std::move(call), now);
  entry_->Flush();
}

void CallerApi::OpenRequestCall(Kind kind,
                                const HttpRequest& request,
                                const HttpResponder& respond) {
  std::string id = request.path.substr(std::string(kJobsPath).size() + 1);
  if (kind == Kind::kResult)
    id.resize(id.size() - (sizeof(kResultSuffix) - 1));
  if (id.empty() || id.size() > kMaxRequestIdBytes) {
    respond(Malformed("the path must name a request id"));
    return;
  }
  const TimePoint now = loop_->now();
  const Millis wait = kind == Kind::kStatus ? WaitOf(request) : Millis(0);
  const RequestCall call{next_call_++, HeaderOf(request, kKeyHeader),
                         RequestId(std::move(id)),
                         now + (wait > Millis(0) ? wait : kCallDeadline)};
  calls_.emplace(call.call, Call{kind, respond, now});
  switch (kind) {
    case Kind::kResult:
      core_->FetchResult(call, now);
      break;
    case Kind::kCancel:
      core_->Cancel(call, now);
      break;
    default:
      if (wait > Millis(0))
        core_->Await(call, now);
      else
        core_->Query(call, now);
  }
  entry_->Flush();
}

void CallerApi::OnAnswer(const AnswerCaller& action) {
  const auto found = calls_.find(action.call);
  if (found == calls_.end())
    return;
  Call& call = found->second;
  const JobAnswer& answer = action.answer;
  const TimePoint now = loop_->now();
  metrics_->Observe("answer", {"", kKindNames[static_cast<int>(call.kind)]},
                    now - call.opened);
  if (call.kind == Kind::kResult && answer.outcome == Outcome::kFinished) {
    call.respond({200, answer.body, "application/octet-stream"});
  } else {
    // Only a finished request has a result.
    const bool no_result =
        call.kind == Kind::kResult && HttpStatusOf(answer) == 200;
    const int status = no_result ? 409 : HttpStatusOf(answer);
    call.respond({status, WriteJson(ToCallerJson(answer))});
  }
  calls_.erase(found);
}

}  // namespace boragewinch
