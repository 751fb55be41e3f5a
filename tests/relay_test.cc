#define BOOST_TEST_MODULE relay
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/rpc_client.h"
#include "net/rpc_server.h"
#include "scheduler/relay.h"

namespace boragewinch::scheduler {
namespace {

constexpr char kSecret[] = "secret";

/// A scheduler host with a relay server, and a client that knows only this
/// host.
struct Fixture {
  Fixture() {
    RelayServer::Hooks hooks;
    hooks.leads = [this] { return leads; };
    hooks.leader_host = [] { return std::string(); };
    hooks.hosts = [] { return std::vector<std::string>{"127.0.0.1"}; };
    hooks.serve = [this](const RelayedRequest& request,
                         const Respond& respond) {
      ++served;
      if (served <= unanswered) {
        held_responders.push_back(respond);
        return;
      }
      if (loses_leadership)
        leads = false;
      respond(response_to_send ? *response_to_send
                               : HttpResponse{200, request.http.body});
    };
    hooks.queue = {[this](std::function<void()> callback) {
                     loop.Post(std::move(callback));
                   },
                   [this] { return loop.now(); }};
    relay_server = std::make_unique<RelayServer>(&rpc_server, hooks);
    BOOST_REQUIRE(server.Listen("127.0.0.1:0"));
  }

