#ifndef BORAGEWINCH_SCHEDULER_RELAY_H_
#define BORAGEWINCH_SCHEDULER_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
#include "scheduler/known_hosts.h"
#include "scheduler/request_queue.h"

namespace boragewinch::scheduler {

/// \brief The API surface through which a request came.
enum class Surface { kCallers, kControl };

inline constexpr EnumTable<Surface, 2> kSurfaces{{{
    {Surface::kCallers, "callers"},
    {Surface::kControl, "control"},
}}};

/// \brief A request that is forwarded to the leader.
struct RelayedRequest {
  Surface surface = Surface::kCallers;
  HttpRequest http;
};

struct RelayResult;

using Respond = std::function<void(HttpResponse)>;
using ServeRequest = std::function<void(const RelayedRequest&, const Respond&)>;

/// \brief Which scheduler hosts may respond to a relayed request.
enum class Responders {
  kLeader,
  /// Also a follower, so that frequent reads do not take the processor time of
  /// the leader. Its ledger includes all that was stored before an earlier
  /// response to this client and before RelayClient::Options::max_read_age.
  kFollowers,
};

inline constexpr EnumTable<Responders, 2> kResponders{{{
    {Responders::kLeader, "leader"},
    {Responders::kFollowers, "followers"},
}}};

/// \brief Forwards requests from any process to the leader. It learns the hosts
/// and the leader from responses; the settings name only the initial hosts.
///
/// A failed request is retried until its deadline and may reach the leader
/// twice: all calls of both surfaces are idempotent.
class RelayClient {
 public:
  struct Options {
    std::vector<std::string> hosts;  ///< IPv4 addresses of scheduler hosts
    std::string port;
    /// Timeout of one attempt. A leader responds in about 30 ms; a slow disk or
    /// an election takes about 100 ms to 1 s.
    Millis attempt_timeout{900};
    /// Timeout of the attempt at a follower, which responds from memory.
    Millis follower_timeout{250};
    /// Time for which a follower that did not respond is not asked.
    Millis follower_rest{3'000};
    /// Age of what a follower may respond. The users' platform allows a request
    /// to be handled by the earlier configuration for 2 s.
    Millis max_read_age{1'000};
    Millis retry_delay{60};
    /// Time without a response of any leader after which requests fail early;
    /// an election takes less.
    Millis leader_timeout{1'500};
    /// The response is sent this long before the caller times out.
    Millis response_margin{150};
  };

  RelayClient(EventLoop& loop, RpcClient& rpc, Options options);

  /// \brief Sends `request` until a leader responds, `deadline` passes or no
  /// leader has responded for Options::leader_timeout. Without a response of a
  /// leader the status is 503 if every contacted host replied that it is not
  /// the leader. It is 504 if an attempt got no response, since that attempt
  /// may be carried out, also if the leader rejects a later attempt of a
  /// change.
  /// \param responders kFollowers, for reads: a follower is asked first, and
  /// the leader if that one does not respond or its ledger is too old.
  void Send(const RelayedRequest& request,
            TimePoint deadline,
            const Respond& done,
            Responders responders = Responders::kLeader);
  /// \brief Starts no attempt for any request from `at` on. An attempt in
  /// flight then ends within Options::attempt_timeout.
  void StopRetriesAt(TimePoint at) { no_attempts_from_ = at; }
  /// \brief Sets the members and the leader as a replica on this host knows
  /// them. Without a leader the replica may be cut off and its members old, so
  /// they only add to the known hosts.
  /// \param leader is contacted first; empty: unknown.
  void SetView(const std::vector<std::string>& members,
               const std::string& leader) {
    hosts_.OnMembers(members, !leader.empty());
    leader_ = leader;
  }
  /// \brief Queries a host for the members and the leader.
  void Refresh();
  /// \returns the time of the last response of a leader.
  [[nodiscard]] TimePoint last_leader_response() const noexcept {
    return last_leader_response_;
  }

 private:
  struct Pending;
  void Attempt(const std::shared_ptr<Pending>& pending);
  void OnResult(const std::shared_ptr<Pending>& pending,
                const std::string& host,
                Result<RelayResult> result);
  void UpdateMembers(const Json& view);
  /// \brief Sends the request to one host.
  void AttemptAt(const std::string& host,
                 Millis timeout,
                 const std::shared_ptr<Pending>& pending);
  void OnFollowerResult(const std::shared_ptr<Pending>& pending,
                        const std::string& host,
                        Result<RelayResult> result);
  [[nodiscard]] std::string NextHost();
  /// \returns the next host that is not known to be the leader; empty if there
  /// is none.
  [[nodiscard]] std::string NextFollower();

  EventLoop& loop_;
  RpcClient& rpc_;
  Options options_;
  KnownHosts hosts_;
  std::string leader_;
  TimePoint last_leader_response_;
  /// Followers that did not respond to a read, until they are asked again.
  std::map<std::string, TimePoint> suspended_until_;
  /// Highest index of the ledger in a response.
  std::uint64_t ledger_index_ = 0;
  /// The leader's ledger had an index of at most `ledger_index_` then.
  TimePoint ledger_index_at_;
  TimePoint no_attempts_from_ = TimePoint::max();
};

/// \brief Serves relayed requests on a scheduler host.
class RelayServer {
 public:
  struct Hooks {
    std::function<bool()> leads;
    std::function<std::string()> leader_host;
    std::function<std::vector<std::string>()> hosts;
    ServeRequest serve;
    /// \returns the index of the last entry that the ledger includes.
    std::function<std::uint64_t()> ledger_index;
    /// Responds to a request on a follower; empty if the leader has to. The
    /// hook itself may be empty.
    std::function<std::optional<HttpResponse>(const RelayedRequest&)>
        serve_at_follower;
    RequestQueue::Hooks queue;
  };

  RelayServer(RpcServer* server, Hooks hooks);

 private:
  /// \param respond receives the response of this leader.
  /// \param reply_view receives the known members and leader, or an error.
  void Serve(Result<RelayedRequest> request,
             const Respond& respond,
             const std::function<void(const Result<Json>&)>& reply_view);
  [[nodiscard]] Json View() const;
  [[nodiscard]] std::optional<HttpResponse> ServeAtFollower(
      const Result<RelayedRequest>& request) const;
  void AddLedgerIndex(HttpResponse* response) const;

  Hooks hooks_;
  RequestQueue queue_;
};

/// \returns the binary form of a request.
[[nodiscard]] std::string EncodeRequest(const RelayedRequest& request);
/// \returns what EncodeRequest wrote, kInvalidField or kTooLarge.
[[nodiscard]] Result<RelayedRequest> DecodeRequest(std::string_view bytes);

/// The JSON form, for hosts of earlier versions.
[[nodiscard]] Json ToJson(const RelayedRequest& request);
[[nodiscard]] Result<RelayedRequest> RelayedRequestFromJson(const Json& json);

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_RELAY_H_
