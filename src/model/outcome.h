#ifndef BORAGEWINCH_MODEL_OUTCOME_H_
#define BORAGEWINCH_MODEL_OUTCOME_H_

#include "base/enum_table.h"

namespace boragewinch {

/// \brief Status of a request as reported to its caller.
enum class Outcome {
  kAccepted,
  kRunning,
  kFinished,
  kFailed,
  kRefusedNotRun,
  kCancelled,
  kUnknownMayHaveRun,
};

inline constexpr EnumTable<Outcome, 7> kOutcomes{{{
    {Outcome::kAccepted, "accepted"},
    {Outcome::kRunning, "running"},
    {Outcome::kFinished, "finished"},
    {Outcome::kFailed, "failed"},
    {Outcome::kRefusedNotRun, "refused_not_run"},
    {Outcome::kCancelled, "cancelled"},
    {Outcome::kUnknownMayHaveRun, "unknown_may_have_run"},
}}};

/// \returns whether the outcome of a request can no longer change.
[[nodiscard]] constexpr bool IsFinal(Outcome outcome) noexcept {
  return outcome != Outcome::kAccepted && outcome != Outcome::kRunning &&
         outcome != Outcome::kUnknownMayHaveRun;
}

/// \brief Why a request was refused before it ran.
enum class RefusalReason {
  kNone,
  kBadKey,
  kWithdrawnKey,
  kWrongTeam,
  kLimit,
  kFull,
  kNeverFits,
  kDraining,
  kNoConfiguration,
  kStaleConfiguration,
  kUnknownQueue,
  kUnknownRequest,
  kDeadline,
  kNoBackup,
  kStopping,
  kMalformed,
};

inline constexpr EnumTable<RefusalReason, 16> kRefusalReasons{{{
    {RefusalReason::kNone, "none"},
    {RefusalReason::kBadKey, "bad_key"},
    {RefusalReason::kWithdrawnKey, "withdrawn_key"},
    {RefusalReason::kWrongTeam, "wrong_team"},
    {RefusalReason::kLimit, "limit"},
    {RefusalReason::kFull, "full"},
    {RefusalReason::kNeverFits, "never_fits"},
    {RefusalReason::kDraining, "draining"},
    {RefusalReason::kNoConfiguration, "no_configuration"},
    {RefusalReason::kStaleConfiguration, "stale_configuration"},
    {RefusalReason::kUnknownQueue, "unknown_queue"},
    {RefusalReason::kUnknownRequest, "unknown_request"},
    {RefusalReason::kDeadline, "deadline"},
    {RefusalReason::kNoBackup, "no_backup"},
    {RefusalReason::kStopping, "stopping"},
    {RefusalReason::kMalformed, "malformed"},
}}};

}  // namespace boragewinch

#endif  // BORAGEWINCH_MODEL_OUTCOME_H_
