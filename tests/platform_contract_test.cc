#define BOOST_TEST_MODULE platform_contract
#include <boost/test/unit_test.hpp>

#include <boost/test/data/test_case.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/event_log.h"
#include "base/invariant.h"
#include "base/json.h"
#include "control/leader_controller.h"
#include "fakes/fake_platform.h"
#include "fleet/sheet_parser.h"
#include "net/http_server.h"

namespace boragewinch {
namespace {

struct QuietLog {
  QuietLog() {
    ConfigureEventLog("platform_contract_test", EventLevel::kError);
  }
};
BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

constexpr Millis kCallTimeout{100};
// Shorter than the retry delay, so a repeated request would find the host up
// again.
constexpr Millis kRebootTime{500};
constexpr Millis kStep{100};
constexpr std::size_t kMinAvailable = 2;
constexpr const char* kHosts[] = {"h1", "h2", "h3", "h4"};
constexpr char kSheet[] =
    "kind,name,pool,team,zone,rack,share,limit,min_available,spare,"
    "maintenance_days,open\n"
    "pool,p,,,,,,,2,no,,\n"
    "pool,s,,,,,,,0,yes,,\n"
    "team,t,,,,,2,10,,,,\n"
    "queue,q,p,t,,,,,,,,yes\n"
    "host,h1,p,,za,r1,,,,,,\n"
    "host,h2,p,,za,r1,,,,,,\n"
    "host,h3,p,,za,r2,,,,,,\n"
    "host,h4,p,,za,r2,,,,,,\n";

/// Faults of the platform's responses. With kNoResponse and kAltered, a reboot
/// request takes effect nevertheless.
enum class Fault {
  kRefused,
  kNoResponse,
  kTruncated,  ///< connection closed within the response
  kAltered,    ///< response altered by FaultCase::alter
};

struct FaultCase {
  const char* name;
  Fault fault;
  ErrorCode expected;
  HttpResponse (*alter)(const HttpResponse&) = nullptr;
};

std::ostream& operator<<(std::ostream& out, const FaultCase& row) {
  return out << row.name;
}

[[nodiscard]] HttpResponse With(const HttpResponse& valid,
                                const char* member,
                                const Json& value) {
  Json json = ParseJson(valid.body).value();
  json[member] = value;
  return {200, WriteJson(json)};
}

[[nodiscard]] HttpResponse Without(const HttpResponse& valid,
                                   const char* member) {
  Json json = ParseJson(valid.body).value();
  json.removeMember(member);
  return {200, WriteJson(json)};
}

constexpr FaultCase kFaults[] = {
    {"refused connection", Fault::kRefused, ErrorCode::kTransport},
    {"time-out", Fault::kNoResponse, ErrorCode::kTimeout},
    {"truncated response", Fault::kTruncated, ErrorCode::kProtocol},
    {"status 500 with a plausible body", Fault::kAltered,
     ErrorCode::kUnavailable,
     [](const HttpResponse& valid) {
       return HttpResponse{500, valid.body};
     }},
    {"status 404", Fault::kAltered, ErrorCode::kNotFound,
     [](const HttpResponse&) {
       return HttpResponse{404, "{}"};
     }},
    {"status 302", Fault::kAltered, ErrorCode::kProtocol,
     [](const HttpResponse& valid) {
       return HttpResponse{302, valid.body};
     }},
    {"malformed JSON", Fault::kAltered, ErrorCode::kInvalidJson,
     [](const HttpResponse& valid) {
       return HttpResponse{200, valid.body.substr(0, valid.body.size() / 2)};
     }},
    {"empty body", Fault::kAltered, ErrorCode::kInvalidJson,
     [](const HttpResponse&) {
       return HttpResponse{200, ""};
     }},
    {"not an object", Fault::kAltered, ErrorCode::kInvalidField,
     [](const HttpResponse& valid) {
       return HttpResponse{200, "[" + valid.body + "]"};
     }},
    {"boots of a wrong type", Fault::kAltered, ErrorCode::kInvalidField,
     [](const HttpResponse& valid) { return With(valid, "boots", "7"); }},
    {"negative boots", Fault::kAltered, ErrorCode::kInvalidField,
     [](const HttpResponse& valid) { return With(valid, "boots", -1); }},
    {"up of a wrong type", Fault::kAltered, ErrorCode::kInvalidField,
     [](const HttpResponse& valid) { return With(valid, "up", 1); }},
    {"no host", Fault::kAltered, ErrorCode::kMissingField,
     [](const HttpResponse& valid) { return Without(valid, "host"); }},
    {"no boots", Fault::kAltered, ErrorCode::kMissingField,
     [](const HttpResponse& valid) { return Without(valid, "boots"); }},
    {"no up", Fault::kAltered, ErrorCode::kMissingField,
     [](const HttpResponse& valid) { return Without(valid, "up"); }},
    {"oversized body", Fault::kAltered, ErrorCode::kTooLarge,
     [](const HttpResponse& valid) {
       return With(valid, "notes", std::string(kMaxPlatformResponseBytes, 'x'));
     }},
    {"response for another host", Fault::kAltered, ErrorCode::kConflict,
     [](const HttpResponse& valid) {
       return With(With(valid, "host", "h9"), "boots", 9);
     }},
};

/// Closes each connection after sending a part of the response, which
/// HttpServer can't do.
class TruncatingServer {
 public:
  TruncatingServer(EventLoop& loop, const std::string& address)
      : loop_(loop), socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(static_cast<std::uint16_t>(
        std::stoi(address.substr(address.find(':') + 1))));
    BOOST_REQUIRE(
        bind(socket_, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0);
    BOOST_REQUIRE(listen(socket_, 16) == 0);
    accept_ = loop_.OnReady(socket_, {true, false}, [this](Readiness) {
      const int peer = accept(socket_, nullptr, nullptr);
      if (peer >= 0) {
        peers_[peer] =
            loop_.OnReady(peer, {true, false},
                          [this, peer](Readiness) { SendTruncated(peer); });
      }
    });
  }
  TruncatingServer(const TruncatingServer&) = delete;
  TruncatingServer& operator=(const TruncatingServer&) = delete;
  ~TruncatingServer() {
    for (const auto& [peer, watch] : peers_)
      close(peer);
    close(socket_);
  }

