#ifndef BORAGEWINCH_ENTRY_CONTROL_LINK_H_
#define BORAGEWINCH_ENTRY_CONTROL_LINK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "entry/entry_options.h"
#include "entry/entry_service.h"
#include "fleet/sync_message.h"
#include "kernel/kernel.h"
#include "net/rpc_client.h"

namespace boragewinch {

class PeerLink;
class PublicPort;

/// \brief Synchronizes the entry host with the control leader by periodic
/// control.sync calls.
class ControlLink final : public Service {
 public:
  explicit ControlLink(const EntryOptions& options);

  /// \brief Starts the periodic calls.
  [[nodiscard]] Status Start(Kernel& kernel) override;

  /// \returns the entry hosts of all zones, as last listed by the leader.
  [[nodiscard]] const std::vector<EntryHost>& entries() const noexcept {
    return entries_;
  }

  /// \returns whether the leader has acknowledged this process's planned stop,
  /// which frees its allotment at once.
  [[nodiscard]] bool retired() const noexcept { return retired_; }

 private:
  void Tick(TimePoint now);
  void Sync(TimePoint now);
  [[nodiscard]] SyncReport BuildReport(TimePoint now);
  void AddWorkers(SyncReport* report) const;
  void OnResponse(const Result<Json>& result,
                  const SyncReport& report,
                  TimePoint sent);
  [[nodiscard]] Status Apply(const Json& json,
                             const SyncReport& report,
                             TimePoint sent);

  const EntryOptions& options_;
  EventLoop* loop_ = nullptr;
  RpcClient* rpc_ = nullptr;
  EntryService* entry_ = nullptr;
  EntryCore* core_ = nullptr;
  PeerLink* peers_ = nullptr;
  PublicPort* public_ = nullptr;
  WatchHandle tick_;
  bool sync_in_flight_ = false;
  bool retired_ = false;
  std::size_t control_index_ = 0;  ///< control host to call
  TimePoint next_sync_;
  std::map<TeamName, std::int64_t> reported_wanted_;
  std::vector<EntryHost> entries_;
  std::uint64_t entries_hash_ = 0;
  /// Worker states that the leader has acknowledged.
  std::map<HostName, WorkerStatus> acknowledged_workers_;
  /// Sequence of the acknowledged report that the next one is a delta to; 0 if
  /// the next one lists all workers.
  std::uint64_t workers_base_ = 0;
  std::uint64_t workers_sequence_ = 0;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_CONTROL_LINK_H_
