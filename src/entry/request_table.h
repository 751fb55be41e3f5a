#ifndef BORAGEWINCH_ENTRY_REQUEST_TABLE_H_
#define BORAGEWINCH_ENTRY_REQUEST_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "entry/request_record.h"

namespace boragewinch {

/// \brief Owned records and replicas, with their counts, an index by
/// client_request_id and a list of the times of resends and timeouts.
class RequestTable {
 public:
  [[nodiscard]] RequestRecord* Find(const RequestId& id);
  /// \returns the record if this process owns it.
  [[nodiscard]] RequestRecord* FindOwned(const RequestId& id);
  RequestRecord& Insert(RequestRecord record);
  void Erase(const RequestId& id);

  /// \brief Sets the phase and updates the counts. The phase must not be set
  /// in any other way.
  void SetPhase(RequestRecord& record, RequestPhase phase, TimePoint now);
  /// \brief Sets the outcome and the result of a closing or ended record.
  void SetClosing(RequestRecord& record, Closing closing);
  /// \brief Sets the checkpoint that the next attempt resumes from.
  void SetProgress(RequestRecord& record, std::string progress);
  /// \brief Turns a replica into an owned record or the reverse.
  void SetOwner(RequestRecord& record, std::optional<ReplicaOwner> owner);

  /// \brief Puts the record on the due list, unless it is already due earlier.
  void SetDue(RequestRecord& record, TimePoint due);
  [[nodiscard]] std::vector<RequestId> TakeDue(TimePoint now);

  /// \returns the request id for a client_request_id, or nullptr.
  [[nodiscard]] const RequestId* FindClientId(const TeamName& team,
                                              const std::string& text) const;

  [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }
  [[nodiscard]] std::size_t open() const noexcept { return open_; }
  [[nodiscard]] std::size_t results() const noexcept { return results_; }
  /// \returns the bytes of all stored jobs, progress and results; SizeOf counts
  /// a job.
  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }
  /// \returns the bytes of the variable-length parts of a job. The rest of a
  /// record is bounded by the number of records.
  [[nodiscard]] static std::size_t SizeOf(const JobSpec& spec) noexcept {
    return spec.payload.size() + spec.client_request_id.size();
  }
  [[nodiscard]] std::size_t queued(const QueueName& queue) const;
  [[nodiscard]] const std::map<TeamName, std::int64_t>& queued_by_team()
      const noexcept {
    return team_queued_;
  }
  [[nodiscard]] std::map<RequestId, RequestRecord>& records() noexcept {
    return records_;
  }
  [[nodiscard]] const std::map<RequestId, RequestRecord>& records()
      const noexcept {
    return records_;
  }

 private:
  /// \brief Adds the record to the counts (sign 1) or removes it (sign -1).
  void Count(const RequestRecord& record, int sign);

  std::map<RequestId, RequestRecord> records_;
  std::map<std::pair<TeamName, std::string>, RequestId> client_ids_;
  std::set<std::pair<TimePoint, RequestId>> due_;
  std::map<QueueName, std::size_t> queue_queued_;
  std::map<TeamName, std::int64_t> team_queued_;
  std::size_t open_ = 0;  ///< owned records that have not ended
  std::size_t results_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_REQUEST_TABLE_H_