 private:
  void SendTruncated(int peer) {
    char request[4'096];
    static_cast<void>(recv(peer, request, sizeof(request), 0));
    const std::string half =
        "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"host\":\"h1\",";
    static_cast<void>(send(peer, half.data(), half.size(), MSG_NOSIGNAL));
    // A callback must not destroy its own watch.
    loop_.Post([this, peer] {
      if (peers_.erase(peer) > 0)
        close(peer);
    });
  }

  EventLoop& loop_;
  int socket_;
  WatchHandle accept_;
  std::map<int, WatchHandle> peers_;
};

/// The fake platform behind a server that injects faults. Time is virtual
/// except for the time-outs of calls.
struct Platform {
  explicit Platform(const FaultCase* fault = nullptr) : fault_case(fault) {
    Listen();
  }

  void Listen() {
    truncating_server.reset();
    server = std::make_unique<HttpServer>(
        loop, HttpServerLimits{},
        [this](const HttpRequest& request, const HttpResponder& respond) {
          Serve(request, respond);
        });
    BOOST_REQUIRE(server->Listen(address));
    address = server->address();
    if (fault_case == nullptr)
      return;
    if (fault_case->fault == Fault::kRefused ||
        fault_case->fault == Fault::kTruncated)
      server.reset();
    if (fault_case->fault == Fault::kTruncated)
      truncating_server = std::make_unique<TruncatingServer>(loop, address);
  }
  void Heal() {
    if (std::exchange(fault_case, nullptr) != nullptr && !server)
      Listen();
  }

  void Serve(const HttpRequest& request, const HttpResponder& respond) {
    if (hold_orders && request.method == "POST") {
      held.emplace_back(request, respond);
      return;
    }
    const HttpResponse valid = fake.HandleRequest(request, now);
    if (fault_case == nullptr)
      respond(valid);
    else if (fault_case->fault == Fault::kNoResponse)
      held.emplace_back(request, respond);
    else
      respond(fault_case->alter(valid));
  }

  // Runs the loop until no call is open. With `wait` false it doesn't wait for
  // held calls.
  void Settle(bool wait = true) {
    for (int idle_rounds = 0, rounds = 0;
         idle_rounds < 2 && (wait || rounds < 20); ++rounds) {
      const WatchHandle end =
          loop.After(Millis(1), [this](TimePoint) { loop.Stop(); });
      loop.Run();
      idle_rounds = client.open_calls() == 0 ? idle_rounds + 1 : 0;
    }
  }

