#include "policy/placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "policy/free_capacity_tree.h"

namespace boragewinch {

namespace {

// Running tasks of one queue in one pool.
struct Spread {
  std::unordered_map<ZoneName, std::int64_t> zones;
  std::unordered_map<RackName, std::int64_t> racks;
  std::unordered_map<HostName, std::int64_t> hosts;
};

struct ResourcesLess {
  bool operator()(const Resources& a, const Resources& b) const noexcept {
    return std::tuple(a.cpu_millis, a.memory_mb, a.accelerators) <
           std::tuple(b.cpu_millis, b.memory_mb, b.accelerators);
  }
};

struct PoolIndex {
  FreeCapacityTree free_capacity;
  std::vector<HostName> hosts;  // by position; empty if unused
  std::vector<std::size_t> unused;
  std::int64_t free_slots = 0;  // of accepting workers
  // Number of workers by total capacity. Pools have few distinct capacities, so
  // a linear search is cheap.
  std::map<Resources, std::size_t, ResourcesLess> capacities;
  std::unordered_map<QueueName, Spread> spread;
};

struct WorkerEntry {
  WorkerView view;
  std::size_t position = 0;
  std::map<QueueName, std::int64_t> tasks;
};

template <typename Map, typename Key>
[[nodiscard]] std::int64_t CountOf(const Map& map, const Key& key) {
  const auto found = map.find(key);
  return found == map.end() ? 0 : found->second;
}

template <typename Map, typename Key>
void AddTo(Map& map, const Key& key, std::int64_t change) {
  const auto found = map.try_emplace(key, 0).first;
  found->second += change;
  if (found->second <= 0)
    map.erase(found);
}

}  // namespace

struct Placement::Impl {
  explicit Impl(const PlacementConfig& checked) : config(checked) {}

  [[nodiscard]] static FreeCapacity FreeCapacityOf(
      const WorkerView& view) noexcept {
    return view.accepting ? FreeCapacity{view.free_slots, view.free}
                          : FreeCapacity{};
  }

  void Reindex(PoolIndex& pool, const WorkerEntry& entry) {
    pool.free_slots -= pool.free_capacity.at(entry.position).slots;
    const FreeCapacity capacity = FreeCapacityOf(entry.view);
    pool.free_capacity.Set(entry.position, capacity);
    pool.free_slots += capacity.slots;
  }

  static void CountTasks(PoolIndex& pool,
                         const WorkerView& view,
                         const QueueName& queue,
                         std::int64_t change) {
    Spread& spread = pool.spread[queue];
    AddTo(spread.zones, view.zone, change);
    AddTo(spread.racks, view.rack, change);
    AddTo(spread.hosts, view.host, change);
    if (spread.zones.empty())
      pool.spread.erase(queue);
  }

  void Insert(WorkerEntry& entry) {
    PoolIndex& pool = pools[entry.view.pool];
    if (pool.unused.empty()) {
      entry.position = pool.hosts.size();
      pool.hosts.push_back(entry.view.host);
      pool.free_capacity.Set(entry.position, FreeCapacity{});
    } else {
      entry.position = pool.unused.back();
      pool.unused.pop_back();
      pool.hosts[entry.position] = entry.view.host;
    }
    ++pool.capacities[entry.view.total];
    Reindex(pool, entry);
    for (const auto& [queue, count] : entry.tasks)
      CountTasks(pool, entry.view, queue, count);
  }

  void Erase(const WorkerEntry& entry) {
    const auto found = pools.find(entry.view.pool);
    PoolIndex& pool = found->second;
    for (const auto& [queue, count] : entry.tasks)
      CountTasks(pool, entry.view, queue, -count);
    pool.free_slots -= pool.free_capacity.at(entry.position).slots;
    pool.free_capacity.Set(entry.position, FreeCapacity{});
    pool.hosts[entry.position] = HostName();
    pool.unused.push_back(entry.position);
    if (--pool.capacities.find(entry.view.total)->second == 0)
      pool.capacities.erase(entry.view.total);
    if (pool.unused.size() == pool.hosts.size())
      pools.erase(found);
  }

  // Cost of one more task of the queue on the worker; lower is better.
  [[nodiscard]] double Cost(const WorkerView& view,
                            const Spread* spread) const {
    const auto free_slots = static_cast<double>(view.free_slots);
    double cost =
        config.rule == PackingRule::kSpread ? -free_slots : free_slots;
    if (spread != nullptr) {
      cost += config.zone_weight *
              static_cast<double>(CountOf(spread->zones, view.zone));
      cost += config.rack_weight *
              static_cast<double>(CountOf(spread->racks, view.rack));
      cost += config.host_weight *
              static_cast<double>(CountOf(spread->hosts, view.host));
    }
    return cost;
  }

  // Whether another worker than the avoided one could run the job when idle.
  // Linear, but called only for jobs whose last start failed.
  [[nodiscard]] bool OtherCanHold(const PoolIndex& pool,
                                  const PendingJob& job) const {
    return std::any_of(
        pool.hosts.begin(), pool.hosts.end(), [&](const HostName& host) {
          if (host.empty() || host == job.avoid)
            return false;
          const WorkerView& view = workers.at(host).view;
          return view.accepting && job.demand.FitsInto(view.total);
        });
  }

