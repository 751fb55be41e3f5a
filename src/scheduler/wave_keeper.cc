#include "scheduler/wave_keeper.h"

#include <algorithm>
#include <utility>

namespace boragewinch::scheduler {

namespace {

/// Least time between two lists; each is paid for.
constexpr Millis kListInterval{1'000};
/// Pause after an answer that did not take the order.
constexpr Millis kRefusedPause{500};
/// A host counts as gone after so many lists without it.
constexpr int kMissingLists = 2;

}  // namespace

const HostRow* WaveKeeper::FindRow(const HostName& host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? nullptr : &found->second;
}

void WaveKeeper::OnList(const Result<std::vector<HostRow>>& hosts,
                        TimePoint sent,
                        TimePoint now) {
  list_open_ = false;
  list_due_ = now + kListInterval;
  if (!hosts)
    return;
  listed_ = true;
  listed_at_ = sent;
  hosts_.clear();
  for (const HostRow& row : hosts.value())
    hosts_[row.host] = row;
  std::erase_if(missing_,
                [&](const auto& item) { return hosts_.count(item.first) > 0; });
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
  list_due_ = std::min(list_due_, now + down_);
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
  const HostRow* row = FindRow(host);
  if (ordered != ordered_.end()) {
    if (ordered->second.open || now < ordered->second.at + down_ ||
        listed_at_ < ordered->second.at + down_) {
      return true;
    }
  }
  return row != nullptr && row->state == HostState::kMaintenance;
}

WaveSteps WaveKeeper::Decide(const jobs::JobLedger& ledger, TimePoint now) {
  WaveSteps steps;
  clearing_.clear();
  bool any_open = false;
  for (const auto& [number, wave] : ledger.waves()) {
    if (wave.complete())
      continue;
    any_open = true;
    if (listed_)
      DecideWave(ledger, wave, now, &steps);
  }
  if (any_open && !list_open_ && now >= list_due_) {
    list_open_ = true;
    steps.list_hosts = true;
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
      continue;
    }
    if (wave.begun.count(host) > 0)
      continue;
    const HostRow* row = FindRow(host);
    if (row == nullptr) {
      if (list_open_ || now < list_due_)
        continue;
      if (++missing_[host] >= kMissingLists)
        steps->progress.push_back({wave.order.number, host});
      continue;
    }
    const auto refused = refused_until_.find(host);
    if (row->state != HostState::kUp ||
        (refused != refused_until_.end() && now < refused->second)) {
      continue;
    }
    const jobs::Worker* worker =
        row->worker.empty() ? nullptr : ledger.FindPresent(row->worker);
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
      steps->maintain.push_back({item.host, wave.order.number});
  }
}

}  // namespace boragewinch::scheduler
