#define BOOST_TEST_MODULE body_budget_process
#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <limits>
#include <string>
#include <thread>
#include <vector>

#include "platform_cluster.h"

// Floods of hostile clients against the real processes. The settings describe a
// host with little memory, so that a few hundred connections exceed it. The
// checks do not depend on the speed of the machine: the process is alive, its
// memory and descriptors stay under the figures of its host, and an ordinary
// request is answered while the connections of the flood are still open.
namespace boragewinch::platform {
namespace {

constexpr Millis kWaitLimit{30'000};
/// Memory of a host in MiB, for floods of bodies. A process needs about 16.
constexpr long kHostMegabytes = 64;
/// For floods of headers: a port accepts 1,024 connections of 32 KiB each.
constexpr long kSmallHostMegabytes = 40;
/// Descriptors of the smallest host in use.
constexpr long kHostDescriptors = 4'096;
constexpr long kKibibytesPerMebibyte = 1'024;
/// Each tenth sender of a flood completes its body.
constexpr int kCompleteEvery = 10;

enum class Framing { kDeclared, kLargeChunks, kSmallChunks };

/// \brief Traffic of hostile clients: `connections` that each send `bytes` of a
/// body and stay open.
struct Flood {
  Framing framing = Framing::kDeclared;
  int connections = 400;
  /// Less than the permitted 262,144 bytes.
  std::size_t bytes = 260'000;
  /// Content-Length; every tenth sender of bodies that are not over the limit
  /// sends the missing bytes as well.
  std::size_t declared = 260'001;
  bool over_limit = false;
};

/// A client's connection.
class RawConnection {
 public:
  /// \param reads false: the receive buffer has the least size, so that the
  /// server keeps what it sends.
  explicit RawConnection(const std::string& address, bool reads = true)
      : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const auto colon = address.rfind(':');
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
    endpoint.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    // A server that reads nothing must not stop the test.
    constexpr timeval kSendTimeout{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &kSendTimeout,
               sizeof(kSendTimeout));
    if (!reads) {
      constexpr int kLeastSegment = 536;
      constexpr int kLeastBuffer = 2'048;
      setsockopt(socket_, IPPROTO_TCP, TCP_MAXSEG, &kLeastSegment,
                 sizeof(kLeastSegment));
      setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &kLeastBuffer,
                 sizeof(kLeastBuffer));
    }
    open_ = connect(socket_, reinterpret_cast<sockaddr*>(&endpoint),
                    sizeof(endpoint)) == 0;
  }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;
  ~RawConnection() { close(socket_); }

  /// \brief Sends `bytes`, or less if the server closes the connection.
  void Send(std::string_view bytes) {
    while (open_ && !bytes.empty()) {
      const ssize_t sent =
          send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      open_ = sent > 0;
      if (open_)
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }

 private:
  int socket_;
  bool open_ = false;
};

using Connections = std::vector<std::unique_ptr<RawConnection>>;

/// \returns `bytes` of a body in chunks of `chunk` bytes.
[[nodiscard]] std::string Chunks(std::size_t bytes, std::size_t chunk) {
  std::string text;
  char size[32];
  for (std::size_t left = bytes; left > 0; left -= std::min(left, chunk)) {
    const std::size_t next = std::min(left, chunk);
    std::snprintf(size, sizeof(size), "%zx\r\n", next);
    text += size + std::string(next, 'x') + "\r\n";
  }
  return text;
}

void SendBodies(const std::string& address,
                const std::string& request_line,
                const Flood& flood,
                Connections* connections) {
  constexpr std::size_t kLargeChunk = 16'384;
  constexpr std::size_t kSmallChunk = 16;
  std::string head = request_line +
                     "\r\nHost: jobs.example\r\n"
                     "Authorization: Bearer key-of-t1\r\n";
  std::string body;
  std::string rest;
  if (flood.framing == Framing::kDeclared) {
    head += "Content-Length: " + std::to_string(flood.declared) + "\r\n\r\n";
    body.assign(flood.bytes, 'x');
    rest.assign(flood.declared - flood.bytes, 'x');
  } else {
    head += "Transfer-Encoding: chunked\r\n\r\n";
    body = Chunks(flood.bytes, flood.framing == Framing::kLargeChunks
                                   ? kLargeChunk
                                   : kSmallChunk);
    rest = "1\r\nx\r\n0\r\n\r\n";
  }
  for (int i = 1; i <= flood.connections; ++i) {
    auto& connection =
        connections->emplace_back(std::make_unique<RawConnection>(address));
    connection->Send(head);
    connection->Send(body);
    if (i % kCompleteEvery == 0 && !flood.over_limit)
      connection->Send(rest);
  }
}

void SendHeaders(const std::string& address, Connections* connections) {
  constexpr int kConnections = 1'000;
  constexpr std::size_t kHeaderBytes = 30'000;
  const std::string headers =
      "POST / HTTP/1.1\r\nX-A: " + std::string(kHeaderBytes, 'a');
  for (int i = 0; i < kConnections; ++i) {
    auto& connection =
        connections->emplace_back(std::make_unique<RawConnection>(address));
    connection->Send(headers);
  }
}

/// \returns a figure of /proc/PID/status in KiB; a large one if the process has
/// ended.
[[nodiscard]] long MemoryKibibytes(pid_t pid, const std::string& name) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(name + ":"))
      return std::stol(line.substr(name.size() + 1));
  }
  return std::numeric_limits<long>::max();
}

