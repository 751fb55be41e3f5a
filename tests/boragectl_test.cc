#define BOOST_TEST_MODULE boragectl
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "base/secret.h"
#include "ctl/boragectl.h"
#include "fleet/command.h"
#include "net/http_server.h"

namespace boragewinch {
namespace {

using Words = std::vector<std::string>;

// Fake control or entry host: responds by "METHOD path" and records requests.
struct FakeServer {
  explicit FakeServer(EventLoop& loop)
      : server(loop,
               {},
               [this](const HttpRequest& request, HttpResponder respond) {
                 requests.push_back(request);
                 if (ignored_requests > 0) {
                   --ignored_requests;
                   pending_responders.push_back(respond);
                   return;
                 }
                 const auto found =
                     responses.find(request.method + " " + request.path);
                 respond(found == responses.end()
                             ? HttpResponse{404, R"({"error":"not_found"})"}
                             : found->second);
               }) {
    BOOST_REQUIRE(server.Listen("127.0.0.1:0"));
  }

  [[nodiscard]] std::size_t CountOf(const std::string& path) const {
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(),
                      [&](const auto& r) { return r.path == path; }));
  }
  [[nodiscard]] Json BodyOf(const std::string& path) const {
    for (const auto& request : requests) {
      if (request.path == path)
        return ParseJson(request.body).value();
    }
    return {};
  }

  HttpServer server;
  std::map<std::string, HttpResponse> responses;
  std::vector<HttpRequest> requests;
  std::vector<HttpResponder> pending_responders;
  int ignored_requests = 0;  ///< number of next requests without a response
};

struct Fixture {
  EventLoop loop;
  FakeServer control{loop};
  FakeServer second{loop};
  FakeServer entry{loop};
  std::ostringstream out;
  std::ostringstream err;
  CtlConfig config;
  std::string sheet = "boragectl_test_sheet.csv";

  Fixture() {
    config.control = {control.server.address(), second.server.address()};
    config.entries = {{"a", entry.server.address()}};
    config.secret = "s";
    config.timeout = Millis(800);
    config.attempt_timeout = Millis(200);
    for (FakeServer* server : {&control, &second}) {
      server->responses["GET /v1/fleet"] = {200, R"({"version":7,
        "pools":[{"name":"p","min_available":3}],
        "hosts":[{"name":"h1","zone":"a","state":"active"},
                 {"name":"h2","zone":"b","state":"draining"}]})"};
      server->responses["GET /v1/in-force"] = {
          200, R"({"in_force":true,"missing":[]})"};
      server->responses["POST /v1/operations"] = {200, R"({"version":8})"};
    }
    std::ofstream(sheet) << "kind,name\n";
  }
  ~Fixture() { std::remove(sheet.c_str()); }

  int Run(const Words& arguments) {
    Boragectl client(loop, config, out, err);
    return client.Run(arguments);
  }
  [[nodiscard]] Json Output() const { return ParseJson(out.str()).value(); }
};

struct Case {
  const char* name;
  Words arguments;
  std::function<void(Fixture&)> arrange;
  int code;
  const char* out = "";
  const char* err = "";
};

void SetResponse(FakeServer& server,
                 const char* route,
                 int status,
                 const char* body) {
  server.responses[route] = {status, body};
}

