#include "scheduler/relay.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

#include "base/event_log.h"
#include "base/wire.h"

namespace boragewinch::scheduler {

/// Response of a scheduler host to a relayed request.
struct RelayResult {
  std::optional<HttpResponse> response;  ///< set if the host is the leader
  Json view;  ///< otherwise: members and leader as known to the host
};

namespace {

constexpr Millis kViewTimeout{800};
constexpr std::size_t kMaxBodyBytes = 8UL * 1024 * 1024;
constexpr std::size_t kMaxHeaderBytes = 16UL * 1024;
constexpr std::size_t kMaxHeaders = 1'000;
constexpr char kRequestMethod[] = "relay.request";
/// Headers between the client and the server of the relay, which pass neither
/// to callers nor from them: the index of the ledger from which a response
/// comes, and the one that a follower needs to respond.
constexpr char kLedgerIndexHeader[] = "x-boragewinch-ledger-index";
constexpr char kMinLedgerIndexHeader[] = "x-boragewinch-min-ledger-index";

[[nodiscard]] std::uint64_t IndexIn(
    const std::map<std::string, std::string>& headers,
    const char* name) {
  std::uint64_t index = 0;
  if (const auto found = headers.find(name); found != headers.end()) {
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), index);
  }
  return index;
}

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

using TextMap = std::map<std::string, std::string>;

void WriteMap(const TextMap& map, WireWriter* out) {
  out->Number(map.size());
  for (const auto& [name, value] : map) {
    out->Text(name);
    out->Text(value);
  }
}

void ReadMap(WireReader* in, TextMap* map) {
  for (std::size_t left = in->Count(kMaxHeaders); left > 0 && !in->failed();
       --left) {
    std::string name(in->Text(kMaxHeaderBytes));
    (*map)[std::move(name)] = in->Text(kMaxHeaderBytes);
  }
}

[[nodiscard]] std::string EncodeResult(const HttpResponse& response) {
  WireWriter out;
  out.Flag(true);
  out.Number(static_cast<std::uint64_t>(response.status));
  out.Text(response.body);
  out.Text(response.content_type);
  WriteMap(response.headers, &out);
  return out.Take();
}

[[nodiscard]] std::string EncodeResult(const Json& view) {
  WireWriter out;
  out.Flag(false);
  out.Text(WriteJson(view));
  return out.Take();
}

[[nodiscard]] Result<RelayResult> DecodeResult(std::string_view bytes) {
  constexpr std::uint64_t kLastStatus = 599;
  WireReader in(bytes);
  RelayResult result;
  if (!in.Flag()) {
    BW_TRY(result.view, ParseTrustedJson(in.Text(kMaxBodyBytes)));
    BW_CHECK(in.Finish());
    return result;
  }
  HttpResponse& response = result.response.emplace();
  response.status = static_cast<int>(in.Number(kLastStatus));
  response.body = in.Text(kMaxBodyBytes);
  response.content_type = in.Text(kMaxHeaderBytes);
  ReadMap(&in, &response.headers);
  BW_CHECK(in.Finish());
  return result;
}

[[nodiscard]] Result<RelayResult> ResultFromJson(const Json& json) {
  RelayResult result;
  if (!json.isObject() || !json.isMember("status")) {
    result.view = json;
    return result;
  }
  BW_TRY(result.response, ResponseFromJson(json));
  return result;
}

}  // namespace

std::string EncodeRequest(const RelayedRequest& request) {
  WireWriter out;
  out.Enum(request.surface);
  out.Text(request.http.method);
  out.Text(request.http.path);
  out.Text(request.http.body);
  WriteMap(request.http.headers, &out);
  WriteMap(request.http.query, &out);
  return out.Take();
}

Result<RelayedRequest> DecodeRequest(std::string_view bytes) {
  WireReader in(bytes);
  RelayedRequest request;
  request.surface = in.Enum(kSurfaces);
  request.http.method = in.Text(kMaxHeaderBytes);
  request.http.path = in.Text(kMaxHeaderBytes);
  request.http.body = in.Text(kMaxBodyBytes);
  ReadMap(&in, &request.http.headers);
  ReadMap(&in, &request.http.query);
  BW_CHECK(in.Finish());
  return request;
}

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
    return Fail(ErrorCode::kInvalidField,
                "unknown surface \"" + surface + "\"");
  request.surface = *parsed;
  BW_TRY(request.http.method, StringField(json, "method"));
  BW_TRY(request.http.path, StringField(json, "path", kMaxHeaderBytes));
  BW_TRY(request.http.body, StringField(json, "body", kMaxBodyBytes));
  MapFromJson(json["headers"], &request.http.headers);
  MapFromJson(json["query"], &request.http.query);
  return request;
}

