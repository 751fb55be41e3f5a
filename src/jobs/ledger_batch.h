#ifndef BORAGEWINCH_JOBS_LEDGER_BATCH_H_
#define BORAGEWINCH_JOBS_LEDGER_BATCH_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"
#include "base/result.h"
#include "jobs/fleet_config.h"
#include "jobs/job_types.h"

namespace boragewinch::jobs {

/// \brief A worker as it reported itself.
struct WorkerRecord {
  WorkerIncarnation incarnation;
  std::string address;  ///< "IP:port" of its API
  HostName host;        ///< empty if not reported
  PoolName pool;
  ZoneName zone;
  RackName rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  bool departed = false;  ///< this incarnation has ended

  /// \returns whether the worker has the label; each one has the empty label.
  [[nodiscard]] bool HasLabel(const std::string& label) const {
    return label.empty() ||
           std::find(labels.begin(), labels.end(), label) != labels.end();
  }

  friend bool operator==(const WorkerRecord&, const WorkerRecord&) = default;
};

/// \brief A job that a caller submitted.
struct Submission {
  JobId id;
  QueueName queue;        ///< its name when the submission was accepted
  CustomerName customer;  ///< empty on a queue that is open to all
  JobSpec spec;
  /// Identity of the queue, whose name a configuration that is stored before
  /// the submission may change. An empty prefix: unknown, as in the entries of
  /// earlier versions.
  std::string virtual_host;
  std::string path_prefix;
};

/// \brief The cancellation of a job that was not known when it arrived. The
/// queue and the customer are part of it, as others may use the same id.
struct UnseenCancel {
  JobId id;
  std::string virtual_host;
  std::string path_prefix;
  CustomerName customer;

  friend auto operator<=>(const UnseenCancel&, const UnseenCancel&) = default;
};

/// \brief The end of a run, reported by the worker or inferred by the leader.
struct EndRecord {
  RunName run;
  WorkerIncarnation worker;
  RunEnd how = RunEnd::kDone;
  std::string checkpoint;
  /// Sequence number of the end at the worker; 0 for an inferred end.
  std::int64_t end_sequence = 0;
};

/// \brief The decision to start a run, stored before the start request is sent.
struct StartRecord {
  RunName run;
  WorkerIncarnation worker;
};

/// \brief Opens a due occurrence of a repeated job.
struct OpeningRecord {
  JobId job;
  std::uint32_t occurrence = 0;
};

/// \brief A wave of host maintenance that an operator requested.
struct WaveOrder {
  std::int64_t number = 0;
  std::vector<HostName> hosts;
  Millis duration{0};
  std::int64_t at_once = 1;  ///< hosts that may be down at the same time
};

/// \brief A host of a wave whose maintenance has begun or which the platform no
/// longer has.
struct WaveProgress {
  std::int64_t wave = 0;
  HostName host;
};

/// \brief An order for a host, stored before the leader sends it to the
/// platform, so that the next leader knows which hosts the platform may still
/// be changing.
struct HostOrderRecord {
  HostName host;
  std::uint64_t term = 0;  ///< of the leader that issues it
  std::int64_t wave = 0;   ///< for maintenance; 0 for a move
  PoolName to;             ///< for a move; empty for maintenance
};

/// \brief An operator's order to evacuate an availability zone or to return it
/// to use.
struct ZoneChange {
  ZoneName zone;
  bool evacuated = true;

  friend bool operator==(const ZoneChange&, const ZoneChange&) = default;
};

/// \brief One entry of the replicated log: changes that are applied together.
/// JobLedger::Apply defines their order.
struct Batch {
  UnixMillis now = 0;  ///< the leader's wall-clock time
  std::optional<FleetConfig> config;
  std::vector<WorkerRecord> workers;
  std::vector<Submission> submissions;
  std::vector<JobId> cancels;
  std::vector<UnseenCancel> unseen_cancels;
  std::vector<OpeningRecord> openings;
  /// Runs that their workers execute or have executed, of jobs that were not
  /// known to have begun. Listed ends show the same, so most jobs need none.
  std::vector<RunName> begun;
  /// Runs that have begun with the only start that was ever sent for their
  /// task, so that no start of the task is under way any more.
  std::vector<RunName> confirmed;
  std::vector<EndRecord> ends;
  std::vector<StartRecord> starts;
  std::vector<WaveOrder> waves;
  std::vector<WaveProgress> progress;
  std::vector<HostOrderRecord> host_orders;
  std::vector<ZoneChange> zone_changes;

  [[nodiscard]] bool empty() const noexcept {
    return !config && workers.empty() && submissions.empty() &&
           cancels.empty() && unseen_cancels.empty() && openings.empty() &&
           begun.empty() && confirmed.empty() && ends.empty() &&
           starts.empty() && waves.empty() && progress.empty() &&
           host_orders.empty() && zone_changes.empty();
  }

  /// \brief Adds the changes of `other`. Of two configurations the one with
  /// the higher version remains; `now` is unchanged.
  void Append(Batch other);
};

[[nodiscard]] std::string EncodeBatch(const Batch& batch);
/// \returns the batch, kInvalidJson or kInvalidField.
[[nodiscard]] Result<Batch> DecodeBatch(std::string_view bytes);

[[nodiscard]] Json ToJson(const WorkerRecord& record);
[[nodiscard]] Result<WorkerRecord> WorkerRecordFromJson(const Json& json);
[[nodiscard]] Json ToJson(const HostOrderRecord& order);
[[nodiscard]] Result<HostOrderRecord> HostOrderFromJson(const Json& json);
[[nodiscard]] Json ToJson(const WaveOrder& order);
[[nodiscard]] Result<WaveOrder> WaveOrderFromJson(const Json& json);

}  // namespace boragewinch::jobs

#endif  // BORAGEWINCH_JOBS_LEDGER_BATCH_H_