  EventLoop loop;
  HttpClient client{loop, {}};
  TimePoint now = FromMillis(1'000'000);
  FakePlatform fake{kRebootTime};
  std::string address = "127.0.0.1:0";
  const FaultCase* fault_case;
  bool hold_orders = false;
  std::vector<std::pair<HttpRequest, HttpResponder>> held;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<TruncatingServer> truncating_server;
};

// Guards against treating a faulty response as valid, and against reporting a
// fault with the wrong error code.
BOOST_DATA_TEST_CASE(ClientReportsEachFaultByType, kFaults, row) {
  for (const bool order : {true, false}) {
    Platform platform(&row);
    PlatformClient client(platform.client, platform.address, kCallTimeout);
    std::vector<Result<PlatformHost>> results;
    const auto done = [&](Result<PlatformHost> result) {
      results.push_back(std::move(result));
    };
    if (order)
      client.Reboot(HostName("h1"), 0, done);
    else
      client.Query(HostName("h1"), done);
    platform.Settle();
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_REQUIRE(!results[0]);
    BOOST_TEST(kErrorCodes.Name(results[0].error().code) ==
               kErrorCodes.Name(row.expected));
  }
}

// Guards against a repeated or delayed request causing a second reboot.
BOOST_AUTO_TEST_CASE(OrderForAnOlderBootCountHasNoEffect) {
  Platform platform;
  PlatformClient client(platform.client, platform.address, kCallTimeout);
  for (const std::int64_t boots : {1, 1}) {
    std::optional<PlatformHost> found;
    client.Reboot(HostName("h1"), 0, [&](const Result<PlatformHost>& result) {
      if (result)
        found = result.value();
    });
    platform.Settle();
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->boots == boots);
    platform.now += kRebootTime;
  }
}

/// A pool of four hosts in a wave, with one or two leaders.
struct Wave : Platform {
  explicit Wave(const FaultCase* fault = nullptr) : Platform(fault) {
    SetInvariantHandler([](Invariant invariant, std::string_view detail) {
      BOOST_ERROR(kInvariants.Name(invariant) << ": " << detail);
    });
    std::vector<Error> errors;
    Command sheet;
    sheet.call = {OperationId("op-1"), "ivan", 0};
    sheet.body = ApplySheet{ParseSheet(kSheet, "a.csv", &errors), false, {}};
    BOOST_REQUIRE(errors.empty());
    BOOST_REQUIRE(Apply(sheet).accepted);
    leader = MakeLeader();
  }

  CommandResult Apply(const Command& command) {
    return state.Apply(++index, EncodeCommand(command));
  }
  [[nodiscard]] std::unique_ptr<LeaderController> MakeLeader() {
    auto controller = std::make_unique<LeaderController>(
        loop, interface, state, reports, WaveConfig{}, BufferMoveConfig{},
        [this](const Command& command, const Proposals::Reply& reply) {
          reply(Apply(command));
        });
    controller->OnLeadership(now);
    return controller;
  }

  // Reports that all workers have acknowledged their assignments and drains and
  // that those of rebooting hosts are lost.
  void Report() {
    SyncReport report;
    report.entry = EntryName("e1");
    report.zone = ZoneName("za");
    report.incarnation = Incarnation("i1");
    report.workers_sequence = ++sequence;
    for (const auto& [name, host] : state.view().hosts) {
      WorkerStatus worker{.host = name, .zone = host.zone, .rack = host.rack};
      worker.incarnation =
          Incarnation("w" + std::to_string(fake.boots(name.str())));
      worker.lost = !fake.up(name.str(), now);
      worker.idle = true;
      worker.acknowledged_drain = host.state != HostState::kActive &&
                                  host.state != HostState::kReturning;
      worker.acknowledged_assignment = host.assignment;
      report.workers.push_back(worker);
    }
    static_cast<void>(reports.Record(report, now));
  }

  // Steps until `done` or for `time`; `wait` is that of Settle.
  template <typename Done>
  bool Run(Millis time, const Done& done, bool wait = true) {
    for (const TimePoint end = now + time; now < end; now += kStep) {
      Report();
      leader->Tick(now);
      Settle(wait);
      CheckHosts();
      if (done())
        return true;
    }
    return done();
  }

  // Checks that each host is either in service or has a drain record, that none
  // is rebooted twice, and that enough hosts are active.
  void CheckHosts() {
    std::size_t active = 0;
    for (const auto& [name, host] : state.view().hosts) {
      active += host.state == HostState::kActive ? 1 : 0;
      const bool in_service = host.state == HostState::kActive ||
                              host.state == HostState::kReturning;
      BOOST_TEST(in_service != state.drains().contains(name),
                 name.str() << " is " << kHostStates.Name(host.state));
      BOOST_TEST(fake.boots(name.str()) <= 1, name.str()
                                                  << " was rebooted twice");
    }
    BOOST_TEST(active >= kMinAvailable);
  }

  [[nodiscard]] std::size_t CountIn(HostState wanted) const {
    std::size_t count = 0;
    for (const auto& [name, host] : state.view().hosts)
      count += host.state == wanted ? 1 : 0;
    return count;
  }
  [[nodiscard]] bool AllDone() const {
    for (const char* host : kHosts) {
      if (fake.boots(host) != 1)
        return false;
    }
    return CountIn(HostState::kActive) == std::size(kHosts);
  }

