#include "net/body_budget.h"

#include <algorithm>
#include <utility>

namespace boragewinch {

namespace {

constexpr std::size_t kMebibyte = 1024UL * 1024;
/// Memory of the smallest hosts of the deployments.
constexpr std::size_t kDefaultGatewayMemoryMb = 160;
constexpr std::size_t kDefaultSchedulerMemoryMb = 256;
/// An idle process has 16 MiB resident; the rest is for its own tables.
constexpr std::size_t kProcessMemoryMb = 24;
/// The other half covers what is not counted by connection: the parsed form of
/// the message that is being handled, copies while a body grows, the ledger
/// and fragmentation.
constexpr std::size_t kBudgetDivisor = 2;
constexpr std::size_t kMinTotal = 8 * kMebibyte;
/// Largest Raft message.
constexpr std::size_t kReplicationReserve = 16 * kMebibyte;
/// Share of the reserve on hosts that are too small for it: a quarter.
constexpr std::size_t kMaxReserveDivisor = 4;
/// A heartbeat of 4 MiB that is being handled holds three times its size.
constexpr std::size_t kMinConnectionShare = 12 * kMebibyte + kMebibyte / 2;
/// The same beside 32 idle connections of the address.
constexpr std::size_t kMinAddressShare = kMinConnectionShare + kMebibyte;
/// Less free memory is not worth the time that returning it takes.
constexpr std::size_t kMinReturn = 4 * kMebibyte;

}  // namespace

BodyBudgetLimits BodyBudgetLimitsFor(std::int64_t memory_mb,
                                     BodyBudgetUse use) {
  std::size_t memory = use == BodyBudgetUse::kGateway
                           ? kDefaultGatewayMemoryMb
                           : kDefaultSchedulerMemoryMb;
  if (memory_mb > 0)
    memory = static_cast<std::size_t>(memory_mb);
  BodyBudgetLimits limits;
  const std::size_t usable =
      memory > kProcessMemoryMb ? memory - kProcessMemoryMb : 0;
  limits.total = std::max(kMinTotal, usable * kMebibyte / kBudgetDivisor);
  if (use == BodyBudgetUse::kScheduler) {
    limits.replication_reserve =
        std::min(kReplicationReserve, limits.total / kMaxReserveDivisor);
  }
  const std::size_t shared = limits.total - limits.replication_reserve;
  limits.per_connection = std::max(kMinConnectionShare, shared / 2);
  limits.per_address = std::max(kMinAddressShare, shared / 4 * 3);
  return limits;
}

BodyBudget::Id BodyBudget::Open(std::string address, Evict evict) {
  const Id id = next_id_++;
  Holder& holder = holders_[id];
  holder.address = std::move(address);
  holder.evict = std::move(evict);
  ++addresses_[holder.address].connections;
  Enlist(id, &holder);
  return id;
}

void BodyBudget::Close(Id id) {
  const auto found = holders_.find(id);
  if (found == holders_.end())
    return;
  Holder& holder = found->second;
  SetBytes(&holder, 0);
  Delist(&holder);
  if (holder.sender == BodySender::kPublic) {
    const auto address = addresses_.find(holder.address);
    if (--address->second.connections == 0)
      addresses_.erase(address);
  }
  holders_.erase(found);
}

void BodyBudget::Enlist(Id id, Holder* holder) {
  if (!IsEvictable(*holder))
    return;
  Order& order = orders_[static_cast<std::size_t>(holder->sender)];
  holder->position = order.insert(order.end(), id);
  if (holder->sender == BodySender::kPublic) {
    Order& own = addresses_[holder->address].order;
    holder->address_position = own.insert(own.end(), id);
  }
}

void BodyBudget::Delist(Holder* holder) {
  if (!IsEvictable(*holder))
    return;
  orders_[static_cast<std::size_t>(holder->sender)].erase(holder->position);
  if (holder->sender == BodySender::kPublic)
    addresses_[holder->address].order.erase(holder->address_position);
}

void BodyBudget::SetBytes(Holder* holder, std::size_t bytes) {
  held_ = held_ - holder->bytes + bytes;
  peak_ = std::max(peak_, held_);
  if (holder->sender == BodySender::kReplication)
    replication_held_ = replication_held_ - holder->bytes + bytes;
  if (holder->sender == BodySender::kPublic) {
    Address& address = addresses_[holder->address];
    address.bytes = address.bytes - holder->bytes + bytes;
  }
  holder->bytes = bytes;
}

BodyBudget::Id BodyBudget::Oldest(const Order& order, Id id) {
  const auto found = std::find_if(order.begin(), order.end(),
                                  [id](Id other) { return other != id; });
  return found == order.end() ? 0 : *found;
}

BodyBudget::Id BodyBudget::Victim(Id id, const Holder& holder) const {
  for (const BodySender sender : {BodySender::kPublic, BodySender::kPeer}) {
    if (sender > holder.sender)
      break;
    if (const Id oldest = Oldest(orders_[static_cast<std::size_t>(sender)], id);
        oldest != 0) {
      return oldest;
    }
  }
  return 0;
}

void BodyBudget::EvictHolder(Id id) {
  const Evict evict = std::move(holders_.at(id).evict);
  Close(id);
  ++refusals_;
  evict();
}

bool BodyBudget::Exceeds(const Holder& holder, std::size_t more) const {
  std::size_t replication = replication_held_;
  std::size_t others = held_ - replication_held_;
  (holder.sender == BodySender::kReplication ? replication : others) += more;
  return others + std::max(replication, limits_.replication_reserve) >
         limits_.total;
}

bool BodyBudget::Resize(Id id, std::size_t bytes) {
  const auto found = holders_.find(id);
  if (found == holders_.end())
    return false;
  Holder& holder = found->second;
  if (bytes <= holder.bytes) {
    SetBytes(&holder, bytes);
    return true;
  }
  const std::size_t more = bytes - holder.bytes;
  const bool replicates = holder.sender == BodySender::kReplication;
  if (!replicates && bytes > limits_.per_connection)
    return false;
  while (holder.sender == BodySender::kPublic &&
         addresses_[holder.address].bytes + more > limits_.per_address) {
    const Id oldest = Oldest(addresses_[holder.address].order, id);
    if (oldest == 0)
      return false;
    EvictHolder(oldest);
  }
  while (Exceeds(holder, more)) {
    const Id victim = Victim(id, holder);
    if (victim == 0)
      return false;
    EvictHolder(victim);
  }
  SetBytes(&holder, bytes);
  return true;
}

void BodyBudget::ForceResize(Id id, std::size_t bytes) {
  if (const auto found = holders_.find(id); found != holders_.end())
    SetBytes(&found->second, bytes);
}

void BodyBudget::Touch(Id id) {
  const auto found = holders_.find(id);
  if (found == holders_.end())
    return;
  Delist(&found->second);
  Enlist(id, &found->second);
}

void BodyBudget::SetPinned(Id id, bool pinned) {
  const auto found = holders_.find(id);
  if (found == holders_.end() || found->second.pinned == pinned)
    return;
  Delist(&found->second);
  found->second.pinned = pinned;
  Enlist(id, &found->second);
}

void BodyBudget::SetSender(Id id, BodySender sender) {
  const auto found = holders_.find(id);
  if (found == holders_.end() || found->second.sender == sender)
    return;
  Holder& holder = found->second;
  const std::size_t bytes = holder.bytes;
  SetBytes(&holder, 0);
  Delist(&holder);
  if (holder.sender == BodySender::kPublic) {
    const auto address = addresses_.find(holder.address);
    if (--address->second.connections == 0)
      addresses_.erase(address);
  }
  holder.sender = sender;
  if (sender == BodySender::kPublic)
    ++addresses_[holder.address].connections;
  Enlist(id, &holder);
  SetBytes(&holder, bytes);
}

bool BodyBudget::TakeReturnDue() {
  if (peak_ - held_ < kMinReturn)
    return false;
  peak_ = held_;
  return true;
}

}  // namespace boragewinch