namespace {

// A rejection means that the leader stored nothing for this attempt. An earlier
// attempt without a response may still be stored.
[[nodiscard]] bool IsRejectedChange(const RelayedRequest& request,
                                    const HttpResponse& response) {
  const std::string& method = request.http.method;
  if (method == "GET" || method == "HEAD")
    return false;
  constexpr int kRejectionStatuses[] = {401, 403, 404, 429, 503};
  return std::find(std::begin(kRejectionStatuses), std::end(kRejectionStatuses),
                   response.status) != std::end(kRejectionStatuses);
}

/// \returns the leader that a view of `host` names, unless it is `host` itself,
/// which has no lease yet or not any more; otherwise an empty string.
[[nodiscard]] std::string OtherLeader(const Json& view,
                                      const std::string& host) {
  if (!view.isObject() || !view["leader"].isString())
    return "";
  std::string leader = view["leader"].asString();
  return leader == host ? "" : leader;
}

[[nodiscard]] bool Leads(const Json& view) {
  return view.isObject() && view["leads"].isBool() && view["leads"].asBool();
}

}  // namespace

struct RelayClient::Pending {
  RelayedRequest request;
  TimePoint deadline;
  Respond done;
  bool maybe_received = false;  ///< an attempt ended without a response
  bool at_follower = false;     ///< the attempt in flight is at a follower
  TimePoint sent;               ///< the attempt in flight
  std::size_t attempts = 0;
  WatchHandle timer;
};

RelayClient::RelayClient(EventLoop& loop, RpcClient& rpc, Options options)
    : loop_(loop),
      rpc_(rpc),
      options_(std::move(options)),
      hosts_(options_.hosts) {}

std::string RelayClient::NextHost() {
  return leader_.empty() ? hosts_.Next() : leader_;
}

std::string RelayClient::NextFollower() {
  for (std::size_t left = hosts_.hosts().size(); left > 0; --left) {
    std::string host = hosts_.Next();
    const auto suspended = suspended_until_.find(host);
    if (host != leader_ && (suspended == suspended_until_.end() ||
                            loop_.now() >= suspended->second)) {
      return host;
    }
  }
  return "";
}

void RelayClient::Send(const RelayedRequest& request,
                       TimePoint deadline,
                       const Respond& done,
                       Responders responders) {
  auto pending = std::make_shared<Pending>();
  pending->request = request;
  pending->request.http.headers.erase(kMinLedgerIndexHeader);
  pending->deadline = deadline - options_.response_margin;
  pending->done = done;
  const TimePoint now = loop_.now();
  if (responders == Responders::kFollowers && ledger_index_ > 0 &&
      now - ledger_index_at_ <= options_.max_read_age &&
      pending->deadline - now > 2 * options_.follower_timeout) {
    if (const std::string host = NextFollower(); !host.empty()) {
      pending->at_follower = true;
      pending->request.http.headers[kMinLedgerIndexHeader] =
          std::to_string(ledger_index_);
      AttemptAt(host, options_.follower_timeout, pending);
      return;
    }
  }
  Attempt(pending);
}

void RelayClient::Attempt(const std::shared_ptr<Pending>& pending) {
  const TimePoint now = loop_.now();
  const TimePoint deadline = std::min(pending->deadline, no_attempts_from_);
  const std::string host = NextHost();
  const bool no_leader =
      now - last_leader_response_ > options_.leader_timeout &&
      pending->attempts >= hosts_.hosts().size();
  ++pending->attempts;
  if (now >= deadline || host.empty() || no_leader) {
    HttpResponse response;
    response.status = pending->maybe_received ? 504 : 503;
    response.body =
        R"({"error":"unavailable","detail":"no leader responded in time"})";
    response.headers["Retry-After"] = "1";
    LogEvent(EventId::kRelayFailed,
             {{"path", pending->request.http.path},
              {"leader", leader_},
              {"leader_age_ms",
               static_cast<long>((now - last_leader_response_).count())},
              {"status", response.status}});
    pending->done(std::move(response));
    return;
  }
  const Millis timeout =
      std::min(options_.attempt_timeout, pending->deadline - now);
  AttemptAt(host, std::max(timeout, Millis(1)), pending);
}

