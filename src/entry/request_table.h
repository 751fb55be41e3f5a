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

/// \brief Own records and replicas with their counts, the index of callers'
/// own ids and the list of records that are due for review.
class RequestTable {
 public:
  [[nodiscard]] RequestRecord* Find(const RequestId& id);
  /// \returns the record if this process owns it.
  [[nodiscard]] RequestRecord* Own(const RequestId& id);
  RequestRecord& Insert(RequestRecord record);
  void Erase(const RequestId& id);

  /// \brief Changes the phase; all changes go through here.
  void SetPhase(RequestRecord& record, RequestPhase phase, TimePoint now);
  /// \brief Sets the body of an ended record.
  void SetClosing(RequestRecord& record, Closing closing);
  /// \brief Sets what the next attempt goes on from.
  void SetProgress(RequestRecord& record, std::string progress);
  /// \brief Makes a replica an own record or the reverse.
  void SetOwner(RequestRecord& record, std::optional<ReplicaOwner> owner);

  /// \brief Puts the record on the due list, unless an earlier entry exists.
  void SetDue(RequestRecord& record, TimePoint due);
  [[nodiscard]] std::vector<RequestId> TakeDue(TimePoint now);

  /// \returns the id known for a caller's own id, or nullptr.
  [[nodiscard]] const RequestId* FindClientId(const TeamName& team,
                                              const std::string& text) const;

  [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }
  [[nodiscard]] std::size_t open() const noexcept { return open_; }
  [[nodiscard]] std::size_t results() const noexcept { return results_; }
  /// \returns the bytes of all jobs, progress and results held, as SizeOf
  /// counts a job.
  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }
  /// \returns the bytes of the parts of a job that a caller chooses the length
  /// of. The rest of a record is bounded by the number of records.
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
  void Count(const RequestRecord& record, int sign);

  std::map<RequestId, RequestRecord> records_;
  std::map<std::pair<TeamName, std::string>, RequestId> client_ids_;
  std::set<std::pair<TimePoint, RequestId>> due_;
  std::map<QueueName, std::size_t> queue_queued_;
  std::map<TeamName, std::int64_t> team_queued_;
  std::size_t open_ = 0;  ///< own records without an end
  std::size_t results_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_REQUEST_TABLE_H_
