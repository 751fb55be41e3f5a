#include "scheduler/wave_keeper.h"

#include <algorithm>
#include <utility>

namespace boragewinch::scheduler {

namespace {

/// Longest time between two lists while a wave is open.
constexpr Millis kListInterval{1'000};
/// Pause after an answer that did not take the order.
constexpr Millis kRefusedPause{500};
/// A host counts as gone after this time without it in the lists: a crashed one
/// is missing for some seconds and comes back.
constexpr Millis kGoneAfter{30'000};
/// The same for a host whose worker had said that it drains: it was taken away
/// on purpose. A new worker would be listed within some seconds.
constexpr Millis kLeftAfter{8'000};

}  // namespace

void WaveKeeper::Inherit(const HostName& host, TimePoint at) {
  ordered_[host] = {at, false, false};
  hosts_.RefreshBy(at + down_);
}

void WaveKeeper::OnOrderSent(const HostName& host, TimePoint now) {
  ordered_[host] = {now, true, false};
}

std::optional<jobs::WaveProgress> WaveKeeper::OnAnswer(
    const HostName& host,
    std::int64_t wave,
    const Result<HostVerdict>& verdict,
    TimePoint now) {
  Ordered& order = ordered_[host];
  order.open = false;
  order.at = now;
  hosts_.RefreshBy(now + down_);
  if (verdict && verdict.value() == HostVerdict::kDone) {
    order.begun = true;
    return jobs::WaveProgress{wave, host};
  }
  refused_until_[host] = now + kRefusedPause;
  // Without an answer the host may be down: it counts as such until a list
  // shows it up.
  if (verdict)
    ordered_.erase(host);
  return std::nullopt;
}

// A host is down from the order until a list that was asked for after the
// shortest maintenance shows it up again.
bool WaveKeeper::IsDown(const HostName& host, TimePoint now) const {
  const auto ordered = ordered_.find(host);
  const HostRow* row = hosts_.Find(host);
  if (ordered != ordered_.end()) {
    if (ordered->second.open || now < ordered->second.at + down_ ||
        hosts_.listed_at() < ordered->second.at + down_) {
      return true;
    }
  }
  return row != nullptr && row->state == HostState::kMaintenance;
}

WaveSteps WaveKeeper::Decide(const jobs::JobLedger& ledger, TimePoint now) {
  WaveSteps steps;
  clearing_.clear();
  for (const auto& [number, wave] : ledger.waves()) {
    if (wave.complete())
      continue;
    hosts_.RefreshBy(hosts_.listed_at() + kListInterval);
    if (hosts_.listed())
      DecideWave(ledger, wave, now, &steps);
  }
  return steps;
}

void WaveKeeper::DecideWave(const jobs::JobLedger& ledger,
                            const jobs::Wave& wave,
                            TimePoint now,
                            WaveSteps* steps) {
  struct Next {
    HostName host;
    const jobs::Worker* worker = nullptr;
    std::size_t runs = 0;
  };
  std::int64_t down = 0;
  std::vector<Next> next;
  for (const HostName& host : wave.order.hosts) {
    if (IsDown(host, now)) {
      ++down;
      // The order, or one without an answer, ends what runs there until the
      // host's next worker is listed.
      const HostRow* row = hosts_.Find(host);
      const jobs::Worker* worker =
          row == nullptr ? nullptr : ledger.FindPresent(row->worker);
      if (worker != nullptr)
        clearing_.insert(worker->note.life);
      continue;
    }
    if (wave.begun.count(host) > 0)
      continue;
    const HostRow* row = hosts_.Find(host);
    if (row == nullptr) {
      if (hosts_.MissingFor(host, now) >=
          (drained_.count(host) > 0 ? kLeftAfter : kGoneAfter)) {
        steps->progress.push_back({wave.order.number, host});
      }
      continue;
    }
    const jobs::Worker* worker =
        row->worker.empty() ? nullptr : ledger.FindPresent(row->worker);
    if (worker != nullptr && worker->note.draining)
      drained_.insert(host);
    else if (worker != nullptr)
      drained_.erase(host);
    const auto refused = refused_until_.find(host);
    if (row->state != HostState::kUp ||
        (refused != refused_until_.end() && now < refused->second)) {
      continue;
    }
    next.push_back({host, worker, worker == nullptr ? 0 : worker->runs.size()});
  }
  // Empty hosts go first: they need no waiting and stop no task.
  std::stable_sort(next.begin(), next.end(), [](const Next& a, const Next& b) {
    return a.runs < b.runs;
  });
  for (const Next& item : next) {
    if (down >= wave.order.at_once)
      return;
    ++down;
    if (item.worker != nullptr)
      clearing_.insert(item.worker->note.life);
    if (item.runs == 0)
      steps->maintain.push_back({item.host, wave.order.number,
                                 item.worker == nullptr
                                     ? jobs::WorkerLife{}
                                     : item.worker->note.life});
  }
}

}  // namespace boragewinch::scheduler