  PlacementConfig config;
  std::unordered_map<PoolName, PoolIndex> pools;
  std::unordered_map<HostName, WorkerEntry> workers;
};

Result<Placement> Placement::Make(const PlacementConfig& config) {
  BW_CHECK(config.Check());
  return Placement(std::make_unique<Impl>(config));
}

Placement::Placement(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Placement::Placement(Placement&&) noexcept = default;
Placement& Placement::operator=(Placement&&) noexcept = default;
Placement::~Placement() = default;

void Placement::UpdateWorker(const WorkerView& worker, TimePoint /*now*/) {
  const auto [found, added] =
      impl_->workers.try_emplace(worker.host, WorkerEntry{worker, 0, {}});
  WorkerEntry& entry = found->second;
  if (added) {
    impl_->Insert(entry);
    return;
  }
  const bool same_place =
      entry.view.pool == worker.pool && entry.view.zone == worker.zone &&
      entry.view.rack == worker.rack && entry.view.total == worker.total;
  if (same_place) {
    entry.view = worker;
    impl_->Reindex(impl_->pools.at(worker.pool), entry);
    return;
  }
  impl_->Erase(entry);
  entry.view = worker;
  impl_->Insert(entry);
}

bool Placement::RemoveWorker(const HostName& host) {
  const auto found = impl_->workers.find(host);
  if (found == impl_->workers.end())
    return false;
  impl_->Erase(found->second);
  impl_->workers.erase(found);
  return true;
}

std::optional<HostName> Placement::Choose(const PendingJob& job,
                                          TimePoint /*now*/) const {
  const auto found = impl_->pools.find(job.pool);
  if (found == impl_->pools.end())
    return std::nullopt;
  const PoolIndex& pool = found->second;
  const auto spread = pool.spread.find(job.queue);
  const Spread* counts =
      spread == pool.spread.end() ? nullptr : &spread->second;
  const std::size_t size = pool.free_capacity.size();
  // The scan begins at a different position for each job; otherwise only the
  // first workers of a large pool would be compared.
  const std::size_t begin =
      size <= impl_->config.candidates ? 0 : Hash64(job.id.str()) % size;
  // Candidates are taken with a stride over the whole pool, since adjacent
  // positions are often in one rack.
  const std::size_t stride =
      std::max<std::size_t>(1, size / impl_->config.candidates);
  const HostName* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  std::size_t from = begin;
  std::size_t end = size;
  for (std::size_t i = 0; i < impl_->config.candidates; ++i) {
    std::size_t position = pool.free_capacity.Find(from, job.demand);
    if (position == FreeCapacityTree::kNone && end > begin) {
      end = begin;
      position = pool.free_capacity.Find(0, job.demand);
    }
    if (position >= end)
      break;
    const HostName& host = pool.hosts[position];
    from = position + stride;
    if (host == job.avoid && impl_->OtherCanHold(pool, job))
      continue;
    const double cost = impl_->Cost(impl_->workers.at(host).view, counts);
    if (cost < best_cost) {
      best_cost = cost;
      best = &host;
    }
  }
  return best == nullptr ? std::nullopt : std::optional<HostName>(*best);
}

void Placement::OnPlaced(const PendingJob& job, const HostName& host) {
  const auto found = impl_->workers.find(host);
  if (found == impl_->workers.end())
    return;
  WorkerEntry& entry = found->second;
  --entry.view.free_slots;
  entry.view.free -= job.demand;
  ++entry.tasks[job.queue];
  PoolIndex& pool = impl_->pools.at(entry.view.pool);
  Impl::CountTasks(pool, entry.view, job.queue, 1);
  impl_->Reindex(pool, entry);
}

void Placement::OnEnded(const QueueName& queue,
                        const Resources& demand,
                        const HostName& host) {
  const auto found = impl_->workers.find(host);
  if (found == impl_->workers.end())
    return;
  WorkerEntry& entry = found->second;
  const auto task = entry.tasks.find(queue);
  if (task == entry.tasks.end())
    return;
  if (--task->second == 0)
    entry.tasks.erase(task);
  ++entry.view.free_slots;
  entry.view.free += demand;
  PoolIndex& pool = impl_->pools.at(entry.view.pool);
  Impl::CountTasks(pool, entry.view, queue, -1);
  impl_->Reindex(pool, entry);
}

bool Placement::NeverFits(const Resources& demand, const PoolName& pool) const {
  const auto found = impl_->pools.find(pool);
  if (found == impl_->pools.end())
    return false;
  return std::none_of(
      found->second.capacities.begin(), found->second.capacities.end(),
      [&](const auto& item) { return demand.FitsInto(item.first); });
}

std::optional<WorkerView> Placement::Find(const HostName& host) const {
  const auto found = impl_->workers.find(host);
  if (found == impl_->workers.end())
    return std::nullopt;
  return found->second.view;
}

std::int64_t Placement::FreeSlots(const PoolName& pool) const {
  const auto found = impl_->pools.find(pool);
  return found == impl_->pools.end() ? 0 : found->second.free_slots;
}

std::size_t Placement::size() const noexcept {
  return impl_->workers.size();
}

}  // namespace boragewinch
