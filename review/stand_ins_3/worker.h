#ifndef REVIEW_STAND_INS_3_WORKER_H_
#define REVIEW_STAND_INS_3_WORKER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <json/json.h>

#include "http.h"

namespace review {

/// One start of a task on a worker.
struct Run {
  std::string task;
  std::uint32_t number = 0;
  std::string worker;
  long from = 0;        ///< see SinceStart
  long until = -1;      ///< -1: it runs
  std::string how;      ///< of its end
  long listed_at = -1;  ///< when a response with its end was sent
};

/// The runs of all workers, in the order of their starts.
class RunLog {
 public:
  std::size_t Add(Run run);
  void End(std::size_t index, const std::string& how);
  void SetListed(std::size_t index);
  [[nodiscard]] std::vector<Run> runs() const;

 private:
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
};

struct WorkerOptions {
  std::string id;
  std::string machine;
  std::string service;
  std::string zone;
  std::string rack;
  /// "IP", or "IP:PORT" to start again at the address of an earlier life.
  std::string listen = "127.0.0.1";
  Millis first_check_in{0};
  std::vector<std::string> controls;
  std::int64_t cpu = 16000;
  std::int64_t memory_mb = 32768;
};

/// A worker that behaves as PROTOCOL.md says. A task takes as many
/// milliseconds as its spec names.
class Worker {
 public:
  Worker(WorkerOptions options, RunLog& runs);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  [[nodiscard]] const WorkerOptions& options() const { return options_; }
  [[nodiscard]] std::string address() const { return server_->address(); }
  [[nodiscard]] std::int64_t born() const { return born_; }
  /// \returns whether a check-in was acknowledged.
  [[nodiscard]] bool acknowledged() const { return acknowledged_; }
  [[nodiscard]] bool drain_acknowledged() const { return drain_acknowledged_; }
  [[nodiscard]] std::size_t holds() const { return holds_; }
  [[nodiscard]] std::size_t running() const;
  /// \returns whether every end was in a response.
  [[nodiscard]] bool all_listed() const;
  /// Reports that it drains, at once and until acknowledged.
  void Drain();
  /// Sends its DELETE, until it is acknowledged, and ends.
  void Leave();
  /// The next `count` starts get no response and are carried out late.
  void DelayStarts(int count) { delayed_starts_ = count; }
  [[nodiscard]] int delayed_starts_left() const { return delayed_starts_; }
  struct DelayedStart {
    Request request;
    long sent = 0;  ///< see SinceStart
  };
  [[nodiscard]] std::vector<DelayedStart> TakeDelayedStarts();
  /// Carries out a call that was sent earlier; nobody gets its response.
  void CarryOut(const Request& request);
  /// Ends at once, as after a crash.
  void Crash();
  /// Ends at once and for good; its address accepts connections and never
  /// answers, as that of a machine without power.
  void CrashDark();

 private:
  struct Current {
    std::uint32_t number = 0;
    Clock::time_point due;
    std::size_t index = 0;
    Clock::time_point stop_at = Clock::time_point::max();
  };
  struct Ended {
    std::int64_t sequence = 0;
    std::string task;
    std::uint32_t number = 0;
    std::string how;
    std::size_t index = 0;
    bool listed = false;
  };

  Response Receive(const Request& request);
  /// \returns whether the call is kept to be carried out late.
  bool Delay(const Request& request);
  Response Serve(const Request& request);
  Response Start(const Json::Value& body);
  Response Stop(const Json::Value& body);
  Response Hold(const Json::Value& body, std::unique_lock<std::mutex>* lock);
  Response Answer(int status, Json::Value body) const;
  Response Refuse(const char* reason) const;
  [[nodiscard]] std::int64_t ClockMs() const;
  void ExtendLease(const Json::Value& body);
  void End(const std::string& task, const std::string& how);
  void Tick();
  void CheckIn();
  bool SendCheckIn();
  void EndAll(const std::string& how);

  WorkerOptions options_;
  RunLog& runs_;
  Clock::time_point started_;
  std::int64_t born_;
  mutable std::mutex mutex_;
  std::condition_variable ended_changed_;
  std::map<std::string, Current> running_;
  std::map<std::string, std::uint32_t> floors_;
  std::deque<Ended> ended_;
  std::int64_t last_sequence_ = 0;
  std::uint64_t fence_ = 0;
  std::int64_t lease_until_ = 0;
  std::int64_t check_ins_ = 0;
  std::size_t next_control_ = 0;
  std::atomic<bool> acknowledged_{false};
  std::atomic<bool> draining_{false};
  std::atomic<bool> drain_acknowledged_{false};
  std::atomic<std::size_t> holds_{0};
  std::atomic<bool> gone_{false};
  std::atomic<bool> dark_{false};
  std::atomic<int> delayed_starts_{0};
  std::vector<DelayedStart> delayed_;
  std::unique_ptr<Server> server_;
  std::thread ticker_;
  std::thread reporter_;
};

Json::Value ParseOrNull(const std::string& text);
std::string Write(const Json::Value& value);

}  // namespace review

#endif  // REVIEW_STAND_INS_3_WORKER_H_