[[nodiscard]] long OpenDescriptors(pid_t pid) {
  std::error_code error;
  const std::filesystem::directory_iterator files(
      "/proc/" + std::to_string(pid) + "/fd", error);
  return std::distance(begin(files), end(files));
}

struct HostMemory {
  explicit HostMemory(long megabytes) {
    setenv("BORAGEWINCH_MEMORY_MB", std::to_string(megabytes).c_str(), 1);
  }
};

/// A port that receives the flood, and the process that it belongs to.
struct Port {
  std::string process;
  std::string address;
  std::string request_line;
  /// A body above the limit of the port, in bytes, and as many connections as
  /// hold 100 MB.
  std::size_t over_limit = 0;
  int over_limit_connections = 0;
};

struct Fixture {
  explicit Fixture(long megabytes = kHostMegabytes)
      : host_megabytes(megabytes), memory(megabytes), cluster([] {
          ClusterOptions options;
          options.gateways = 1;
          return options;
        }()) {
    BOOST_REQUIRE(cluster.Begin(kWaitLimit));
  }

  /// \returns an address of the process itself, without its relay.
  [[nodiscard]] std::string Address(const std::string& process,
                                    const std::string& port) const {
    constexpr int kProcessOffset = 100;
    constexpr int kFirstGateway = 20;
    const std::string& callers = cluster.address("g1");
    const std::string network = callers.substr(0, callers.rfind('.') + 1);
    const int number = std::stoi(process.substr(1)) + kProcessOffset +
                       (process.starts_with("g") ? kFirstGateway : 0);
    return network + std::to_string(number) + ":" + port;
  }
  [[nodiscard]] Port Callers() const {
    return {"g1", Address("g1", "8340"), "POST /main/flood HTTP/1.1", 600'000,
            200};
  }
  [[nodiscard]] Port WorkersAndOperators() const {
    const std::string leader = cluster.Leader();
    return {leader, Address(leader, "8345"), "PUT /-/config HTTP/1.1",
            5'000'000, 25};
  }
  [[nodiscard]] Port Internal() const {
    const std::string leader = cluster.Leader();
    return {leader, Address(leader, "7000"), "POST /bytes/raft.step HTTP/1.1",
            9'000'000, 12};
  }
  [[nodiscard]] std::vector<Port> Ports() const {
    return {Callers(), WorkersAndOperators(), Internal()};
  }