void RelayClient::AttemptAt(const std::string& host,
                            Millis timeout,
                            const std::shared_ptr<Pending>& pending) {
  const std::string address = host + ":" + options_.port;
  pending->sent = loop_.now();
  if (rpc_.SupportsBinary(address)) {
    rpc_.CallBinary(
        address, kRequestMethod, EncodeRequest(pending->request), timeout,
        [this, pending, host](const Result<std::string>& result) {
          if (result)
            OnResult(pending, host, DecodeResult(result.value()));
          else
            OnResult(pending, host, outcome::failure(result.error()));
        });
    return;
  }
  rpc_.Call(address, kRequestMethod, ToJson(pending->request), timeout,
            [this, pending, host](const Result<Json>& result) {
              if (result)
                OnResult(pending, host, ResultFromJson(result.value()));
              else
                OnResult(pending, host, outcome::failure(result.error()));
            });
}

// A read has no effect, so that the attempt counts as none.
void RelayClient::OnFollowerResult(const std::shared_ptr<Pending>& pending,
                                   const std::string& host,
                                   Result<RelayResult> result) {
  pending->at_follower = false;
  pending->request.http.headers.erase(kMinLedgerIndexHeader);
  if (result && result.value().response) {
    HttpResponse& response = *result.value().response;
    // Later reads must not be older than this one.
    ledger_index_ =
        std::max(ledger_index_, IndexIn(response.headers, kLedgerIndexHeader));
    response.headers.erase(kLedgerIndexHeader);
    suspended_until_.erase(host);
    pending->done(std::move(response));
    return;
  }
  if (result)
    UpdateMembers(result.value().view);
  else
    suspended_until_[host] = loop_.now() + options_.follower_rest;
  Attempt(pending);
}

void RelayClient::OnResult(const std::shared_ptr<Pending>& pending,
                           const std::string& host,
                           Result<RelayResult> result) {
  if (pending->at_follower) {
    OnFollowerResult(pending, host, std::move(result));
    return;
  }
  if (result && result.value().response) {
    HttpResponse& response = *result.value().response;
    last_leader_response_ = loop_.now();
    leader_ = host;
    // The leader read its index after the request was sent.
    if (const std::uint64_t index =
            IndexIn(response.headers, kLedgerIndexHeader);
        index > 0) {
      ledger_index_ = std::max(ledger_index_, index);
      ledger_index_at_ = std::max(ledger_index_at_, pending->sent);
    }
    response.headers.erase(kLedgerIndexHeader);
    if (pending->maybe_received &&
        IsRejectedChange(pending->request, response)) {
      LogEvent(EventId::kRelayFailed, {{"path", pending->request.http.path},
                                       {"leader", leader_},
                                       {"refusal", response.status},
                                       {"status", 504}});
      response.status = 504;
      response.body =
          R"({"error":"unknown","detail":"an earlier attempt got no response"})";
    }
    pending->done(std::move(response));
    return;
  }
  const std::string previous_leader = std::exchange(leader_, "");
  if (result) {
    const Json& view = result.value().view;
    UpdateMembers(view);
    leader_ = OtherLeader(view, host);
  } else {
    // Also set if the connection failed: bytes that were delayed in the network
    // may still arrive.
    pending->maybe_received = true;
    if (previous_leader == host)
      LogEvent(EventId::kLeaderUnreachable,
               {{"host", host}, {"error", result.error().Text()}});
  }
  // A host that is known to be the leader is contacted without delay.
  const Millis pause =
      leader_.empty() || leader_ == host ? options_.retry_delay : Millis(0);
  pending->timer = loop_.After(pause, [this, pending](TimePoint) {
    // Breaks the reference cycle: the timer holds `pending`, which owns the
    // timer.
    pending->timer.reset();
    Attempt(pending);
  });
}