  FleetState state;
  std::uint64_t index = 0;
  EntryReports reports;
  std::uint64_t sequence = 0;
  PlatformClient interface { client, address, kCallTimeout };
  std::unique_ptr<LeaderController> leader;
};

// Guards against a wave that reboots or loses a host while the platform fails
// before the first reboot request, or doesn't resume when it recovers.
BOOST_DATA_TEST_CASE(WaveOutlivesFailedQueries, kFaults, row) {
  Wave wave(&row);
  BOOST_TEST(wave.Run(Millis(10'000),
                      [&] { return wave.CountIn(HostState::kDrained) > 0; }));
  // A faulty response causes no reboot request.
  wave.Run(Millis(4'000), [] { return false; });
  BOOST_TEST(wave.CountIn(HostState::kDrained) == 1U);
  for (const char* host : kHosts)
    BOOST_TEST(wave.fake.boots(host) == 0);
  wave.Heal();
  BOOST_TEST(wave.Run(Millis(60'000), [&] { return wave.AllDone(); }));
}

// Guards against a second reboot when the response to the first request was
// lost or malformed and the host is up again before the retry.
BOOST_DATA_TEST_CASE(WaveOutlivesFailedOrders, kFaults, row) {
  Wave wave;
  BOOST_TEST(wave.Run(Millis(10'000),
                      [&] { return wave.CountIn(HostState::kRebooting) > 0; }));
  wave.fault_case = &row;
  if (row.fault == Fault::kRefused || row.fault == Fault::kTruncated) {
    wave.server.reset();
    wave.Listen();
  }
  wave.Run(Millis(4'000), [] { return false; });
  BOOST_TEST(wave.CountIn(HostState::kRebooting) == 1U);
  wave.Heal();
  BOOST_TEST(wave.Run(Millis(60'000), [&] { return wave.AllDone(); }));
}

// Guards against a second reboot after a change of leaders: the response to the
// old leader's request, or its execution, is delayed until the new leader has
// finished the wave.
BOOST_AUTO_TEST_CASE(LateResponseAfterTheLeaderChanged) {
  for (const bool carried_out_late : {false, true}) {
    Wave wave;
    wave.hold_orders = true;
    PlatformClient slow(wave.client, wave.address, Millis(60'000));
    // Calls of the first leader outlive its leadership.
    LeaderController first(
        wave.loop, slow, wave.state, wave.reports, WaveConfig{},
        BufferMoveConfig{},
        [&](const Command& command, const Proposals::Reply& reply) {
          reply(wave.Apply(command));
        });
    std::unique_ptr<LeaderController> second = std::move(wave.leader);
    first.OnLeadership(wave.now);
    for (int i = 0; i < 100 && wave.held.empty(); ++i) {
      wave.Report();
      first.Tick(wave.now);
      wave.Settle(false);
      wave.now += kStep;
    }
    BOOST_REQUIRE(wave.held.size() == 1U);
    const auto order = wave.held.front();
    wave.held.clear();
    wave.hold_orders = false;
    HttpResponse result;
    if (!carried_out_late)
      result = wave.fake.HandleRequest(order.first, wave.now);
    first.OnLeadership(wave.now);
    wave.leader = std::move(second);
    wave.leader->OnLeadership(wave.now);
    BOOST_TEST(wave.Run(
        Millis(60'000), [&] { return wave.AllDone(); }, false));
    const FleetVersion version = wave.state.version();
    if (carried_out_late)
      result = wave.fake.HandleRequest(order.first, wave.now);
    order.second(result);
    wave.Settle();
    BOOST_TEST(wave.state.version() == version);
    BOOST_TEST(wave.AllDone());
  }
}

// Guards against returning a host that was not rebooted: the platform has lost
// its boot counts, so they don't show whether it was.
BOOST_AUTO_TEST_CASE(FallenBootCountKeepsTheHostOut) {
  Wave wave;
  HttpRequest order{"POST", "/hosts/h1/reboot"};
  for (const char* host : kHosts) {
    order.path = std::string("/hosts/") + host + "/reboot";
    static_cast<void>(wave.fake.HandleRequest(order, wave.now));
  }
  wave.now += kRebootTime;
  wave.hold_orders = true;
  BOOST_TEST(wave.Run(Millis(10'000),
                      [&] { return wave.CountIn(HostState::kRebooting) > 0; }));
  wave.fake = FakePlatform(kRebootTime);
  wave.hold_orders = false;
  wave.Run(Millis(5'000), [] { return false; });
  BOOST_TEST(wave.CountIn(HostState::kRebooting) == 1U);
  for (const char* host : kHosts)
    BOOST_TEST(wave.fake.boots(host) == 0);
}

}  // namespace
}  // namespace boragewinch