const Case kCases[] = {
    {"no subcommand", {}, {}, kExitBadSettings, "", "a subcommand is required"},
    {"unknown",
     {"pool", "drop"},
     {},
     kExitBadSettings,
     "",
     "unknown subcommand"},
    {"operand missing",
     {"host", "move", "h1"},
     {},
     kExitBadSettings,
     "",
     "usage: boragectl host move HOST POOL"},
    {"operand escapes its path",
     {"key", "withdraw", "../k?x=1"},
     {},
     kExitBadSettings,
     "",
     "allowed are"},
    {"no control set",
     {"pool", "list"},
     [](Fixture& f) { f.config.control.clear(); },
     kExitBadSettings,
     "",
     "--control is not set"},
    {"no entries set",
     {"job", "list"},
     [](Fixture& f) { f.config.entries.clear(); },
     kExitBadSettings,
     "",
     "--entries"},
    {"sheet file missing",
     {"sheet", "check", "missing.csv"},
     {},
     kExitBadSettings,
     "",
     "missing.csv"},
    {"list", {"pool", "list"}, {}, kExitOk, "name  min_available\np     3\n"},
    {"list of one zone",
     {"host", "list"},
     [](Fixture& f) { f.config.zone = "b"; },
     kExitOk,
     "name  zone  state\nh2    b     draining\n"},
    {"drain in force",
     {"host", "drain", "h1"},
     {},
     kExitOk,
     "drain of h1 granted, version 8, in force"},
    {"drain refused",
     {"host", "drain", "h1"},
     [](Fixture& f) {
       SetResponse(f.control, "POST /v1/operations", 409,
                   R"({"error":"budget_exceeded","detail":"pool p keeps 3"})");
     },
     kExitRefused,
     "",
     "budget_exceeded: pool p keeps 3"},
    {"version conflict with another operation",
     {"host", "move", "h1", "p"},
     [](Fixture& f) {
       SetResponse(
           f.control, "POST /v1/operations", 409,
           R"({"error":"version_conflict","detail":"operation x won"})");
     },
     kExitRefused,
     "",
     "version_conflict: operation x won"},
    {"refused for several reasons",
     {"host", "drain", "h1"},
     [](Fixture& f) {
       SetResponse(f.control, "POST /v1/operations", 409,
                   R"({"error":"conflict","detail":"first","errors":[
                {"error":"conflict","detail":"first"},
                {"error":"needs_confirmation","detail":"pool p: w"}]})");
     },
     kExitRefused,
     "",
     "conflict: first\npool p: w\nTo go on, add --allow-lowering"},
    {"resend without its version",
     {"host", "drain", "h1"},
     [](Fixture& f) { f.config.operation_id = "op-1"; },
     kExitBadSettings,
     "",
     "--expected-version"},
    {"wrong secret",
     {"pool", "list"},
     [](Fixture& f) {
       SetResponse(f.control, "GET /v1/fleet", 401,
                   R"({"error":"unauthorized","detail":"no"})");
     },
     kExitRefused,
     "",
     "unauthorized"},
    {"error without a name is not retried",
     {"pool", "list"},
     [](Fixture& f) { SetResponse(f.control, "GET /v1/fleet", 403, "<html>"); },
     kExitRefused,
     "",
     "status 403"},
    {"not the leader, next control host responds",
     {"pool", "list"},
     [](Fixture& f) {
       SetResponse(f.control, "GET /v1/fleet", 503,
                   R"({"error":"not_leader"})");
     },
     kExitOk,
     "min_available"},
    {"no control host responds",
     {"pool", "list"},
     [](Fixture& f) {
       f.control.ignored_requests = f.second.ignored_requests = 100;
     },
     kExitUnavailable,
     "",
     "timeout"},
    {"change with unknown result",
     {"host", "return", "h1"},
     [](Fixture& f) {
       f.control.ignored_requests = f.second.ignored_requests = 100;
       f.config.operation_id = "op-1";
       f.config.expected_version = 7;
     },
     kExitUnavailable,
     "",
     "--operation-id=op-1 --expected-version=7"},
    {"response without version",
     {"host", "return", "h1"},
     [](Fixture& f) {
       SetResponse(f.control, "POST /v1/operations", 200, "{}");
     },
     kExitUnavailable,
     "",
     "version"},
    {"sheet errors",
     {"sheet", "check", "boragectl_test_sheet.csv"},
     [](Fixture& f) {
       SetResponse(f.control, "POST /v1/sheets", 422,
                   R"({"error":"invalid_sheet","detail":"1 error",
         "errors":[{"file":"s.csv","line":3,"column":9,"detail":"share must be 1 to 1000"}]})");
     },
     kExitRefused,
     "",
     "s.csv:3:9: share must be 1 to 1000"},
    {"sheet lowers a limit",
     {"sheet", "apply", "boragectl_test_sheet.csv"},
     [](Fixture& f) {
       SetResponse(f.control, "POST /v1/sheets", 409,
                   R"({"error":"needs_confirmation","detail":"limit of t"})");
     },
     kExitRefused,
     "",
     "--allow-lowering"},
    {"sheet that can't be applied yet",
     {"sheet", "diff", "boragectl_test_sheet.csv"},
     [](Fixture& f) {
       SetResponse(f.control, "POST /v1/sheets", 200,
                   R"({"version":9,
                "changes":[{"kind":"team","action":"changed","name":"t",
                            "fields":{"limit":{"old":"4","new":"3"}}},
                           {"kind":"pool","action":"added","name":"q",
                            "fields":{"spare":{"old":"","new":"yes"}}}],
                "warnings":[{"kind":"team","name":"t","text":"w"}],
                "conflicts":[{"code":"conflict","detail":"h1 is not drained"}]})");
     },
     kExitRefused,
     "warning: team t: w\nconflict: h1 is not drained\n"
     "changed team t: limit 4 -> 3\nadded pool q: spare yes\n"},
    {"sheet with its plan",
     {"sheet", "diff", "boragectl_test_sheet.csv"},
     [](Fixture& f) {
       SetResponse(f.control, "POST /v1/sheets", 200,
                   R"({"version":9,"changes":[],"plan":{
                "teams":[{"team":"t","share_before":3,"share_after":4,
                          "hosts_before":4.8,"hosts_after":5.33,
                          "limit_before":30,"limit_after":30,
                          "to_end":0,"buffer_before":1,"buffer_after":0.5}],
                "pools":[{"pool":"p","hosts_before":4,"hosts_after":3,
                          "moves_in":0,"moves_out":1},
                         {"pool":"q","hosts_before":4,"hosts_after":4,
                          "moves_in":0,"moves_out":0}],
                "moves":[{"host":"h1","from":"p","to":"s","step":1}],
                "blocked":[{"host":"h2","from":"p","to":"s"}],
                "buffer":{"spares_before":2,"spares_after":3,
                          "needed_before":2,"needed_after":2}}})");
     },
     kExitOk,
     "team  share        hosts when full    limit  tasks to end  "
     "buffer hosts\n"
     "t     3 -> 4 (+1)  4.8 -> 5.3 (+0.5)  30     0             "
     "1.00 -> 0.50 (-0.50)\n\n"
     "pool  hosts        moves in  moves out  buffer hosts\n"
     "p     4 -> 3 (-1)  0         1          0.00\n\n"
     "host moves: 1 in 2 steps, 1 not possible within the budgets\n"
     "  h2 from p to s\n"
     "buffer: spare hosts 2 -> 3 (+1), needed 2\n"},
    {"sheet applied",
     {"sheet", "apply", "boragectl_test_sheet.csv"},
     [](Fixture& f) {
       SetResponse(f.control, "POST /v1/sheets", 200,
                   R"({"version":9,
                "notes":["limit of t counts from now"]})");
     },
     kExitOk,
     "note: limit of t counts from now\napplied "
     "boragectl_test_sheet.csv, version 9, in force"},
    {"not in force",
     {"host", "return", "h1"},
     [](Fixture& f) {
       for (FakeServer* server : {&f.control, &f.second})
         SetResponse(
             *server, "GET /v1/in-force", 200,
             R"({"in_force":false,"missing":[{"entry":"e2","zone":"b","version":7}]})");
     },
     kExitFailed,
     "not in force",
     "not confirmed by e2 (zone b, version 7)"},
    {"progress lists missing entry hosts",
     {"host", "return", "h1"},
     [](Fixture& f) {
       f.config.timeout = Millis(1'500);
       SetResponse(
           f.control, "GET /v1/in-force", 200,
           R"({"in_force":false,"missing":[{"entry":"e2","zone":"b","version":7}]})");
     },
     kExitFailed,
     "",
     "version 8 waits for e2 (zone b, version 7) ... 1 s"},
    {"job at its owner",
     {"job", "show", "a.e.1.2"},
     [](Fixture& f) {
       f.config.entries.push_back({"b", f.second.server.address()});
       SetResponse(f.entry, "GET /v1/explain", 200,
                   R"({"id":"a.e.1.2","phase":"queued","replica":true})");
       SetResponse(f.second, "GET /v1/explain", 200,
                   R"({"id":"a.e.1.2","phase":"running","replica":false})");
     },
     kExitOk,
     "phase: running"},
    {"unknown job",
     {"explain", "job", "a.e.1.2"},
     {},
     kExitRefused,
     "",
     "not_found"},
    {"job that an unresponsive entry host may have",
     {"job", "show", "a.e.1.2"},
     [](Fixture& f) {
       f.config.entries.push_back({"b", f.second.server.address()});
       f.second.ignored_requests = 100;
     },
     kExitUnavailable,
     "",
     "timeout"},
    {"host that was never maintained",
     {"host", "list"},
     [](Fixture& f) {
       SetResponse(f.control, "GET /v1/fleet", 200,
                   R"({"hosts":[{"name":"h1","maintained_at":0},
                {"name":"h2","maintained_at":1796359029}]})");
     },
     kExitOk,
     "h1    never\nh2    2026-12-04 04:37 UTC\n"},
    {"explain of another kind",
     {"explain", "rack", "r1"},
     {},
     kExitBadSettings,
     "",
     "explain takes"},
    {"status with a violated invariant",
     {"status"},
     [](Fixture& f) {
       for (FakeServer* server : {&f.control, &f.second, &f.entry})
         SetResponse(
             *server, "GET /v1/status", 200,
             R"({"role":"leader","invariants":{"team_limit":{"checked":5,"violated":2}}})");
     },
     kExitFailed,
     "leader",
     "invariant team_limit violated 2 times"},
    {"status with one process down",
     {"status"},
     [](Fixture& f) {
       SetResponse(f.entry, "GET /v1/status", 200,
                   R"({"entry":"e1","zone":"a","queued":4})");
     },
     kExitFailed,
     "not_found"},
    {"metrics",
     {"metrics"},
     [](Fixture& f) {
       SetResponse(
           f.entry, "GET /v1/metrics", 200,
           R"({"counters":[],"gauges":[],"durations":[{"name":"wait","team":"t","class":"urgent","count":2,"median_ms":3,"p99_ms":4,"max_ms":4}]})");
     },
     kExitOk,
     "p99_ms"},
    {"terminal control characters",
     {"wave", "status"},
     [](Fixture& f) {
       SetResponse(f.control, "GET /v1/waves", 200,
                   "{\"pools\":[{\"pool\":\"p\\u001b[2J\"}]}");
     },
     kExitOk,
     "p [2J"},
};

