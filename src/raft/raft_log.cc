#include "raft/raft_log.h"

#include <algorithm>

#include "base/json.h"

namespace boragewinch::raft {

RaftLog::RaftLog(const Snapshot& snapshot,
                 std::uint64_t first,
                 std::vector<Entry> entries) {
  Reset(snapshot);
  // Entries covered by the snapshot are skipped: the hash chain can only be
  // continued from the snapshot on.
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (first + i > snapshot.index)
      Append(std::move(entries[i]));
  }
}

std::optional<std::uint64_t> RaftLog::TermAt(std::uint64_t index) const {
  if (index < base_ || index > last_index())
    return std::nullopt;
  return index == base_ ? base_term_ : At(index).term;
}

std::optional<std::uint64_t> RaftLog::ChainAt(std::uint64_t index) const {
  if (index < base_ || index > last_index())
    return std::nullopt;
  return index == base_ ? base_chain_ : items_[index - base_ - 1].chain;
}

void RaftLog::Append(Entry entry) {
  const std::uint64_t chain = ChainHash(*ChainAt(last_index()), entry);
  if (entry.kind == EntryKind::kConfiguration) {
    // Entries were validated when they were received or read.
    if (const auto json = ParseTrustedJson(entry.data)) {
      if (auto members = ConfigurationFromJson(json.value()))
        configurations_.emplace_back(last_index() + 1, members.value());
    }
  }
  const std::uint64_t bytes = BytesUpTo(last_index()) + entry.data.size();
  items_.push_back({std::move(entry), chain, bytes});
}

std::uint64_t RaftLog::FirstWithin(std::uint64_t bytes,
                                   std::uint64_t last) const {
  const std::uint64_t end = BytesUpTo(last);
  if (end - base_bytes_ <= bytes)
    return base_;
  const auto first =
      std::lower_bound(items_.begin(), items_.end(), end - bytes,
                       [](const Item& item, std::uint64_t least) {
                         return item.bytes_up_to < least;
                       });
  return base_ + 1 + static_cast<std::uint64_t>(first - items_.begin());
}

void RaftLog::TruncateSuffix(std::uint64_t from) {
  items_.resize(from - base_ - 1);
  while (configurations_.back().first >= from)
    configurations_.pop_back();
}

void RaftLog::DropPrefix(std::uint64_t index) {
  if (index <= base_ || index > last_index())
    return;
  base_term_ = At(index).term;
  base_chain_ = *ChainAt(index);
  base_bytes_ = BytesUpTo(index);
  items_.erase(items_.begin(),
               items_.begin() + static_cast<std::ptrdiff_t>(index - base_));
  base_ = index;
  while (configurations_.size() > 1 && configurations_[1].first <= base_)
    configurations_.erase(configurations_.begin());
}

void RaftLog::Reset(const Snapshot& snapshot) {
  items_.clear();
  base_ = snapshot.index;
  base_term_ = snapshot.term;
  base_chain_ = snapshot.chain;
  base_bytes_ = 0;
  configurations_.assign(1, {snapshot.index, snapshot.configuration});
}

const Configuration& RaftLog::ConfigurationAt(std::uint64_t index) const {
  std::size_t at = configurations_.size() - 1;
  while (at > 0 && configurations_[at].first > index)
    --at;
  return configurations_[at].second;
}

}  // namespace boragewinch::raft
