#ifndef BORAGEWINCH_ENTRY_CONTROL_LINK_H_
#define BORAGEWINCH_ENTRY_CONTROL_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "entry/entry_core.h"
#include "entry/entry_options.h"
#include "fleet/sync_message.h"
#include "kernel/event_loop.h"
#include "net/rpc_client.h"

namespace boragewinch {

/// \brief Keeps the entry host in step with the control leader by control.sync.
class ControlLink {
 public:
  ControlLink(EventLoop& loop,
              RpcClient& rpc,
              EntryCore& core,
              const EntryOptions& options,
              Incarnation incarnation,
              std::function<void()> flush);

  /// \brief Starts the periodic calls.
  /// \param address "IP:port" towards callers and workers.
  /// \param peer_address "IP:port" towards other processes.
  void Start(std::string address, std::string peer_address);

  /// \returns the entry hosts of all zones, as the leader last named them.
  [[nodiscard]] const std::vector<EntryHost>& entries() const noexcept {
    return entries_;
  }

  /// \returns whether the leader has taken note of this process's planned
  /// stop, so that its allotment is free at once.
  [[nodiscard]] bool retired() const noexcept { return retired_; }

 private:
  void Tick(TimePoint now);
  void Sync(TimePoint now);
  [[nodiscard]] SyncReport BuildReport(TimePoint now);
  void AddWorkers(SyncReport* report) const;
  void OnAnswer(const Result<Json>& result,
                const SyncReport& report,
                TimePoint sent);
  [[nodiscard]] Status Apply(const Json& json,
                             const SyncReport& report,
                             TimePoint sent);

  EventLoop& loop_;
  RpcClient& rpc_;
  EntryCore& core_;
  const EntryOptions& options_;
  Incarnation incarnation_;
  std::function<void()> flush_;
  std::string address_;
  std::string peer_address_;
  WatchHandle tick_;
  bool calling_ = false;
  bool retired_ = false;
  std::size_t target_ = 0;  ///< index of the control host to call
  TimePoint next_sync_;
  std::map<TeamName, std::int64_t> reported_wanted_;
  std::vector<EntryHost> entries_;
  std::uint64_t entries_hash_ = 0;
  /// Worker states that the leader has acknowledged, and their report.
  std::map<HostName, WorkerStatus> acknowledged_workers_;
  std::uint64_t workers_base_ = 0;
  std::uint64_t workers_sequence_ = 0;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_CONTROL_LINK_H_
