#include "scheduler/relay.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

namespace {

constexpr Millis kViewTimeout{800};
constexpr std::size_t kMaxBodyBytes = 8UL * 1024 * 1024;
constexpr std::size_t kMaxHeaderBytes = 16UL * 1024;

[[nodiscard]] Json MapToJson(const std::map<std::string, std::string>& map) {
  Json json(::Json::objectValue);
  for (const auto& [name, value] : map)
    json[name] = value;
  return json;
}

void MapFromJson(const Json& json, std::map<std::string, std::string>* map) {
  if (!json.isObject())
    return;
  for (const std::string& name : json.getMemberNames()) {
    if (json[name].isString())
      (*map)[name] = json[name].asString();
  }
}

[[nodiscard]] Json ToJson(const HttpResponse& response) {
  Json json;
  json["status"] = response.status;
  json["body"] = response.body;
  json["type"] = response.content_type;
  if (!response.headers.empty())
    json["headers"] = MapToJson(response.headers);
  return json;
}

[[nodiscard]] Result<HttpResponse> ResponseFromJson(const Json& json) {
  HttpResponse response;
  BW_TRY(const std::int64_t status, IntField(json, "status", 100, 599));
  response.status = static_cast<int>(status);
  BW_TRY(response.body, StringField(json, "body", kMaxBodyBytes));
  BW_TRY(response.content_type, StringField(json, "type"));
  MapFromJson(json["headers"], &response.headers);
  return response;
}

}  // namespace

Json ToJson(const RelayedRequest& request) {
  Json json;
  json["surface"] = std::string(kSurfaces.Name(request.surface));
  json["method"] = request.http.method;
  json["path"] = request.http.path;
  json["body"] = request.http.body;
  json["headers"] = MapToJson(request.http.headers);
  if (!request.http.query.empty())
    json["query"] = MapToJson(request.http.query);
  return json;
}

Result<RelayedRequest> RelayedRequestFromJson(const Json& json) {
  RelayedRequest request;
  BW_TRY(const std::string surface, StringField(json, "surface"));
  const auto parsed = kSurfaces.Parse(surface);
  if (!parsed)
    return Fail(ErrorCode::kInvalidField, "surface \"" + surface + "\"");
  request.surface = *parsed;
  BW_TRY(request.http.method, StringField(json, "method"));
  BW_TRY(request.http.path, StringField(json, "path", kMaxHeaderBytes));
  BW_TRY(request.http.body, StringField(json, "body", kMaxBodyBytes));
  MapFromJson(json["headers"], &request.http.headers);
  MapFromJson(json["query"], &request.http.query);
  return request;
}

namespace {

// A refusal says that the leader stored nothing. It speaks for the last try
// only: an earlier one without an answer may be stored now or later.
[[nodiscard]] bool IsRefusedChange(const Json& request,
                                   const HttpResponse& response) {
  const std::string method = request["method"].asString();
  if (method == "GET" || method == "HEAD")
    return false;
  constexpr int kRefusals[] = {401, 403, 404, 429, 503};
  return std::find(std::begin(kRefusals), std::end(kRefusals),
                   response.status) != std::end(kRefusals);
}

}  // namespace

struct RelayClient::Pending {
  Json body;
  TimePoint deadline;
  Respond done;
  bool maybe_seen = false;  ///< a try ended without an answer
  std::size_t tries = 0;
  WatchHandle timer;
};

RelayClient::RelayClient(EventLoop& loop, RpcClient& rpc, Options options)
    : loop_(loop),
      rpc_(rpc),
      options_(std::move(options)),
      hosts_(options_.hosts) {}

std::string RelayClient::NextHost() {
  if (!leader_.empty())
    return leader_;
  if (hosts_.empty())
    return "";
  return hosts_[next_++ % hosts_.size()];
}

void RelayClient::Send(const RelayedRequest& request,
                       TimePoint deadline,
                       const Respond& done) {
  auto pending = std::make_shared<Pending>();
  pending->body = ToJson(request);
  pending->deadline = deadline - options_.answer_margin;
  pending->done = done;
  Try(pending);
}

