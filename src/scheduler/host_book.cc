#include "scheduler/host_book.h"

#include <algorithm>

namespace boragewinch::scheduler {

namespace {

/// Time between two lists unless one is needed sooner; each is paid for.
constexpr Millis kListInterval{2'000};
/// Pause after a failed list.
constexpr Millis kRetryPause{500};

}  // namespace

bool HostBook::TakeDue(TimePoint now) {
  if (open_ || now < due_)
    return false;
  open_ = true;
  return true;
}

void HostBook::RefreshBy(TimePoint at) {
  due_ = std::min(due_, at);
}

void HostBook::OnList(const Result<std::vector<HostRow>>& hosts,
                      TimePoint sent,
                      TimePoint now) {
  open_ = false;
  if (!hosts) {
    due_ = now + kRetryPause;
    return;
  }
  due_ = now + kListInterval;
  if (!listed_)
    first_at_ = now;
  listed_ = true;
  listed_at_ = sent;
  std::map<HostName, HostRow> rows;
  for (const HostRow& row : hosts.value())
    rows[row.host] = row;
  for (const auto& [host, row] : rows_) {
    if (rows.count(host) == 0)
      missing_.try_emplace(host, now);
  }
  std::erase_if(missing_,
                [&](const auto& item) { return rows.count(item.first) > 0; });
  rows_ = std::move(rows);
}

const HostRow* HostBook::Find(const HostName& host) const {
  const auto found = rows_.find(host);
  return found == rows_.end() ? nullptr : &found->second;
}

Millis HostBook::MissingFor(const HostName& host, TimePoint now) const {
  if (!listed_ || rows_.count(host) > 0)
    return Millis(0);
  const auto found = missing_.find(host);
  return now - (found == missing_.end() ? first_at_ : found->second);
}

}  // namespace boragewinch::scheduler