// Guards against exit codes and messages that differ from the documented ones.
BOOST_AUTO_TEST_CASE(SubcommandsBehaveAsDocumented) {
  for (const Case& test : kCases) {
    BOOST_TEST_CONTEXT(test.name) {
      Fixture fixture;
      if (test.arrange)
        test.arrange(fixture);
      BOOST_TEST(fixture.Run(test.arguments) == test.code);
      BOOST_TEST(fixture.out.str().find(test.out) != std::string::npos,
                 "out: " << fixture.out.str());
      BOOST_TEST(fixture.err.str().find(test.err) != std::string::npos,
                 "err: " << fixture.err.str());
    }
  }
}

// Guards against a change that is made twice because its response was lost.
BOOST_FIXTURE_TEST_CASE(LostResponseIsResentWithTheSameOperationId, Fixture) {
  config.expected_version = 7;
  control.ignored_requests = 1;
  BOOST_TEST(Run({"host", "drain", "h1"}) == kExitOk);
  const Json first = control.BodyOf("/v1/operations");
  const Json resent = second.BodyOf("/v1/operations");
  BOOST_TEST(first["operation_id"].asString().size() == 32U);
  BOOST_TEST(WriteJson(first) == WriteJson(resent));
  BOOST_TEST(first["expected_version"].asUInt64() == 7U);
  BOOST_TEST(first["command"]["type"].asString() == "drain_host");
  BOOST_TEST(control.requests.front().headers.at("x-boragewinch-operator") ==
             "s");
}

