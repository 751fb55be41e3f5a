#include "overload/copy_records.h"

#include <algorithm>
#include <utility>

namespace boragewinch::overload {

namespace {

/// Thousandths of a core in a core.
constexpr std::int64_t kMillisPerCore = 1'000;

}  // namespace

void CopyRecords::OnCopy(const jobs::RunName& copy,
                         std::uint32_t original,
                         std::int64_t cpu_millis) {
  records_[copy.task] = {original, copy.number, cpu_millis, false, false, {}};
}

std::optional<CopyOutcome> CopyRecords::OnEnd(const jobs::RunName& run,
                                              jobs::RunEnd how,
                                              Millis ran) {
  const auto found = records_.find(run.task);
  if (found == records_.end())
    return std::nullopt;
  Record& record = found->second;
  const bool is_copy = run.number == record.copy;
  if (!is_copy && run.number != record.original)
    return std::nullopt;
  if (std::exchange(is_copy ? record.copy_ended : record.original_ended, true))
    return std::nullopt;
  CopyOutcome& outcome = record.outcome;
  if (how == jobs::RunEnd::kDone && outcome.first == FirstRun::kNone) {
    outcome.first = is_copy ? FirstRun::kCopy : FirstRun::kOriginal;
  } else if (is_copy || outcome.first == FirstRun::kCopy) {
    outcome.wasted_core_millis +=
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, ran.count()) *
                                   record.cpu_millis / kMillisPerCore);
  }
  if (!record.original_ended || !record.copy_ended)
    return std::nullopt;
  const CopyOutcome result = outcome;
  records_.erase(found);
  return result;
}

void CopyRecords::Retain(
    const std::function<bool(const jobs::TaskName&)>& is_known) {
  std::erase_if(records_,
                [&](const auto& item) { return !is_known(item.first); });
}

}  // namespace boragewinch::overload
