#ifndef BORAGEWINCH_SCHEDULER_RELAY_H_
#define BORAGEWINCH_SCHEDULER_RELAY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/enum_table.h"
#include "base/result.h"
#include "kernel/event_loop.h"
#include "net/http_server.h"
#include "net/http_types.h"
#include "net/rpc_client.h"
#include "net/rpc_server.h"
#include "scheduler/request_turns.h"

namespace boragewinch::scheduler {

/// \brief The side from which a request came.
enum class Surface { kCallers, kControl };

inline constexpr EnumTable<Surface, 2> kSurfaces{{{
    {Surface::kCallers, "callers"},
    {Surface::kControl, "control"},
}}};

/// \brief A request on its way to the leader.
struct RelayedRequest {
  Surface surface = Surface::kCallers;
  HttpRequest http;
};

struct RelayAnswer;

using Respond = std::function<void(HttpResponse)>;
using ServeRequest = std::function<void(const RelayedRequest&, const Respond&)>;

/// \brief Carries requests from any process to the leader. Hosts and the leader
/// are learnt from the answers; the settings name only the first hosts.
///
/// A request is sent on after a failure only as long as its answer is due, and
/// may then reach the leader twice: every call of the surfaces is idempotent.
class RelayClient {
 public:
  struct Options {
    std::vector<std::string> hosts;  ///< IPv4 addresses of scheduler hosts
    std::string port;
    /// Time for one try. A leader's answer takes some 30 ms; a slow disk or an
    /// election some 100 ms to 1 s.
    Millis try_timeout{900};
    Millis retry_pause{60};
    /// A request is answered without a leader once none has been heard of for
    /// so long: an election ends within it.
    Millis leader_silence{1'500};
    /// The answer leaves so long before the caller stops waiting.
    Millis answer_margin{150};
  };

  RelayClient(EventLoop& loop, RpcClient& rpc, Options options);

  /// \brief Sends `request` until a leader answers or `deadline` passes; then
  /// 503 if every host that was asked said that it does not lead, else 504.
  void Send(const RelayedRequest& request,
            TimePoint deadline,
            const Respond& done);
  /// \brief Lets no request, open or new, try again from `at` on. A try that is
  /// under way then ends within Options::try_timeout.
  void StopTriesAt(TimePoint at) { no_tries_from_ = at; }
  /// \brief Notes the leader as the caller knows it; empty: unknown.
  void SetLeader(const std::string& host) { leader_ = host; }
  /// \brief Asks a host for the members and the leader.
  void Refresh();
  /// \returns the time of the last answer of a leader.
  [[nodiscard]] TimePoint leader_heard() const noexcept { return heard_; }

 private:
  struct Pending;
  void Try(const std::shared_ptr<Pending>& pending);
  void OnAnswer(const std::shared_ptr<Pending>& pending,
                const std::string& host,
                Result<RelayAnswer> answer);
  void Learn(const std::string& host, const Json& answer);
  [[nodiscard]] std::string NextHost();

  EventLoop& loop_;
  RpcClient& rpc_;
  Options options_;
  std::vector<std::string> hosts_;
  std::string leader_;
  std::size_t next_ = 0;
  TimePoint heard_;
  TimePoint no_tries_from_ = TimePoint::max();
};

/// \brief Answers relayed requests at a scheduler host.
class RelayServer {
 public:
  struct Hooks {
    std::function<bool()> leads;
    std::function<std::string()> leader_host;
    std::function<std::vector<std::string>()> hosts;
    ServeRequest serve;
    RequestTurns::Hooks turns;
  };

  RelayServer(RpcServer* server, Hooks hooks);

 private:
  /// \param respond gets the response of this leader.
  /// \param reply_view gets what is known of another one, or an error.
  void Serve(Result<RelayedRequest> request,
             const Respond& respond,
             const std::function<void(const Result<Json>&)>& reply_view);
  [[nodiscard]] Json View() const;

  Hooks hooks_;
  RequestTurns turns_;
};

/// \returns the compact form of a request.
[[nodiscard]] std::string EncodeRequest(const RelayedRequest& request);
/// \returns what EncodeRequest has written, kInvalidField or kTooLarge.
[[nodiscard]] Result<RelayedRequest> DecodeRequest(std::string_view bytes);

/// The form that hosts of earlier versions take.
[[nodiscard]] Json ToJson(const RelayedRequest& request);
[[nodiscard]] Result<RelayedRequest> RelayedRequestFromJson(const Json& json);

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_RELAY_H_