  /// \returns the response to a request with body "hello".
  HttpResponse SendRequest(const std::string& method = "POST") {
    RelayClient::Options options;
    options.hosts = hosts;
    options.attempt_timeout = Millis(200);
    options.port = port.empty() ? server.address().substr(10) : port;
    RelayClient relay(loop, rpc, options);
    if (stops_retries)
      relay.StopRetriesAt(loop.now() + Millis(100));
    RelayedRequest request;
    request.http.method = method;
    request.http.path = "/q/1";
    request.http.body = "hello";
    std::optional<HttpResponse> got;
    relay.Send(request, loop.now() + Millis(60'000),
               [&](HttpResponse response) {
                 got = std::move(response);
                 loop.Stop();
               });
    loop.Run();
    return *got;
  }

  EventLoop loop;
  HttpClient client{loop, HttpClientLimits{}};
  RpcClient rpc{client, kSecret};
  RpcServer rpc_server{kSecret};
  HttpServer server{
      loop, HttpServerLimits{},
      [this](const HttpRequest& request, const HttpResponder& respond) {
        rpc_server.Serve(request, respond);
      }};
  std::unique_ptr<RelayServer> relay_server;
  bool leads = true;
  bool stops_retries = false;  ///< the client stops retries after 100 ms
  bool loses_leadership = false;
  std::vector<std::string> hosts = {"127.0.0.1"};  ///< that the client contacts
  int served = 0;
  int unanswered = 0;  ///< first requests that get no response
  std::vector<Respond> held_responders;
  std::string port;  ///< empty: the port of the server
  std::optional<HttpResponse> response_to_send;
};

// Guards against a forwarded response that loses its status, body or headers.
BOOST_FIXTURE_TEST_CASE(TheLeadersResponseIsPassedOn, Fixture) {
  response_to_send =
      HttpResponse{429, "later", "application/json", {{"Retry-After", "7"}}};
  const HttpResponse response = SendRequest();
  BOOST_TEST(response.status == 429);
  BOOST_TEST(response.body == "later");
  BOOST_TEST(response.headers.at("Retry-After") == "7");
}

// Guards against requests or responses that are altered by the binary encoding,
// which is used from the second request on.
BOOST_FIXTURE_TEST_CASE(BinaryResponsesArePassedOn, Fixture) {
  const std::string address = "127.0.0.1" + server.address().substr(9);
  BOOST_TEST(!rpc.SupportsBinary(address));
  BOOST_TEST(SendRequest().body == "hello");
  BOOST_TEST(rpc.SupportsBinary(address));
  BOOST_TEST(SendRequest().body == "hello");
  response_to_send =
      HttpResponse{429, "later", "application/json", {{"Retry-After", "7"}}};
  const HttpResponse response = SendRequest();
  BOOST_TEST(response.status == 429);
  BOOST_TEST(response.body == "later");
  BOOST_TEST(response.headers.at("Retry-After") == "7");
  BOOST_TEST(served == 3);
  leads = false;
  BOOST_TEST(SendRequest().status == 503);
  BOOST_TEST(served == 3);
}

// Guards against malformed bytes that are decoded as a request.
BOOST_AUTO_TEST_CASE(AMalformedRequestIsRejected) {
  RelayedRequest request;
  request.http.method = "POST";
  request.http.path = "/q/1";
  request.http.body = "hello";
  request.http.headers = {{"host", "h"}};
  request.http.query = {{"a", "b"}};
  const std::string bytes = EncodeRequest(request);
  const auto read = DecodeRequest(bytes);
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().http.body == "hello");
  BOOST_TEST(read.value().http.headers.at("host") == "h");
  BOOST_TEST(read.value().http.query.at("a") == "b");
  for (std::size_t size = 0; size < bytes.size(); ++size)
    BOOST_TEST(!DecodeRequest(bytes.substr(0, size)));
  BOOST_TEST(!DecodeRequest(bytes + "x"));
}

// Guards against a view with fields of another type that ends the process:
// jsoncpp reports a wrong type by an exception.
BOOST_AUTO_TEST_CASE(AMalformedViewIsIgnored) {
  for (const char* text :
       {R"({"leads":"yes","leader":7,"hosts":"x"})",
        R"({"leads":{},"leader":[],"hosts":{"a":1}})",
        R"({"leads":null,"leader":null,"hosts":[1,null,{},["127.0.0.1"]]})",
        R"([])", R"("x")", R"({})"}) {
    const Result<Json> view = ParseJson(text);
    BOOST_REQUIRE(view);
    EventLoop loop;
    HttpClient client{loop, HttpClientLimits{}};
    RpcClient rpc{client, kSecret};
    RpcServer rpc_server{kSecret};
    for (const char* method : {"relay.view", "relay.request"}) {
      rpc_server.Bind(method, [&](const Json&, const RpcReply& reply) {
        reply(view.value());
      });
    }
    HttpServer server{
        loop, HttpServerLimits{},
        [&](const HttpRequest& request, const HttpResponder& respond) {
          rpc_server.Serve(request, respond);
        }};
    BOOST_REQUIRE(server.Listen("127.0.0.1:0"));
    RelayClient::Options options;
    options.hosts = {"127.0.0.1"};
    options.port = server.address().substr(10);
    RelayClient relay(loop, rpc, options);
    relay.Refresh();
    std::optional<int> status;
    relay.Send({}, loop.now() + Millis(60'000), [&](HttpResponse response) {
      status = response.status;
      loop.Stop();
    });
    loop.Run();
    BOOST_TEST(*status == 503, text);
  }
}

// Guards against a replica that is cut off and hides the present members with
// those of its old configuration.
BOOST_FIXTURE_TEST_CASE(AViewWithoutALeaderOnlyAddsHosts, Fixture) {
  RelayClient::Options options;
  options.attempt_timeout = Millis(200);
  options.port = server.address().substr(10);
  RelayClient relay(loop, rpc, options);
  relay.SetView({"127.0.0.1"}, "127.0.0.1");
  // Nothing listens there.
  relay.SetView({"127.0.0.3"}, "");
  std::optional<int> status;
  relay.Send({}, loop.now() + Millis(60'000), [&](HttpResponse response) {
    status = response.status;
    loop.Stop();
  });
  loop.Run();
  BOOST_TEST(*status == 200);
}

// Guards against a caller that waits although no host is the leader. Nothing
// was stored, so 503 (not executed) is correct.
BOOST_FIXTURE_TEST_CASE(WithoutALeaderTheRequestIsRejected, Fixture) {
  leads = false;
  BOOST_TEST(SendRequest().status == 503);
  BOOST_TEST(served == 0);
}

// Guards against 503 (not executed) for a request whose bytes a partition
// delays and that a leader accepts seconds later.
BOOST_FIXTURE_TEST_CASE(AFailedAttemptLeavesTheOutcomeUnknown, Fixture) {
  port = "1";  // no server listens on it
  BOOST_TEST(SendRequest().status == 504);
}

// Guards against passing on the rejection of a host that has just lost its
// leadership; the request goes to the next leader.
BOOST_FIXTURE_TEST_CASE(ARejectionOfAFormerLeaderIsNotPassedOn, Fixture) {
  response_to_send = HttpResponse{503, "not ready"};
  loses_leadership = true;
  BOOST_TEST(SendRequest().body != "not ready");
  BOOST_TEST(served == 1);
}

// Guards against 503 (not executed) for a job that runs: an overloaded leader
// stores the first attempt after its timeout and rejects the second one.
BOOST_FIXTURE_TEST_CASE(
    ARejectionAfterAnUnansweredAttemptLeavesTheOutcomeUnknown,
    Fixture) {
  hosts = {"127.0.0.1", "127.0.0.1"};
  for (const int status : {401, 404, 429, 503}) {
    served = 0;
    unanswered = 1;
    response_to_send = HttpResponse{status, "refused"};
    BOOST_TEST(SendRequest().status == 504);
    BOOST_TEST(served == 2);
  }
  // A successful response or a response to a read is definite.
  served = 0;
  response_to_send = HttpResponse{200, "stored"};
  BOOST_TEST(SendRequest().status == 200);
  served = 0;
  response_to_send = HttpResponse{404, "no such queue"};
  BOOST_TEST(SendRequest("GET").status == 404);
}

// Guards against a stopping host that closes requests without a response: an
// attempt may still reach a leader while the caller's next attempt is rejected.
BOOST_FIXTURE_TEST_CASE(AStoppingHostRespondsToOpenRequests, Fixture) {
  stops_retries = true;
  unanswered = 1'000;
  BOOST_TEST(SendRequest().status == 504);
  BOOST_TEST(served == 1);
  // No contacted host could have stored it.
  leads = false;
  BOOST_TEST(SendRequest().status == 503);
}

/// A leader and a follower at one port of two addresses, and a client that has
/// had a response of the leader.
struct LeaderAndFollower : Fixture {
  LeaderAndFollower() {
    RelayServer::Hooks at_leader;
    at_leader.leads = [] { return true; };
    at_leader.leader_host = [] { return std::string("127.0.0.1"); };
    at_leader.hosts = [] {
      return std::vector<std::string>{"127.0.0.1", "127.0.0.2"};
    };
    at_leader.serve = [](const RelayedRequest&, const Respond& respond) {
      respond({200, "leader"});
    };
    at_leader.ledger_index = [this] { return leader_index; };
    at_leader.queue = {[this](std::function<void()> callback) {
                         loop.Post(std::move(callback));
                       },
                       [this] { return loop.now(); }};
    RelayServer::Hooks at_follower = at_leader;
    at_follower.leads = [] { return false; };
    at_follower.ledger_index = [this] { return follower_index; };
    at_follower.serve_at_follower =
        [](const RelayedRequest&) -> std::optional<HttpResponse> {
      return HttpResponse{200, "follower"};
    };
    leader.emplace(&leader_rpc, at_leader);
    follower.emplace(&follower_rpc, at_follower);
    BOOST_REQUIRE(leader_server.Listen("127.0.0.1:0"));
    const std::string port_of_both = leader_server.address().substr(10);
    BOOST_REQUIRE(follower_server.Listen("127.0.0.2:" + port_of_both));
    RelayClient::Options options;
    options.hosts = {"127.0.0.1", "127.0.0.2"};
    options.port = port_of_both;
    options.max_read_age = Millis(300);
    relay.emplace(loop, rpc, options);
    BOOST_TEST(Read(Responders::kLeader) == "leader");
  }

