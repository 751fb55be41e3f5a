#include "http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>

namespace review {

namespace {

sockaddr_in EndpointOf(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
  endpoint.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(&address[colon + 1])));
  return endpoint;
}

void DisableDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool SendAll(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Reads a head and a body with Content-Length.
/// \param rest bytes that were read beyond the previous message.
bool ReadMessage(int socket,
                 Clock::time_point deadline,
                 std::string* rest,
                 std::string* first_line,
                 std::map<std::string, std::string>* headers,
                 std::string* body) {
  const auto read_more = [&] {
    const auto left =
        std::chrono::duration_cast<Millis>(deadline - Clock::now());
    pollfd polled{socket, POLLIN, 0};
    if (left.count() <= 0 ||
        poll(&polled, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
    char buffer[16384];
    const ssize_t count = recv(socket, buffer, sizeof(buffer), 0);
    if (count <= 0)
      return false;
    rest->append(buffer, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t end = 0;
  while ((end = rest->find("\r\n\r\n")) == std::string::npos) {
    if (!read_more())
      return false;
  }
  std::string head = rest->substr(0, end);
  rest->erase(0, end + 4);
  const auto line_end = head.find("\r\n");
  *first_line = head.substr(0, line_end);
  headers->clear();
  std::size_t at = line_end == std::string::npos ? head.size() : line_end + 2;
  while (at < head.size()) {
    std::size_t next = head.find("\r\n", at);
    if (next == std::string::npos)
      next = head.size();
    const std::string line = head.substr(at, next - at);
    at = next + 2;
    const auto colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const auto value = line.find_first_not_of(' ', colon + 1);
    (*headers)[name] = value == std::string::npos ? "" : line.substr(value);
  }
  const auto length = headers->find("content-length");
  const std::size_t size =
      length == headers->end()
          ? 0
          : static_cast<std::size_t>(std::atoll(length->second.c_str()));
  while (rest->size() < size) {
    if (!read_more())
      return false;
  }
  *body = rest->substr(0, size);
  rest->erase(0, size);
  return true;
}

}  // namespace

Response Call(const std::string& address,
              const Request& request,
              Millis timeout) {
  const auto deadline = Clock::now() + timeout;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{};
  limit.tv_sec = timeout.count() / 1000;
  limit.tv_usec = (timeout.count() % 1000) * 1000;
  setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  DisableDelay(socket);
  const sockaddr_in endpoint = EndpointOf(address);
  Response response;
  std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
  if (request.headers.count("host") == 0)
    text += "host: " + address + "\r\n";
  for (const auto& [name, value] : request.headers)
    text += name + ": " + value + "\r\n";
  text += "content-type: application/json\r\ncontent-length: " +
          std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
  if (connect(socket, reinterpret_cast<const sockaddr*>(&endpoint),
              sizeof(endpoint)) == 0 &&
      SendAll(socket, text)) {
    std::string rest;
    std::string line;
    std::map<std::string, std::string> headers;
    if (ReadMessage(socket, deadline, &rest, &line, &headers, &response.body) &&
        line.size() > 12) {
      response.status = std::atoi(&line[9]);
    }
  }
  close(socket);
  return response;
}

struct Server::State {
  Handler handler;
  int listener = -1;
  std::mutex mutex;
  std::set<int> connections;
  std::atomic<bool> closed{false};

  void Serve(int socket) {
    std::string rest;
    while (!closed) {
      Request request;
      std::string line;
      if (!ReadMessage(socket, Clock::now() + std::chrono::hours(1), &rest,
                       &line, &request.headers, &request.body)) {
        break;
      }
      const auto first = line.find(' ');
      const auto second = line.find(' ', first + 1);
      request.method = line.substr(0, first);
      request.path = line.substr(first + 1, second - first - 1);
      const Response response = handler(request);
      if (response.status == 0 || closed)
        break;
      if (!SendAll(socket, "HTTP/1.1 " + std::to_string(response.status) +
                               " Status\r\ncontent-type: application/json\r\n"
                               "content-length: " +
                               std::to_string(response.body.size()) +
                               "\r\n\r\n" + response.body)) {
        break;
      }
      if (response.on_sent)
        response.on_sent();
    }
    const std::lock_guard lock(mutex);
    connections.erase(socket);
    close(socket);
  }
};

Server::Server(const std::string& listen_address, Handler handler)
    : state_(std::make_shared<State>()) {
  state_->handler = std::move(handler);
  state_->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const bool has_port = listen_address.find(':') != std::string::npos;
  const std::string ip = listen_address.substr(0, listen_address.find(':'));
  const int on = 1;
  setsockopt(state_->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in endpoint =
      EndpointOf(has_port ? listen_address : listen_address + ":0");
  socklen_t size = sizeof(endpoint);
  if (bind(state_->listener, reinterpret_cast<sockaddr*>(&endpoint), size) !=
          0 ||
      listen(state_->listener, 128) != 0) {
    throw std::runtime_error("can't listen on " + listen_address);
  }
  getsockname(state_->listener, reinterpret_cast<sockaddr*>(&endpoint), &size);
  address_ = ip + ":" + std::to_string(ntohs(endpoint.sin_port));
  acceptor_ = std::thread([this] { Accept(); });
}

void Server::Accept() {
  for (;;) {
    const int socket =
        accept4(state_->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0)
      return;
    DisableDelay(socket);
    const std::lock_guard lock(state_->mutex);
    state_->connections.insert(socket);
    std::thread([state = state_, socket] { state->Serve(socket); }).detach();
  }
}

void Server::Close() {
  if (state_->closed.exchange(true))
    return;
  shutdown(state_->listener, SHUT_RDWR);
  const std::lock_guard lock(state_->mutex);
  for (const int socket : state_->connections)
    shutdown(socket, SHUT_RDWR);
}

Server::~Server() {
  Close();
  acceptor_.join();
  close(state_->listener);
}

}  // namespace review