void RelayClient::Try(const std::shared_ptr<Pending>& pending) {
  const TimePoint now = loop_.now();
  const TimePoint deadline = std::min(pending->deadline, no_tries_from_);
  const std::string host = NextHost();
  const bool hopeless =
      now - heard_ > options_.leader_silence && pending->tries >= hosts_.size();
  ++pending->tries;
  if (now >= deadline || host.empty() || hopeless) {
    HttpResponse response;
    response.status = pending->maybe_seen ? 504 : 503;
    response.body = R"({"error":"unavailable","detail":"no leader answers"})";
    response.headers["Retry-After"] = "1";
    LogEvent(EventId::kRelayFailed,
             {{"path", pending->body["path"].asString()},
              {"leader", leader_},
              {"leader_age_ms", static_cast<long>((now - heard_).count())},
              {"status", response.status}});
    pending->done(std::move(response));
    return;
  }
  const Millis timeout =
      std::min(options_.try_timeout, pending->deadline - now);
  rpc_.Call(host + ":" + options_.port, "relay.request", pending->body,
            std::max(timeout, Millis(1)),
            [this, pending, host](const Result<Json>& answer) {
              OnAnswer(pending, host, answer);
            });
}

void RelayClient::OnAnswer(const std::shared_ptr<Pending>& pending,
                           const std::string& host,
                           const Result<Json>& answer) {
  if (answer && answer.value().isMember("status")) {
    if (Result<HttpResponse> response = ResponseFromJson(answer.value())) {
      heard_ = loop_.now();
      leader_ = host;
      if (pending->maybe_seen &&
          IsRefusedChange(pending->body, response.value())) {
        LogEvent(EventId::kRelayFailed,
                 {{"path", pending->body["path"].asString()},
                  {"leader", leader_},
                  {"refusal", response.value().status},
                  {"status", 504}});
        response.value().status = 504;
        response.value().body =
            R"({"error":"unknown","detail":"an earlier try had no answer"})";
      }
      pending->done(std::move(response).value());
      return;
    }
  }
  const std::string before = std::exchange(leader_, "");
  if (answer) {
    Learn(host, answer.value());
  } else {
    // Even a try whose connection was not made counts: bytes that were held
    // up on their way may arrive later.
    pending->maybe_seen = true;
    if (before == host)
      LogEvent(EventId::kLeaderUnreachable,
               {{"host", host}, {"error", answer.error().Text()}});
  }
  // Another host may know the leader at once; a known one is asked at once.
  const Millis pause =
      leader_.empty() || leader_ == host ? options_.retry_pause : Millis(0);
  pending->timer = loop_.After(pause, [this, pending](TimePoint) {
    // The timer holds `pending`, which holds the timer.
    pending->timer.reset();
    Try(pending);
  });
}

void RelayClient::Learn(const std::string& host, const Json& answer) {
  if (!answer.isObject())
    return;
  const Json& hosts = answer["hosts"];
  for (const Json& item : hosts) {
    if (item.isString() && std::find(hosts_.begin(), hosts_.end(),
                                     item.asString()) == hosts_.end()) {
      hosts_.push_back(item.asString());
    }
  }
  const std::string leader =
      answer["leader"].isString() ? answer["leader"].asString() : "";
  if (!leader.empty() && leader != host)
    leader_ = leader;
}

void RelayClient::Refresh() {
  const std::string host =
      hosts_.empty() ? "" : hosts_[next_++ % hosts_.size()];
  if (host.empty())
    return;
  rpc_.Call(host + ":" + options_.port, "relay.view", Json(::Json::objectValue),
            kViewTimeout, [this, host](const Result<Json>& answer) {
              if (!answer || !answer.value().isObject())
                return;
              if (answer.value()["leads"].asBool()) {
                heard_ = loop_.now();
                leader_ = host;
              }
              if (leader_.empty())
                Learn(host, answer.value());
            });
}

RelayServer::RelayServer(RpcServer* server, Hooks hooks)
    : hooks_(std::move(hooks)) {
  server->Bind("relay.request",
               [this](const Json& body, const RpcReply& reply) {
                 OnRequest(body, reply);
               });
  server->Bind("relay.view",
               [this](const Json&, const RpcReply& reply) { reply(View()); });
}

Json RelayServer::View() const {
  Json view;
  view["leads"] = hooks_.leads();
  view["leader"] = hooks_.leader_host();
  view["hosts"] = Json(::Json::arrayValue);
  for (const std::string& host : hooks_.hosts())
    view["hosts"].append(host);
  return view;
}

void RelayServer::OnRequest(const Json& body, const RpcReply& reply) {
  if (!hooks_.leads()) {
    reply(View());
    return;
  }
  Result<RelayedRequest> request = RelayedRequestFromJson(body);
  if (!request) {
    LogEvent(EventId::kMalformedMessage, {{"error", request.error().Text()}});
    reply(outcome::failure(request.error()));
    return;
  }
  hooks_.serve(request.value(), [this, reply](const HttpResponse& response) {
    // Nothing was stored: the caller's host asks the next leader.
    if (response.status == 503 && !hooks_.leads())
      reply(View());
    else
      reply(ToJson(response));
  });
}

}  // namespace boragewinch::scheduler