  /// \returns who responded.
  std::string Read(Responders responders) {
    RelayedRequest request;
    request.http.method = "GET";
    // A caller must not be able to lower the index.
    request.http.headers["x-boragewinch-min-ledger-index"] = "1";
    std::string body;
    relay->Send(
        request, loop.now() + Millis(60'000),
        [&](const HttpResponse& response) {
          body = response.body;
          BOOST_TEST(response.headers.empty());
          loop.Stop();
        },
        responders);
    loop.Run();
    return body;
  }

  std::uint64_t leader_index = 10;
  std::uint64_t follower_index = 10;
  RpcServer leader_rpc{kSecret};
  RpcServer follower_rpc{kSecret};
  HttpServer leader_server{
      loop, HttpServerLimits{},
      [this](const HttpRequest& request, const HttpResponder& respond) {
        leader_rpc.Serve(request, respond);
      }};
  HttpServer follower_server{
      loop, HttpServerLimits{},
      [this](const HttpRequest& request, const HttpResponder& respond) {
        follower_rpc.Serve(request, respond);
      }};
  std::optional<RelayServer> leader;
  std::optional<RelayServer> follower;
  std::optional<RelayClient> relay;
};

// Guards against a leader that is loaded with reads that others can answer, and
// against changes that reach a follower.
BOOST_FIXTURE_TEST_CASE(AFollowerRespondsToReads, LeaderAndFollower) {
  BOOST_TEST(Read(Responders::kFollowers) == "follower");
  BOOST_TEST(Read(Responders::kLeader) == "leader");
}

// Guards against a read that is older than an earlier response to the client:
// a caller would see a finished job as running, or a removed key as valid.
BOOST_FIXTURE_TEST_CASE(ReadsDoNotGoBack, LeaderAndFollower) {
  leader_index = 12;
  BOOST_TEST(Read(Responders::kLeader) == "leader");
  BOOST_TEST(Read(Responders::kFollowers) == "leader");
  follower_index = 12;
  BOOST_TEST(Read(Responders::kFollowers) == "follower");
  follower_index = 14;
  BOOST_TEST(Read(Responders::kFollowers) == "follower");
  // Another follower, that lags behind this one.
  follower_index = 13;
  BOOST_TEST(Read(Responders::kFollowers) == "leader");
}

// Guards against a read at a follower that is cut off from the leader: the
// client must have heard from the leader lately.
BOOST_FIXTURE_TEST_CASE(OldReadsComeFromTheLeader, LeaderAndFollower) {
  WatchHandle stop =
      loop.After(Millis(400), [this](TimePoint) { loop.Stop(); });
  loop.Run();
  BOOST_TEST(Read(Responders::kFollowers) == "leader");
  BOOST_TEST(Read(Responders::kFollowers) == "follower");
}

}  // namespace
}  // namespace boragewinch::scheduler
