#ifndef BORAGEWINCH_RAFT_RAFT_LOG_H_
#define BORAGEWINCH_RAFT_RAFT_LOG_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "raft/configuration.h"
#include "raft/entry.h"
#include "raft/snapshot.h"

namespace boragewinch::raft {

/// \brief The in-memory part of the log: the entries after the base index, and
/// the configurations that they contain. Of the entries up to the base, only
/// the term, hash chain and configuration at the base are kept.
class RaftLog {
 public:
  /// \param snapshot gives the base and its configuration.
  /// \param first index of entries[0], at most snapshot index + 1.
  RaftLog(const Snapshot& snapshot,
          std::uint64_t first,
          std::vector<Entry> entries);

  [[nodiscard]] std::uint64_t base_index() const noexcept { return base_; }
  [[nodiscard]] std::uint64_t last_index() const noexcept {
    return base_ + items_.size();
  }
  [[nodiscard]] std::uint64_t last_term() const {
    return *TermAt(last_index());
  }

  /// \returns the term of the entry `index`, or nothing if it is not in memory.
  [[nodiscard]] std::optional<std::uint64_t> TermAt(std::uint64_t index) const;
  /// \returns ChainHash at `index`, or nothing if it is not in memory.
  [[nodiscard]] std::optional<std::uint64_t> ChainAt(std::uint64_t index) const;
  /// \param index greater than base_index() and at most last_index().
  [[nodiscard]] const Entry& At(std::uint64_t index) const {
    return items_.at(index - base_ - 1).entry;
  }
  /// \returns the data bytes of the entries after `after` up to `last`, both in
  /// memory or at the base.
  [[nodiscard]] std::uint64_t BytesBetween(std::uint64_t after,
                                           std::uint64_t last) const {
    return BytesUpTo(last) - BytesUpTo(after);
  }
  /// \returns the lowest index after which the entries up to `last` have at
  /// most `bytes` data bytes; at least base_index().
  [[nodiscard]] std::uint64_t FirstWithin(std::uint64_t bytes,
                                          std::uint64_t last) const;

  void Append(Entry entry);
  /// \brief Removes the entries from `from` on; `from` is above the base.
  void TruncateSuffix(std::uint64_t from);
  /// \brief Moves the base up to `index`, whose entry must be in memory.
  void DropPrefix(std::uint64_t index);
  /// \brief Removes all entries; the snapshot becomes the base.
  void Reset(const Snapshot& snapshot);

  /// \returns the latest configuration, committed or not.
  [[nodiscard]] const Configuration& configuration() const {
    return configurations_.back().second;
  }
  /// \returns the index of the entry that holds configuration().
  [[nodiscard]] std::uint64_t configuration_index() const {
    return configurations_.back().first;
  }
  /// \returns the configuration in force at `index`.
  /// \param index at least base_index().
  [[nodiscard]] const Configuration& ConfigurationAt(std::uint64_t index) const;

 private:
  struct Item {
    Entry entry;
    std::uint64_t chain = 0;
    std::uint64_t bytes_up_to = 0;  ///< data bytes since Reset, inclusive
  };

  [[nodiscard]] std::uint64_t BytesUpTo(std::uint64_t index) const {
    return index == base_ ? base_bytes_
                          : items_.at(index - base_ - 1).bytes_up_to;
  }

  std::uint64_t base_ = 0;
  std::uint64_t base_term_ = 0;
  std::uint64_t base_chain_ = 0;
  std::uint64_t base_bytes_ = 0;
  std::deque<Item> items_;
  std::vector<std::pair<std::uint64_t, Configuration>> configurations_;
};

}  // namespace boragewinch::raft

#endif  // BORAGEWINCH_RAFT_RAFT_LOG_H_