  /// \brief Runs `send` on a thread of its own while the cluster runs.
  void Run(const std::function<void()>& send) {
    std::atomic<bool> sent = false;
    std::thread thread([&] {
      send();
      sent = true;
    });
    (void)cluster.RunUntil(Millis(120'000), [&] { return sent.load(); });
    thread.join();
  }

  /// \brief Waits until the process has read what was sent to it: its memory is
  /// the same for a second.
  void AwaitStableMemory(pid_t pid) {
    constexpr int kPolls = 50;
    long last = 0;
    int unchanged = 0;
    (void)cluster.RunUntil(kWaitLimit, [&] {
      const long now = MemoryKibibytes(pid, "VmRSS");
      unchanged = now == last ? unchanged + 1 : 0;
      last = now;
      return unchanged >= kPolls;
    });
  }

  /// \brief Calls the process until it answers with status 200.
  [[nodiscard]] bool Answers(const Port& port) {
    HttpClient client(cluster.loop(), HttpClientLimits{});
    RpcClient rpc(client, "test-cluster");
    bool answered = false;
    bool waiting = false;
    // A job id has 16 hexadecimal digits.
    std::int64_t number = 1'000'000'000'000'000;
    return cluster.RunUntil(kWaitLimit, [&] {
      if (answered || std::exchange(waiting, true))
        return answered;
      if (port.address.ends_with(":7000")) {
        rpc.Call(port.address, "relay.view", Json(::Json::objectValue),
                 Millis(2'000), [&](const Result<Json>& result) {
                   waiting = false;
                   answered = result.has_value();
                 });
        return false;
      }
      HttpCall call;
      call.url = "http://" + port.address + "/-/config";
      if (port.address.ends_with(":8343")) {
        call.url = "http://" + port.address + "/";
      } else if (port.process == "g1") {
        call.method = "POST";
        call.url =
            "http://" + port.address + "/main/" + std::to_string(++number);
        call.headers = {{"Host", "jobs.example"},
                        {"Authorization", "Bearer key-of-t1"}};
        call.body = WriteJson(ToSubmission(FakeJob{"payload", {FakeStep{}}}));
      }
      client.Send(std::move(call), [&](const Result<HttpResponse>& result) {
        waiting = false;
        answered = result && result.value().status == 200;
      });
      return false;
    });
  }

  /// \brief Sends a request until it gets status 200.
  /// \returns the body of the response; empty if there is none.
  [[nodiscard]] std::string Call(const HttpCall& call) {
    HttpClient client(cluster.loop(), HttpClientLimits{});
    std::optional<std::string> body;
    bool waiting = false;
    (void)cluster.RunUntil(kWaitLimit, [&] {
      if (body || std::exchange(waiting, true))
        return body.has_value();
      client.Send(call, [&](const Result<HttpResponse>& result) {
        waiting = false;
        if (result && result.value().status == 200)
          body = result.value().body;
      });
      return false;
    });
    return body.value_or("");
  }

  void Check(const Port& port) {
    ChildProcess& process = cluster.process(port.process);
    AwaitStableMemory(process.pid());
    BOOST_TEST_CONTEXT(port.process << " " << port.address) {
      BOOST_TEST(process.Runs());
      const long bound = host_megabytes * kKibibytesPerMebibyte;
      BOOST_TEST(MemoryKibibytes(process.pid(), "VmRSS") <= bound);
      BOOST_TEST(MemoryKibibytes(process.pid(), "VmHWM") <= bound);
      BOOST_TEST(OpenDescriptors(process.pid()) <= kHostDescriptors);
      BOOST_TEST(Answers(port));
      BOOST_TEST(process.Runs());
    }
  }

  /// \brief Checks a flood of each port, one after the other.
  void CheckFloods(Flood flood) {
    for (const Port& port : Ports()) {
      if (flood.over_limit) {
        flood.bytes = port.over_limit;
        flood.declared = 2 * port.over_limit;
        flood.connections = port.over_limit_connections;
      }
      Connections connections;
      Run([&] {
        SendBodies(port.address, port.request_line, flood, &connections);
      });
      Check(port);
    }
  }

  long host_megabytes;
  HostMemory memory;
  PlatformCluster cluster;
};

struct SmallFixture : Fixture {
  SmallFixture() : Fixture(kSmallHostMegabytes) {}
};

// Guards against a process that runs out of memory because it stores every
// incomplete body of permitted size.
BOOST_FIXTURE_TEST_CASE(DeclaredBodiesStayInMemory, Fixture) {
  CheckFloods({Framing::kDeclared});
}

// The same for bodies without a declared length.
BOOST_FIXTURE_TEST_CASE(LargeChunksStayInMemory, Fixture) {
  CheckFloods({Framing::kLargeChunks});
}

// Guards against a cost per chunk that exceeds its bytes.
BOOST_FIXTURE_TEST_CASE(SmallChunksStayInMemory, Fixture) {
  CheckFloods({Framing::kSmallChunks});
}

// Guards against the part below the limit being kept while the client sends the
// rest of a body that can only be refused.
BOOST_FIXTURE_TEST_CASE(DeclaredBodiesOverTheLimitStayInMemory, Fixture) {
  Flood flood;
  flood.over_limit = true;
  CheckFloods(flood);
}

// The same if the length is only known once the limit is passed.
BOOST_FIXTURE_TEST_CASE(ChunkedBodiesOverTheLimitStayInMemory, Fixture) {
  Flood flood;
  flood.framing = Framing::kLargeChunks;
  flood.over_limit = true;
  CheckFloods(flood);
}

// Guards against connections that hold header memory without limit because it
// is not counted.
BOOST_FIXTURE_TEST_CASE(SlowHeadersStayInMemory, SmallFixture) {
  Port ready = Callers();
  ready.address = Address(ready.process, "8343");
  for (const auto& [first, second] :
       {std::pair(ready, Callers()),
        std::pair(Internal(), WorkersAndOperators())}) {
    Connections connections;
    Run([&, &one = first, &other = second] {
      SendHeaders(one.address, &connections);
      SendHeaders(other.address, &connections);
    });
    Check(second);
    BOOST_TEST(Answers(first));
  }
}

// Guards against memory that stays with the process after a flood: half of the
// host's memory must be free again.
BOOST_FIXTURE_TEST_CASE(MemoryIsReturnedAfterAFlood, Fixture) {
  for (const Port& port : Ports()) {
    {
      Connections connections;
      Run([&] {
        SendBodies(port.address, port.request_line, Flood{}, &connections);
      });
    }
    const pid_t pid = cluster.process(port.process).pid();
    const long bound = host_megabytes * kKibibytesPerMebibyte / 2;
    (void)cluster.RunUntil(
        Millis(10'000), [&] { return MemoryKibibytes(pid, "VmRSS") <= bound; });
    BOOST_TEST_CONTEXT(port.process << " " << port.address)
    BOOST_TEST(MemoryKibibytes(pid, "VmRSS") <= bound);
  }
}

// Guards against responses that are kept for clients that do not read them.
BOOST_FIXTURE_TEST_CASE(UnreadResponsesStayInMemory, Fixture) {
  constexpr std::size_t kDocumentBytes = 1'500'000;
  constexpr int kClients = 60;
  const Port port = WorkersAndOperators();
  HttpCall call;
  call.url = "http://" + port.address + "/-/config";
  Result<Json> document = ParseJson(Call(call));
  BOOST_REQUIRE(document);
  Json& config = document.value();
  config["version"] = ::Json::Int64(config["version"].asInt64() + 100);
  call.method = "PUT";
  call.body = WriteJson(config) + std::string(kDocumentBytes, ' ');
  BOOST_REQUIRE(!Call(call).empty());
  Connections connections;
  Run([&] {
    for (int i = 0; i < kClients; ++i) {
      auto& connection = connections.emplace_back(
          std::make_unique<RawConnection>(port.address, false));
      connection->Send("GET /-/config HTTP/1.1\r\nHost: a\r\n\r\n");
    }
  });
  Check(port);
}

// Guards against a budget that refuses single requests within the published
// limits: a heartbeat of a worker may have up to 4 MiB.
BOOST_FIXTURE_TEST_CASE(SingleLargeRequestsAreServed, Fixture) {
  constexpr std::size_t kHeartbeatBytes = 4UL * 1024 * 1024;
  const std::string padding(kHeartbeatBytes - 1, ' ');
  const Port port = WorkersAndOperators();
  HttpClient client(cluster.loop(), HttpClientLimits{});
  std::optional<int> status;
  HttpCall call;
  call.method = "PUT";
  call.url = "http://" + port.address + "/-/config";
  call.body = padding + "{";
  client.Send(std::move(call), [&](const Result<HttpResponse>& result) {
    status = result ? result.value().status : 0;
  });
  BOOST_REQUIRE(
      cluster.RunUntil(kWaitLimit, [&] { return status.has_value(); }));
  // The document is not a configuration; it was read, not refused for its size.
  BOOST_TEST(*status == 400);
}

}  // namespace
}  // namespace boragewinch::platform