// Guards against commands that the control group can't parse or that lack a
// field.
BOOST_AUTO_TEST_CASE(CommandsAreAcceptedByTheControlGroup) {
  const struct {
    Words arguments;
    const char* name;
  } cases[] = {
      {{"host", "drain", "h1"}, "drain_host"},
      {{"host", "move", "h1", "p"}, "move_host"},
      {{"host", "return", "h1"}, "return_host"},
      {{"key", "create", "t"}, "create_key"},
      {{"key", "withdraw", "k1"}, "withdraw_key"},
      {{"entry", "declare-lost", "e1"}, "declare_entry_lost"},
  };
  for (const auto& test : cases) {
    BOOST_TEST_CONTEXT(test.name) {
      Fixture fixture;
      fixture.config.entries.clear();
      BOOST_TEST(fixture.Run(test.arguments) == kExitOk);
      const Json body = fixture.control.BodyOf("/v1/operations");
      Json flat = body["command"];
      flat["command"] = flat["type"];
      for (const char* member :
           {"operation_id", "operator", "expected_version"}) {
        if (body.isMember(member))
          flat[member] = body[member];
      }
      const auto command = CommandFromJson(flat);
      BOOST_REQUIRE(command);
      BOOST_TEST(CommandName(command.value().body) == test.name);
      BOOST_TEST(CheckOperatorCall(command.value()).has_value());
      if (const auto* withdrawal =
              std::get_if<WithdrawKey>(&command.value().body))
        BOOST_TEST(withdrawal->ids.size() == 1U);
    }
  }
}

// Guards against two changes with the same operation id: the second would get
// the result of the first without being made.
BOOST_FIXTURE_TEST_CASE(EachOperationHasAFreshId, Fixture) {
  BOOST_TEST(Run({"host", "drain", "h1"}) == kExitOk);
  const Json first = control.BodyOf("/v1/operations");
  control.requests.clear();
  BOOST_TEST(Run({"host", "drain", "h1"}) == kExitOk);
  BOOST_TEST(first["operation_id"] !=
             control.BodyOf("/v1/operations")["operation_id"]);
}