void RelayClient::UpdateMembers(const Json& view) {
  if (!view.isObject())
    return;
  std::vector<std::string> members;
  for (const Json& item : view["hosts"]) {
    if (item.isString())
      members.push_back(item.asString());
  }
  hosts_.OnMembers(members, Leads(view) || !OtherLeader(view, "").empty());
}

void RelayClient::Refresh() {
  const std::string host = hosts_.Next();
  if (host.empty())
    return;
  rpc_.Call(host + ":" + options_.port, "relay.view", Json(::Json::objectValue),
            kViewTimeout, [this, host](const Result<Json>& result) {
              if (!result) {
                LogEvent(EventId::kCallFailed,
                         {{"call", "relay.view"},
                          {"host", host},
                          {"error", result.error().Text()}});
                return;
              }
              const Json& view = result.value();
              UpdateMembers(view);
              if (Leads(view)) {
                last_leader_response_ = loop_.now();
                leader_ = host;
              } else if (leader_.empty()) {
                leader_ = OtherLeader(view, host);
              }
            });
}

RelayServer::RelayServer(RpcServer* server, Hooks hooks)
    : hooks_(std::move(hooks)), queue_(RequestQueueOptions(), hooks_.queue) {
  server->Bind(kRequestMethod, [this](const Json& body, const RpcReply& reply) {
    if (!hooks_.leads()) {
      const auto response = ServeAtFollower(RelayedRequestFromJson(body));
      reply(response ? ToJson(*response) : View());
      return;
    }
    Serve(
        RelayedRequestFromJson(body),
        [reply](const HttpResponse& response) { reply(ToJson(response)); },
        [reply](const Result<Json>& view) { reply(view); });
  });
  server->BindBinary(
      kRequestMethod, [this](std::string_view body, const BinaryReply& reply) {
        if (!hooks_.leads()) {
          const auto response = ServeAtFollower(DecodeRequest(body));
          reply(response ? EncodeResult(*response) : EncodeResult(View()));
          return;
        }
        Serve(
            DecodeRequest(body),
            [reply](const HttpResponse& response) {
              reply(EncodeResult(response));
            },
            [reply](const Result<Json>& view) {
              if (view)
                reply(EncodeResult(view.value()));
              else
                reply(outcome::failure(view.error()));
            });
      });
  server->Bind("relay.view",
               [this](const Json&, const RpcReply& reply) { reply(View()); });
}

std::optional<HttpResponse> RelayServer::ServeAtFollower(
    const Result<RelayedRequest>& request) const {
  if (!request || !hooks_.serve_at_follower)
    return std::nullopt;
  const std::uint64_t min_index =
      IndexIn(request.value().http.headers, kMinLedgerIndexHeader);
  if (min_index == 0 || hooks_.ledger_index() < min_index)
    return std::nullopt;
  std::optional<HttpResponse> response =
      hooks_.serve_at_follower(request.value());
  if (response)
    AddLedgerIndex(&*response);
  return response;
}

void RelayServer::AddLedgerIndex(HttpResponse* response) const {
  if (hooks_.ledger_index) {
    response->headers[kLedgerIndexHeader] =
        std::to_string(hooks_.ledger_index());
  }
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

void RelayServer::Serve(
    Result<RelayedRequest> request,
    const Respond& respond,
    const std::function<void(const Result<Json>&)>& reply_view) {
  if (!request) {
    LogEvent(EventId::kMalformedMessage, {{"error", request.error().Text()}});
    reply_view(outcome::failure(request.error()));
    return;
  }
  auto serve = [this, respond, reply_view,
                decoded = std::move(request).value()] {
    // Nothing was stored, so the sending host retries at the next leader.
    if (!hooks_.leads()) {
      reply_view(View());
      return;
    }
    hooks_.serve(decoded, [this, respond, reply_view](HttpResponse response) {
      if (response.status == 503 && !hooks_.leads()) {
        reply_view(View());
        return;
      }
      AddLedgerIndex(&response);
      respond(std::move(response));
    });
  };
  const auto reject = [respond] {
    HttpResponse response;
    response.status = 503;
    response.body =
        R"({"error":"unavailable","detail":"request queue is full"})";
    response.headers["Retry-After"] = "1";
    respond(response);
  };
  queue_.Add({std::move(serve), reject});
}

}  // namespace boragewinch::scheduler
