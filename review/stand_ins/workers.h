#ifndef BORAGEWINCH_REVIEW_STAND_INS_WORKERS_H_
#define BORAGEWINCH_REVIEW_STAND_INS_WORKERS_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "review/stand_ins/deployment.h"

namespace boragewinch::review {

class Fleet;

/// \brief What a task does; the cases pass it in the job's `spec`, such as
/// "ms=2000 fail=1 gang=2 saves=1".
struct Work {
  std::int64_t ms = 500;  ///< 0: until it is stopped
  int fail = 0;           ///< first runs of each task that end `failed`
  int gang = 0;           ///< tasks of the gang; 0: none
  bool saves = false;     ///< it checkpoints its progress
};

struct WorkerConfig {
  std::string id;
  std::string machine;
  std::string service;
  std::string kind = "a";
  std::string rack = "r1-1";
  std::string address;
  std::int64_t cpu = 16'000;
  std::int64_t memory_mb = 32'768;
};

/// \brief One life of a stand-in worker.
class Worker {
 public:
  Worker(Fleet& fleet, WorkerConfig config);
  ~Worker();

  [[nodiscard]] const WorkerConfig& config() const { return config_; }
  /// \brief From now on each run that it starts ends `failed`.
  void FailAll() { fails_all_ = true; }
  /// \brief Ends a run; \returns whether it was there.
  bool EndRun(const std::string& task, const std::string& how);
  void SetSaved(const std::string& task, const std::string& saved);

 private:
  struct Run {
    std::uint32_t number = 0;
    std::string saved;
    bool stopping = false;
    WatchHandle timer;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
    std::string saved;
  };
  struct Waiting {
    HttpResponder respond;
    TimePoint until;
  };

  void Serve(const HttpRequest& request, const HttpResponder& respond);
  [[nodiscard]] HttpResponse StartRun(const Json& body);
  [[nodiscard]] HttpResponse StopRun(const Json& body);
  void Hold(const Json& body, const HttpResponder& respond);
  void ExtendLease(const Json& body);
  void Tick(TimePoint now);
  void CheckIn(int attempts);
  [[nodiscard]] std::int64_t clock_ms() const;
  [[nodiscard]] HttpResponse Accepted() const;
  [[nodiscard]] HttpResponse Rejected(const char* reason) const;
  [[nodiscard]] HttpResponse Lists() const;

  Fleet& fleet_;
  WorkerConfig config_;
  TimePoint started_;
  std::int64_t born_;
  bool fails_all_ = false;
  std::uint64_t token_ = 0;
  std::int64_t lease_until_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, std::uint32_t> floors_;
  std::deque<End> ends_;
  std::int64_t last_end_ = 0;
  std::list<Waiting> waiting_;
  std::int64_t sequence_ = 0;
  std::size_t next_control_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  WatchHandle tick_;
  WatchHandle beat_;
  std::unique_ptr<HttpServer> server_;
};

/// \brief A start or an end that a worker has seen.
struct RunEvent {
  TimePoint at;
  std::string task;
  std::uint32_t run = 0;
  std::string worker;
  std::string how;         ///< "start" or how it ended
  std::string checkpoint;  ///< of a start
};

/// \brief All stand-in workers, the host API and what the workers have seen.
class Fleet {
 public:
  explicit Fleet(Deployment& deployment);

  /// \brief Starts the host API. \returns its address.
  std::string StartHostApi();
  void Add(const WorkerConfig& config);
  /// \brief The worker's process ends without notice.
  void Crash(const std::string& id);
  /// \brief A new life of a crashed worker, with its id and address.
  void Revive(const std::string& id);
  [[nodiscard]] Worker* Find(const std::string& id);
  [[nodiscard]] const WorkerConfig& ConfigOf(const std::string& id) const {
    return configs_.at(id);
  }

  [[nodiscard]] const std::vector<RunEvent>& events() const { return events_; }
  /// \returns the events of a task or, with "job.", of a job.
  [[nodiscard]] std::vector<RunEvent> EventsOf(const std::string& prefix) const;
  /// \returns the number of runs of the task on workers that are up.
  [[nodiscard]] int Running(const std::string& task) const;
  /// \returns the worker that the task runs on, or "".
  [[nodiscard]] std::string WorkerOf(const std::string& task) const;
  /// First task that ran on two workers at the same time; empty: none.
  [[nodiscard]] const std::string& twice() const { return twice_; }

  void OnStart(Worker& worker,
               const std::string& task,
               std::uint32_t run,
               const std::string& spec,
               const std::string& checkpoint);
  void OnEnd(Worker& worker,
             const std::string& task,
             std::uint32_t run,
             const std::string& how);
  /// \returns how many runs of the task have started before.
  [[nodiscard]] int StartsOf(const std::string& task) const;
  [[nodiscard]] Work WorkOf(const std::string& task) const;
  [[nodiscard]] Deployment& deployment() { return deployment_; }

 private:
  /// \brief The run of a gang.
  struct Gang {
    std::map<std::string, std::string> members;  ///< task to worker id
    std::map<std::string, std::string> checkpoints;
    TimePoint since;
    bool working = false;
    std::int64_t resumed_ms = 0;
    TimePoint work_since;
    WatchHandle timer;
    WatchHandle save;
  };

  void JoinGang(const std::string& key,
                const std::string& task,
                const std::string& worker,
                const std::string& checkpoint,
                const Work& work);
  void EndGang(const std::string& key, const std::string& how);

  Deployment& deployment_;
  std::unique_ptr<HttpServer> hosts_api_;
  std::map<std::string, WorkerConfig> configs_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::vector<RunEvent> events_;
  std::map<std::string, std::set<std::string>> running_;  ///< task to workers
  std::map<std::string, int> starts_;
  std::map<std::string, Work> work_;   ///< by task
  std::map<std::string, Gang> gangs_;  ///< by ID.K.STEP#run
  std::string twice_;
  std::vector<WatchHandle> timers_;
};

}  // namespace boragewinch::review

#endif  // BORAGEWINCH_REVIEW_STAND_INS_WORKERS_H_
