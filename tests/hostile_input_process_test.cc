#define BOOST_TEST_MODULE hostile_input_process
#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "process_fleet.h"

namespace boragewinch {
namespace {

/// A plain TCP connection, for input that is not valid HTTP.
class RawConnection {
 public:
  explicit RawConnection(const std::string& address) {
    const auto colon = address.rfind(':');
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
    endpoint.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    connected_ = connect(socket_, reinterpret_cast<sockaddr*>(&endpoint),
                         sizeof(endpoint)) == 0;
  }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;
  ~RawConnection() { close(socket_); }

  [[nodiscard]] bool connected() const noexcept { return connected_; }
  void Send(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t put =
          send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (put <= 0)
        return;  // the server closed early, which is a valid reaction
      sent += static_cast<std::size_t>(put);
    }
  }
  // Returns the first line that arrives within `limit`, or the part received.
  [[nodiscard]] std::string StatusLine(Millis limit) const {
    std::string text;
    const TimePoint deadline = MonotonicNow() + limit;
    while (text.find('\n') == std::string::npos && MonotonicNow() < deadline) {
      pollfd polled{socket_, POLLIN, 0};
      poll(&polled, 1, 100);
      char buffer[1'024];
      const ssize_t got = recv(socket_, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (got == 0 || (got < 0 && errno != EAGAIN))
        break;
      if (got > 0)
        text.append(buffer, static_cast<std::size_t>(got));
    }
    return text.substr(0, text.find('\r'));
  }

 private:
  int socket_ = -1;
  bool connected_ = false;
};

struct Port {
  std::string name;
  std::string process;
  std::string address;
  std::map<std::string, std::string> headers;
  std::vector<std::pair<std::string, std::string>> targets;
};

struct Fixture {
  ProcessFleet fleet{FleetShape{}};

  std::vector<Port> Ports() {
    const std::map<std::string, std::string> operators{
        {"X-Boragewinch-Operator", "test-operator"}};
    const std::map<std::string, std::string> cluster{
        {"X-Boragewinch-Cluster", "test-cluster"}};
    return {
        {"callers",
         "e11",
         fleet.address("e11"),
         {},
         {{"POST", "/v1/jobs"}, {"PUT", "/v1/jobs/z1.e11.1.1"}}},
        {"workers",
         "e11",
         fleet.address("e11"),
         {},
         {{"POST", "/v1/workers/heartbeat"},
          {"POST", "/v1/workers/leave"},
          {"POST", "/v1/tasks/result"}}},
        {"operators",
         "c1",
         fleet.address("c1"),
         operators,
         {{"POST", "/v1/operations"}, {"POST", "/v1/sheets"}}},
        {"peers",
         "e11",
         fleet.peer_address("e11"),
         cluster,
         {{"POST", "/rpc"}}},
        {"control", "c1", fleet.address("c1"), cluster, {{"POST", "/rpc"}}},
    };
  }

  static std::vector<std::string> Bodies() {
    const std::string deep(100'000, '[');
    const std::string mebibyte(1024 * 1024, 'x');
    std::string nul = R"({"queue":"open"})";
    nul[3] = '\0';
    return {
        "",
        "null",
        "[]",
        "7",
        "\"text\"",
        "{",
        "}",
        "{\"a\":",
        deep,
        "{}",
        nul,
        std::string("\xff\xfe\x00\x01", 4),
        R"({"queue":7})",
        R"({"queue":{"a":1}})",
        R"({"queue":"open","cpu_millis":-1})",
        R"({"queue":"open","cpu_millis":1e400})",
        R"({"queue":"open","cpu_millis":99999999999999999999})",
        R"({"queue":"../../etc","payload":"x"})",
        R"({"queue":")" + mebibyte + R"("})",
        R"({"host":"a","incarnation":"b","tasks":{"x":1}})",
        R"({"host":"a","incarnation":7,"sequence":-1})",
        R"({"host":"z1-r1-h1","incarnation":"x","zone":"z1","rack":"r","address":"nowhere","tasks":[1,2]})",
        R"({"task":"x","state":"finished"})",
        R"({"task":"x/1","state":"finished","body":[],"length":0,"hash":"0"})",
        R"({"task":"z1.e11.1.1/99999999999","state":"finished","body":"","length":0,"hash":"0"})",
        R"({"command":{"type":"drain_host"}})",
        R"({"command":{"type":7}})",
        R"({"command":"drain_host","operation_id":"x"})",
        R"({"operation_id":"h1","operator":"t","expected_version":1,"command":{"type":"withdraw_key","ids":7,"id":"k"}})",
        R"({"operation_id":"h2","operator":"t","expected_version":1,"command":{"type":"reclaim_entry","entry":"e11","incarnation":"1"}})",
        R"({"mode":"apply","file":"x","text":"kind\nhost"})",
        R"({"mode":"apply","file":"x","text":7})",
        R"({"mode":"check","file":"x","text":",,,,\"\n\u0000"})",
        R"([{"jsonrpc":"2.0","id":1,"method":"control.sync","params":{"body":{}}}])",
        R"({"jsonrpc":"2.0","id":1,"method":"nothing","params":{"body":{}}})",
        R"({"jsonrpc":"2.0","method":"control.sync","params":{"body":{}}})",
        R"({"jsonrpc":"2.0","id":{"a":[1]},"method":"control.sync","params":{"body":{}}})",
        R"({"jsonrpc":"2.0","id":1,"method":"control.sync","params":[{"body":{}}]})",
        R"({"jsonrpc":"2.0","id":1,"method":"control.sync","params":{"body":{"entry":7}}})",
        R"({"jsonrpc":"2.0","id":1,"method":"raft.step","params":{"body":{}}})",
        R"({"jsonrpc":"2.0","id":1,"method":"raft.step","params":{"body":{"kind":"append","term":18446744073709551615,"entries":7}}})",
        R"({"jsonrpc":"2.0","id":1,"method":"control.operator","params":{"body":{"method":7,"query":[1]}}})",
        R"({"jsonrpc":"2.0","id":1,"method":"peer.gossip","params":{"body":{"from_entry":"e12","message":[]}}})",
        R"({"jsonrpc":"2.0","id":1,"method":"peer.gossip","params":{"body":{"from_entry":7,"message":{}}}})",
        R"({"jsonrpc":"2.0","id":1,"method":"peer.store","params":{"body":{"from_entry":"e12","message":{"type":"store"}}}})",
    };
  }

  void CheckAlive() {
    for (const char* name : {"c1", "c2", "c3", "e11", "e12"})
      BOOST_TEST(fleet.Runs(name), std::string(name) << " has ended");
    BOOST_TEST(Eventually(Millis(10'000), [&] {
      return fleet.RunJob("e11", "q1", fleet.key1) == "finished";
    }));
    BOOST_TEST(fleet.Violations() == "");
  }

  // Whether the body is a JSON object that, unless the status is 200, holds a
  // machine-readable error, reason or outcome.
  static bool IsStructured(const Reply& reply) {
    const Json json = reply.json();
    if (!json.isObject())
      return false;
    return json.isMember("error") || json.isMember("reason") ||
           json.isMember("outcome") || reply.status == 200;
  }
};

// Guards against a malformed body that crashes the process, is accepted as
// valid or gets no response.
BOOST_FIXTURE_TEST_CASE(MalformedBodiesGetStructuredErrors, Fixture) {
  for (const Port& port : Ports()) {
    for (const auto& [method, path] : port.targets) {
      for (const std::string& body : Bodies()) {
        const Reply reply = Http(method, "http://" + port.address + path,
                                 port.headers, body, Millis(6'000));
        const std::string shown =
            port.name + " " + path + " " + body.substr(0, 120) + " -> " +
            std::to_string(reply.status) + " " + reply.body.substr(0, 120);
        BOOST_TEST(reply.status != 0, shown);
        BOOST_TEST(IsStructured(reply), shown);
        if (!fleet.Runs(port.process)) {
          BOOST_TEST(false, shown << " ended the process");
          return;
        }
      }
    }
  }
  CheckAlive();
}

// Guards against a body above the size limit that is read into memory in full.
BOOST_FIXTURE_TEST_CASE(OversizedBodiesAreRefused, Fixture) {
  for (const Port& port : Ports()) {
    const std::size_t size = port.name == "control" || port.name == "operators"
                                 ? 65UL * 1024 * 1024
                                 : 17UL * 1024 * 1024;
    const std::string body(size, 'x');
    for (const auto& [method, path] : port.targets) {
      const Reply reply = Http(method, "http://" + port.address + path,
                               port.headers, body, Millis(10'000));
      BOOST_TEST(reply.status == 413, port.name + " " + path + " -> " +
                                          std::to_string(reply.status));
    }
  }
  CheckAlive();
}

// Guards against ports that accept calls without the required credentials.
BOOST_FIXTURE_TEST_CASE(MissingCredentialsAreRefused, Fixture) {
  for (const Port& port : Ports()) {
    if (port.headers.empty())
      continue;
    for (const auto& [method, path] : port.targets) {
      for (const char* value : {"", "wrong"}) {
        std::map<std::string, std::string> headers = port.headers;
        headers.begin()->second = value;
        const int status =
            Http(method, "http://" + port.address + path, headers, "{}").status;
        BOOST_TEST((status == 401 || status == 403),
                   port.name + " " + path + " -> " + std::to_string(status));
      }
    }
  }
  BOOST_TEST(
      Http("GET", "http://" + fleet.address("e11") + "/v1/status").status ==
      401);
  BOOST_TEST(
      Http("GET", "http://" + fleet.address("c1") + "/v1/fleet").status == 401);
  CheckAlive();
}

// Guards against other callers being delayed by input that is not HTTP,
// truncated requests and requests sent byte by byte.
BOOST_FIXTURE_TEST_CASE(MalformedAndSlowConnectionsDelayNoOthers, Fixture) {
  const std::vector<std::string> requests{
      "\r\n\r\n",
      "GET\r\n\r\n",
      std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11),
      "GET / HTTP/9.9\r\n\r\n",
      "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n{}",
      "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999"
      "999999\r\n\r\n{}",
      "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "zz\r\n",
      "GET /" + std::string(60'000, 'a') + " HTTP/1.1\r\nHost: a\r\n\r\n",
      "GET / HTTP/1.1\r\nHost: a\r\nX-A: " + std::string(60'000, 'a') +
          "\r\n\r\n",
      "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{\"que",
      "POST /rpc HTTP/1.1\r\nHo",
  };
  std::vector<std::unique_ptr<RawConnection>> idle;
  for (const Port& port : Ports()) {
    for (const std::string& bytes : requests) {
      idle.push_back(std::make_unique<RawConnection>(port.address));
      BOOST_TEST(idle.back()->connected());
      idle.back()->Send(bytes);
      // Closed at the end of the block, without waiting for a response.
      RawConnection truncated(port.address);
      truncated.Send(bytes.substr(0, bytes.size() / 2));
    }
    // An overlong request line gets a response before the connection closes.
    RawConnection line(port.address);
    line.Send(requests[7]);
    const std::string status_line = line.StatusLine(Millis(3'000));
    BOOST_TEST((status_line.find(" 414") != std::string::npos ||
                status_line.find(" 431") != std::string::npos),
               port.name + ": " + status_line);
  }
  // 200 callers that send one byte at a time.
  std::vector<std::unique_ptr<RawConnection>> slow;
  for (int i = 0; i < 200; ++i)
    slow.push_back(std::make_unique<RawConnection>(fleet.address("e11")));
  const std::string request = "POST /v1/jobs HTTP/1.1\r\nHost: a\r\n";
  for (const char byte : request) {
    for (const auto& connection : slow)
      connection->Send(std::string(1, byte));
  }
  const TimePoint start = MonotonicNow();
  BOOST_TEST(fleet.RunJob("e11") == "finished");
  BOOST_TEST((MonotonicNow() - start < Millis(5'000)));
  CheckAlive();
}

}  // namespace
}  // namespace boragewinch
