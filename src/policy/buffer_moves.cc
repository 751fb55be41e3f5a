#include "policy/buffer_moves.h"

#include <algorithm>

namespace boragewinch {

namespace {

struct PoolCounts {
  std::int64_t own = 0;        ///< hosts of the pool, without those lent to it
  std::int64_t alive = 0;      ///< including hosts that are moving to it
  std::int64_t available = 0;  ///< in service now
  bool has_lost = false;
};

struct Decider {
  const BufferMoveInput& input;
  const BufferMoveConfig& config;
  std::map<PoolName, PoolCounts> pools;
  std::map<PoolName, const PoolWave*> waves;
  std::int64_t spares = 0;  ///< hosts that can be lent
  std::int64_t lent = 0;
  std::int64_t moves_in_progress = 0;

  void Count();
  [[nodiscard]] bool NeedsPlan() const;
  [[nodiscard]] bool WaveIsOpen(const PoolName& pool) const;
  [[nodiscard]] BufferConfig MakeConfig() const;
  [[nodiscard]] FleetView ViewAfterMoves() const;
  void Cancel(BufferMoves& moves) const;
  void Choose(const BufferPlan& plan, BufferMoves& moves);

  [[nodiscard]] bool IsConfirmedLost(const Host& host) const {
    return host.state == HostState::kLost &&
           input.confirmed_lost.contains(host.name);
  }
  [[nodiscard]] bool IsAvailable(const Host& host) const {
    return host.state == HostState::kActive &&
           !input.unavailable.contains(host.name);
  }
  [[nodiscard]] bool IsSpare(const PoolName& pool) const {
    const auto found = input.fleet.pools.find(pool);
    return found != input.fleet.pools.end() && found->second.spare;
  }
  [[nodiscard]] std::int64_t MinAvailable(const PoolName& pool) const {
    const auto found = input.fleet.pools.find(pool);
    return found == input.fleet.pools.end() ? 0 : found->second.min_available;
  }
};

void Decider::Count() {
  for (const PoolWave& wave : input.waves)
    waves[wave.pool] = &wave;
  for (const auto& [name, host] : input.fleet.hosts) {
    PoolCounts& pool = pools[host.pool];
    pool.own += host.lent_from.empty() ? 1 : 0;
    pool.available += IsAvailable(host) ? 1 : 0;
    pool.has_lost = pool.has_lost || host.state == HostState::kLost;
    const auto move = input.pending.find(name);
    const bool moves = move != input.pending.end();
    const PoolName& target = moves ? move->second.pool : host.pool;
    pools[target].alive += IsConfirmedLost(host) ? 0 : 1;
    lent += host.lent_from.empty() ? 0 : 1;
    spares += IsSpare(host.pool) && IsAvailable(host) && !moves ? 1 : 0;
    const bool arrives =
        !host.lent_from.empty() && host.state == HostState::kReturning;
    const bool automatic = moves && move->second.operator_name.empty();
    moves_in_progress += arrives || automatic ? 1 : 0;
  }
}

bool Decider::WaveIsOpen(const PoolName& pool) const {
  const auto wave = waves.find(pool);
  return wave != waves.end() &&
         (wave->second->due > 0 || wave->second->in_maintenance > 0);
}

// Planning iterates over all failure domains; usually no plan is needed.
bool Decider::NeedsPlan() const {
  if (lent > 0)
    return true;
  if (spares == 0)
    return false;
  return std::any_of(
      input.fleet.pools.begin(), input.fleet.pools.end(),
      [this](const auto& item) {
        const auto counts = pools.find(item.first);
        const std::int64_t alive =
            counts == pools.end() ? 0 : counts->second.alive;
        const auto wave = waves.find(item.first);
        return !item.second.spare &&
               (alive < item.second.min_available ||
                (wave != waves.end() && wave->second->lend_wanted > 0));
      });
}

BufferConfig Decider::MakeConfig() const {
  BufferConfig buffer;
  std::map<PoolName, std::int64_t> lent_to;
  for (const auto& [name, host] : input.fleet.hosts)
    lent_to[host.pool] += host.lent_from.empty() ? 0 : 1;
  for (const auto& [name, counts] : pools) {
    if (!input.fleet.pools.contains(name))
      continue;
    buffer.base_size[name] = counts.own;
    const auto wave = waves.find(name);
    const std::int64_t wanted =
        wave == waves.end() ? 0 : wave->second->lend_wanted;
    // An entry blocks all returns, so pools whose wave neither uses nor needs
    // borrowed hosts get none.
    if (wanted > 0 || (lent_to[name] > 0 && WaveIsOpen(name))) {
      buffer.wanted[name] = wanted;
      buffer.lend_maintained_since = std::max(
          buffer.lend_maintained_since, input.fleet.pools.at(name).wave_since);
    }
  }
  buffer.return_lent_until = input.wall - config.min_stay_seconds;
  return buffer;
}

// The fleet after all pending moves. Hosts that are alive but must not be
// selected are shown as returning.
FleetView Decider::ViewAfterMoves() const {
  FleetView view;
  view.version = input.fleet.version;
  view.pools = input.fleet.pools;
  view.teams = input.fleet.teams;
  view.queues = input.fleet.queues;
  view.hosts = input.fleet.hosts;
  for (auto& [name, host] : view.hosts) {
    const bool confirmed_lost = IsConfirmedLost(host);
    const bool moves = input.pending.contains(name);
    if (moves)
      host.pool = input.pending.at(name).pool;
    if (!confirmed_lost && (moves || !IsAvailable(host)))
      host.state = HostState::kReturning;
  }
  return view;
}

void Decider::Cancel(BufferMoves& moves) const {
  for (const auto& [name, move] : input.pending) {
    const auto host = input.fleet.hosts.find(name);
    if (host == input.fleet.hosts.end() || move.moved ||
        !move.operator_name.empty() || host->second.lent_from.empty() ||
        host->second.state == HostState::kLost)
      continue;
    const PoolName& pool = host->second.pool;
    if (pools.at(pool).available < MinAvailable(pool))
      moves.cancel.push_back(name);
  }
}

void Decider::Choose(const BufferPlan& plan, BufferMoves& moves) {
  for (const HostMove& move : plan.moves) {
    if (moves_in_progress >= config.max_concurrent)
      return;
    PoolCounts& from = pools[move.from];
    if (from.available - 1 < MinAvailable(move.from))
      continue;
    const bool lends = IsSpare(move.from);
    if (!lends && (WaveIsOpen(move.from) || from.has_lost))
      continue;
    --from.available;
    ++moves_in_progress;
    (lends ? moves.lend : moves.returns).push_back(move);
  }
}

}  // namespace

Status BufferMoveConfig::Check() const {
  if (max_concurrent < 0 || loss_delay < Millis(0) || min_stay_seconds < 0)
    return Fail(ErrorCode::kInvalidSetting,
                "buffer-moves, buffer-settle-ms and buffer-stay-seconds "
                "must not be negative");
  return Ok();
}

BufferMoves DecideBufferMoves(const BufferMoveInput& input,
                              const BufferMoveConfig& config) {
  BufferMoves moves;
  if (config.max_concurrent == 0)
    return moves;
  Decider decider{input, config, {}, {}, 0, 0, 0};
  decider.Count();
  decider.Cancel(moves);
  if (!decider.NeedsPlan())
    return moves;
  decider.Choose(
      PlanBuffers(decider.ViewAfterMoves(), {}, decider.MakeConfig()), moves);
  return moves;
}

}  // namespace boragewinch
