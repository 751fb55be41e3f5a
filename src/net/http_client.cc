#include "net/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace boragewinch {

namespace {

constexpr long kMaxConnectMs = 1'000;
/// Size of the connection cache: libcurl's default is too small for hundreds of
/// workers, so that most calls would open a new connection.
constexpr long kMaxIdleConnections = 2'048;

/// Handles kept for reuse: resetting one is faster than creating one.
constexpr std::size_t kMaxIdleHandles = 64;

struct Transfer {
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  HttpCall call;
  HttpClient::Done done;
  HttpResponse response;
  std::size_t max_bytes = 0;
  bool too_large = false;
  bool sent = false;  ///< at least a part of the request may have been sent

  ~Transfer() {
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
  }
};

std::size_t OnBody(char* data,
                   std::size_t size,
                   std::size_t count,
                   void* self) {
  auto* transfer = static_cast<Transfer*>(self);
  const std::size_t bytes = size * count;
  if (transfer->response.body.size() + bytes > transfer->max_bytes) {
    transfer->too_large = true;
    return 0;
  }
  transfer->response.body.append(data, bytes);
  return bytes;
}

// libcurl calls this before each attempt to send the request. If a reused
// connection closes without a response, libcurl would resend the request
// automatically. The server may have processed the first copy, so the retry is
// aborted and the decision left to the caller.
int OnBeforeSend(void* self, char*, char*, int, int) {
  auto* transfer = static_cast<Transfer*>(self);
  return std::exchange(transfer->sent, true) ? CURL_PREREQFUNC_ABORT
                                             : CURL_PREREQFUNC_OK;
}

[[nodiscard]] Result<HttpResponse> ToResult(CURLcode code, Transfer& transfer) {
  if (transfer.too_large)
    return Fail(ErrorCode::kTooLarge,
                "response is too large: " + transfer.call.url);
  const std::string detail = transfer.call.method + " " + transfer.call.url +
                             ": " + curl_easy_strerror(code);
  switch (code) {
    case CURLE_OK: {
      long status = 0;
      curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
      transfer.response.status = static_cast<int>(status);
      return std::move(transfer.response);
    }
    case CURLE_OPERATION_TIMEDOUT:
      return Fail(!transfer.sent ? ErrorCode::kTransport : ErrorCode::kTimeout,
                  detail);
    default:
      return Fail(!transfer.sent ? ErrorCode::kTransport : ErrorCode::kProtocol,
                  detail);
  }
}

}  // namespace

struct HttpClient::Impl {
  Impl(EventLoop& event_loop, HttpClientLimits client_limits)
      : loop(event_loop), limits(client_limits), multi(curl_multi_init()) {
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      limits.max_connections_per_host);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }

  static int OnSocket(CURL*,
                      curl_socket_t socket,
                      int what,
                      void* self,
                      void*) {
    auto* impl = static_cast<Impl*>(self);
    if (what == CURL_POLL_REMOVE) {
      impl->sockets.erase(socket);
      return 0;
    }
    const Readiness interest{(what & CURL_POLL_IN) != 0,
                             (what & CURL_POLL_OUT) != 0};
    impl->sockets.erase(socket);
    impl->sockets[socket] =
        impl->loop.OnReady(socket, interest, [impl, socket](Readiness ready) {
          const int events = (ready.readable ? CURL_CSELECT_IN : 0) |
                             (ready.writable ? CURL_CSELECT_OUT : 0);
          impl->OnSocketAction(socket, events);
        });
    return 0;
  }

  static int OnTimer(CURLM*, long wait_ms, void* self) {
    auto* impl = static_cast<Impl*>(self);
    impl->timer.reset();
    if (wait_ms >= 0) {
      impl->timer = impl->loop.After(Millis(wait_ms), [impl](TimePoint) {
        impl->OnSocketAction(CURL_SOCKET_TIMEOUT, 0);
      });
    }
    return 0;
  }

  void OnSocketAction(curl_socket_t socket, int events) {
    int running = 0;
    curl_multi_socket_action(multi, socket, events, &running);
    CollectFinished();
  }

  void CollectFinished() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg != CURLMSG_DONE)
        continue;
      const CURLcode code = message->data.result;
      const auto found = transfers.find(message->easy_handle);
      curl_multi_remove_handle(multi, message->easy_handle);
      const std::unique_ptr<Transfer> transfer = std::move(found->second);
      transfers.erase(found);
      auto result = ToResult(code, *transfer);
      ReleaseHandle(std::exchange(transfer->easy, nullptr));
      loop.Post(
          [done = std::move(transfer->done),
           result = std::move(result)]() mutable { done(std::move(result)); });
    }
  }

  [[nodiscard]] CURL* AcquireHandle() {
    if (idle_handles.empty())
      return curl_easy_init();
    CURL* easy = idle_handles.back();
    idle_handles.pop_back();
    return easy;
  }

  void ReleaseHandle(CURL* easy) {
    if (idle_handles.size() >= kMaxIdleHandles) {
      curl_easy_cleanup(easy);
      return;
    }
    // Clears every option of the call, including its callbacks.
    curl_easy_reset(easy);
    idle_handles.push_back(easy);
  }

  EventLoop& loop;
  HttpClientLimits limits;
  CURLM* multi;
  std::vector<CURL*> idle_handles;
  std::map<CURL*, std::unique_ptr<Transfer>> transfers;
  std::map<curl_socket_t, WatchHandle> sockets;
  WatchHandle timer;
};

HttpClient::HttpClient(EventLoop& loop, HttpClientLimits limits)
    : impl_(std::make_unique<Impl>(loop, limits)) {}

HttpClient::~HttpClient() {
  for (const auto& [easy, transfer] : impl_->transfers)
    curl_multi_remove_handle(impl_->multi, easy);
  impl_->transfers.clear();
  for (CURL* easy : impl_->idle_handles)
    curl_easy_cleanup(easy);
  curl_multi_cleanup(impl_->multi);
}

void HttpClient::Send(HttpCall call, Done done) {
  if (impl_->transfers.size() >= impl_->limits.max_calls) {
    impl_->loop.Post([done = std::move(done)] {
      done(Fail(ErrorCode::kTableFull, "too many calls in flight"));
    });
    return;
  }
  auto transfer = std::make_unique<Transfer>();
  transfer->easy = impl_->AcquireHandle();
  transfer->call = std::move(call);
  transfer->done = std::move(done);
  transfer->max_bytes = impl_->limits.max_response_bytes;
  if (transfer->call.max_response_bytes > 0) {
    transfer->max_bytes =
        std::min(transfer->max_bytes, transfer->call.max_response_bytes);
  }

  CURL* easy = transfer->easy;
  const HttpCall& sent = transfer->call;
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  headers = curl_slist_append(headers,
                              ("Content-Type: " + sent.content_type).c_str());
  for (const auto& [name, value] : sent.headers)
    headers = curl_slist_append(headers, (name + ": " + value).c_str());
  transfer->headers = headers;
  const long timeout_ms = std::max<long>(1, sent.timeout.count());
  curl_easy_setopt(easy, CURLOPT_URL, sent.url.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, sent.method.c_str());
  if (!sent.body.empty() || sent.method == "POST" || sent.method == "PUT") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(sent.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, sent.body.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, sent.method.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   std::min(timeout_ms, kMaxConnectMs));
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  // Addresses come from the settings; ignores proxies set in the environment.
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  impl_->transfers.emplace(easy, std::move(transfer));
  curl_multi_add_handle(impl_->multi, easy);
}

std::size_t HttpClient::open_calls() const noexcept {
  return impl_->transfers.size();
}

}  // namespace boragewinch