// Guards against sending the secret of a key to the control group.
BOOST_FIXTURE_TEST_CASE(KeyCreateSendsOnlyTheHash, Fixture) {
  config.json = true;
  BOOST_TEST(Run({"key", "create", "intake"}) == kExitOk);
  const std::string key = Output()["key"].asString();
  const auto dot = key.find('.');
  BOOST_REQUIRE(dot != std::string::npos);
  const std::string secret = key.substr(dot + 1);
  const Json command = control.BodyOf("/v1/operations")["command"];
  BOOST_TEST(command["id"].asString() == key.substr(0, dot));
  BOOST_TEST(SecretMatches(secret, command["secret_hash"].asString()));
  for (const HttpRequest& request : control.requests)
    BOOST_TEST(request.body.find(secret) == std::string::npos);
}

// Guards against a withdrawal that waits for the control group during a
// partition, and against reporting success while an entry host has not
// confirmed.
BOOST_FIXTURE_TEST_CASE(KeyWithdrawListsUnconfirmedHosts, Fixture) {
  const char* path = "/v1/keys/k1/withdraw";
  SetResponse(entry, "POST /v1/keys/k1/withdraw", 200, R"({"withdrawn":true})");
  config.json = true;
  config.entries.push_back({"b", second.server.address()});
  BOOST_TEST(Run({"key", "withdraw", "k1"}) == kExitFailed);
  BOOST_TEST(entry.CountOf(path) == 1U);
  BOOST_TEST(second.CountOf(path) == 2U);
  BOOST_TEST(WriteJson(Output()["not_confirmed"]).find("b 127.0.0.1") !=
             std::string::npos);

  out.str("");
  SetResponse(second, "POST /v1/keys/k1/withdraw", 200,
              R"({"withdrawn":true})");
  BOOST_TEST(Run({"key", "withdraw", "k1"}) == kExitOk);
  BOOST_TEST(Output()["confirmed"].size() == 3U);

  out.str("");
  control.responses.clear();
  config.control = {control.server.address()};
  control.ignored_requests = 100;
  BOOST_TEST(Run({"key", "withdraw", "k1"}) == kExitFailed);
  BOOST_TEST(WriteJson(Output()["not_confirmed"]) == R"(["control group"])");
}

// Guards against --json output that a script can't parse, in every case.
BOOST_AUTO_TEST_CASE(JsonOutputIsOneDocument) {
  for (const Case& test : kCases) {
    BOOST_TEST_CONTEXT(test.name) {
      Fixture fixture;
      if (test.arrange)
        test.arrange(fixture);
      fixture.config.json = true;
      BOOST_TEST(fixture.Run(test.arguments) == test.code);
      const auto json = ParseJson(fixture.out.str());
      BOOST_REQUIRE(json);
      BOOST_TEST(json.value().isObject());
      if (test.code == kExitRefused || test.code == kExitUnavailable)
        BOOST_TEST((json.value().isMember("error") ||
                    json.value().isMember("outcome") ||
                    json.value().isMember("conflicts")));
    }
  }
}

// Guards against a secret being accepted on the command line, where other users
// can read it, and against invalid settings that are found only at the first
// call.
BOOST_AUTO_TEST_CASE(SettingsAreChecked) {
  const struct {
    std::vector<const char*> flags;
    const char* secret;
    bool valid;
  } cases[] = {
      {{"boragectl", "--control=127.0.0.1:1", "--entries=a=127.0.0.1:2",
        "status"},
       "s",
       true},
      {{"boragectl", "status"}, "", false},
      {{"boragectl", "status"}, "a\nb", false},
      {{"boragectl", "--operator-secret=s", "status"}, "s", false},
      {{"boragectl", "--operator-secret-file=missing", "status"}, "s", false},
      {{"boragectl", "--operator=a b", "status"}, "s", false},
      {{"boragectl", "--control=localhost", "status"}, "s", false},
      {{"boragectl", "--timeout-ms=0", "status"}, "s", false},
  };
  for (const auto& test : cases) {
    std::vector<Error> errors;
    const Settings settings = CtlSettings().Parse(
        static_cast<int>(test.flags.size()), test.flags.data(), &errors);
    const auto config = ReadCtlConfig(settings, test.secret, "lena");
    BOOST_TEST_CONTEXT(test.flags[1]) {
      BOOST_TEST((errors.empty() && config.has_value()) == test.valid);
    }
    if (test.valid) {
      BOOST_TEST(config.value().operator_name == "lena");
      BOOST_TEST(config.value().entries.front().Text() == "a 127.0.0.1:2");
    }
  }
}

}  // namespace
}  // namespace boragewinch
