#ifndef BORAGEWINCH_NET_BODY_BUDGET_H_
#define BORAGEWINCH_NET_BODY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace boragewinch {

/// \brief Who sends a request. A sender takes no memory from later ones.
enum class BodySender {
  kPublic,       ///< callers, workers, operators, and whoever has no secret
  kPeer,         ///< a process with the cluster secret
  kReplication,  ///< the same, for messages that replicate the ledger
};

/// \brief Limits of a BodyBudget, in bytes.
struct BodyBudgetLimits {
  std::size_t total = 0;
  /// Part of `total` that only kReplication may use.
  std::size_t replication_reserve = 0;
  std::size_t per_connection = 0;
  std::size_t per_address = 0;  ///< of kPublic

  friend bool operator==(const BodyBudgetLimits&,
                         const BodyBudgetLimits&) = default;
};

/// \brief Whether the process replicates the ledger.
enum class BodyBudgetUse { kGateway, kScheduler };

/// \param memory_mb memory of the host in MiB; 0: unknown, a default applies.
/// \returns the limits for a process that has the host for itself.
[[nodiscard]] BodyBudgetLimits BodyBudgetLimitsFor(std::int64_t memory_mb,
                                                   BodyBudgetUse use);

/// \brief One limit for the memory that all connections of a process cause:
/// their buffers, bodies, what handling a body needs, and unread responses.
///
/// If a connection needs bytes that are not free, the connections without
/// progress for the longest time are evicted. Designed for up to 4,096
/// connections; each call takes logarithmic time, and each eviction as well.
/// Does no I/O.
class BodyBudget {
 public:
  using Id = std::uint64_t;
  /// Closes an evicted connection. Must not call the budget, except Close of
  /// the same connection.
  using Evict = std::function<void()>;

  explicit BodyBudget(BodyBudgetLimits limits) : limits_(limits) {}
  BodyBudget(const BodyBudget&) = delete;
  BodyBudget& operator=(const BodyBudget&) = delete;

  /// \brief Adds a connection of kPublic that holds no bytes.
  /// \param address of the client, without port.
  [[nodiscard]] Id Open(std::string address, Evict evict);
  /// \brief Removes a connection; no effect if it is evicted or removed.
  void Close(Id id);
  /// \brief Sets how many bytes the connection holds, before it stores them.
  /// \returns false if they are not granted, or the connection is evicted; it
  /// then holds as many as before. Fewer bytes than before are always granted.
  [[nodiscard]] bool Resize(Id id, std::size_t bytes);
  /// \brief Like Resize, without the limits: for bytes that exist already.
  void ForceResize(Id id, std::size_t bytes);
  /// \brief Notes progress of the connection.
  void Touch(Id id);
  /// \brief A pinned connection is not evicted: its request is being handled.
  void SetPinned(Id id, bool pinned);
  /// \brief Sets who sends on the connection from now on.
  void SetSender(Id id, BodySender sender);
  /// \brief Counts a request or connection that was refused for memory.
  void CountRefusal() { ++refusals_; }

  [[nodiscard]] const BodyBudgetLimits& limits() const { return limits_; }
  [[nodiscard]] std::size_t held() const { return held_; }
  [[nodiscard]] std::size_t connections() const { return holders_.size(); }
  /// \returns the number of evicted connections and refused requests.
  [[nodiscard]] std::uint64_t refusals() const { return refusals_; }
  /// \returns whether memory that was held since the last call that returned
  /// true is free now and large enough to be returned to the operating system.
  [[nodiscard]] bool TakeReturnDue();

 private:
  static constexpr std::size_t kSenders = 3;

  /// Ids, the one without progress for the longest time first.
  using Order = std::list<Id>;
  struct Address {
    std::size_t bytes = 0;
    std::size_t connections = 0;
    Order order;  ///< its connections that can be evicted
  };
  struct Holder {
    std::string address;
    Evict evict;
    BodySender sender = BodySender::kPublic;
    std::size_t bytes = 0;
    bool pinned = false;
    /// Positions in the orders; valid if the holder can be evicted.
    Order::iterator position;
    Order::iterator address_position;
  };

  [[nodiscard]] bool IsEvictable(const Holder& holder) const {
    return !holder.pinned && holder.sender != BodySender::kReplication;
  }
  void Enlist(Id id, Holder* holder);
  void Delist(Holder* holder);
  void SetBytes(Holder* holder, std::size_t bytes);
  /// \returns the connection in `order` to evict, other than `id`; 0 if none.
  [[nodiscard]] static Id Oldest(const Order& order, Id id);
  /// \returns the connection that `id` may evict; 0 if there is none.
  [[nodiscard]] Id Victim(Id id, const Holder& holder) const;
  /// \returns whether `more` bytes of `holder` exceed the limit of all.
  [[nodiscard]] bool Exceeds(const Holder& holder, std::size_t more) const;
  void EvictHolder(Id id);

  BodyBudgetLimits limits_;
  std::map<Id, Holder> holders_;
  std::map<std::string, Address> addresses_;  ///< of kPublic
  std::array<Order, kSenders> orders_;
  Id next_id_ = 1;
  std::size_t held_ = 0;
  std::size_t replication_held_ = 0;  ///< part of `held_` of kReplication
  std::size_t peak_ = 0;              ///< since the last return of memory
  std::uint64_t refusals_ = 0;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_NET_BODY_BUDGET_H_
