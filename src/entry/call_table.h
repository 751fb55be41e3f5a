#ifndef BORAGEWINCH_ENTRY_CALL_TABLE_H_
#define BORAGEWINCH_ENTRY_CALL_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/strong_id.h"
#include "base/time.h"
#include "entry/peer_message.h"

namespace boragewinch {

/// \brief What an open call waits for: a change of its record, the response to
/// a forward or the responses to a find.
enum class CallWait { kRecord, kForward, kFind };

/// \brief A call made by a caller or forwarded by a peer, until it is answered.
struct OpenCall {
  CallKind kind = CallKind::kQuery;
  std::string key;
  RequestId request;
  std::optional<JobSpec> spec;
  TimePoint deadline;
  std::uint32_t hops = 0;
  EntryName origin;  ///< peer that forwarded the call; empty for a caller
  Incarnation origin_incarnation;
  std::uint64_t origin_reference = 0;
  CallWait wait = CallWait::kRecord;
  std::set<EntryName> awaited;  ///< peers that have not responded yet
  /// Peers to ask as well once the current stage is over.
  std::vector<EntryName> fallback_peers;
  /// End of the current stage: a forward then goes to the other peers as well,
  /// a find gives up.
  TimePoint stage_deadline = TimePoint::max();
  TimePoint next_send = TimePoint::max();
  std::uint32_t attempts = 0;
  TimePoint due = TimePoint::max();
};

/// \brief Open calls, indexed by id, request and due time.
class CallTable {
 public:
  OpenCall& Insert(std::uint64_t id, OpenCall call);
  [[nodiscard]] OpenCall* Find(std::uint64_t id);
  void Erase(std::uint64_t id);
  /// \brief Sets the request that the call refers to.
  void SetRequest(std::uint64_t id, const RequestId& request);
  /// \brief Recomputes the call's due time after one of its times has changed.
  void Reschedule(std::uint64_t id);
  /// \returns the calls that are due. They stay due until rescheduled.
  [[nodiscard]] std::vector<std::uint64_t> DueCalls(TimePoint now);
  /// \returns the calls that wait for this process's record of `request`.
  [[nodiscard]] std::vector<std::uint64_t> Waiting(
      const RequestId& request) const;
  /// \returns whether the call that a peer forwarded as `reference` is open.
  [[nodiscard]] bool HasForwarded(const EntryName& origin,
                                  const Incarnation& incarnation,
                                  std::uint64_t reference) const;
  [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }

 private:
  using Origin = std::pair<std::pair<EntryName, Incarnation>, std::uint64_t>;
  std::map<std::uint64_t, OpenCall> calls_;
  std::set<std::pair<RequestId, std::uint64_t>> by_request_;
  std::set<std::pair<TimePoint, std::uint64_t>> due_;
  std::set<Origin> forwarded_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_CALL_TABLE_H_
