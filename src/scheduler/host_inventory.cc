#include "scheduler/host_inventory.h"

#include <algorithm>

namespace boragewinch::scheduler {

namespace {

/// Time between two lists unless one is needed sooner; the platform charges for
/// each.
constexpr Millis kListInterval{2'000};
/// Delay before a failed list request is retried.
constexpr Millis kRetryDelay{500};

}  // namespace

bool HostInventory::StartRequestIfDue(TimePoint now) {
  if (request_pending_ || now < due_)
    return false;
  request_pending_ = true;
  return true;
}

void HostInventory::RefreshBy(TimePoint at) {
  due_ = std::min(due_, at);
}

void HostInventory::OnList(const Result<std::vector<HostRow>>& hosts,
                           TimePoint sent,
                           TimePoint now) {
  request_pending_ = false;
  if (!hosts) {
    due_ = now + kRetryDelay;
    return;
  }
  due_ = now + kListInterval;
  if (!listed_)
    first_listed_at_ = now;
  listed_ = true;
  listed_at_ = sent;
  std::map<HostName, HostRow> rows;
  for (const HostRow& row : hosts.value())
    rows[row.host] = row;
  for (const auto& [host, row] : rows_) {
    if (rows.count(host) == 0)
      missing_since_.try_emplace(host, now);
  }
  std::erase_if(missing_since_,
                [&](const auto& item) { return rows.count(item.first) > 0; });
  rows_ = std::move(rows);
}

const HostRow* HostInventory::Find(const HostName& host) const {
  const auto found = rows_.find(host);
  return found == rows_.end() ? nullptr : &found->second;
}

Millis HostInventory::MissingFor(const HostName& host, TimePoint now) const {
  if (!listed_ || rows_.count(host) > 0)
    return Millis(0);
  const auto found = missing_since_.find(host);
  return now -
         (found == missing_since_.end() ? first_listed_at_ : found->second);
}

}  // namespace boragewinch::scheduler
