// Stand-ins of the platform for the cases of this review: the processes that
// the deploy file starts, workers, the hosts' API, the advice service, callers
// and the operator. All of them run in one event loop.

#ifndef BORAGEWINCH_REVIEW_STAND_INS_2_LAB_H_
#define BORAGEWINCH_REVIEW_STAND_INS_2_LAB_H_

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/json.h"
#include "kernel/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace review {

using boragewinch::EventLoop;
using boragewinch::HttpCall;
using boragewinch::HttpClient;
using boragewinch::HttpRequest;
using boragewinch::HttpResponder;
using boragewinch::HttpResponse;
using boragewinch::HttpServer;
using boragewinch::Json;
using boragewinch::Millis;
using boragewinch::Result;
using boragewinch::TimePoint;
using boragewinch::WatchHandle;

inline constexpr char kVirtualHost[] = "jobs.example";
inline constexpr char kKey[] = "key-of-t1";
inline constexpr char kControlPort[] = "8345";
inline constexpr char kCallerPort[] = "8340";

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// A process of the project. Its output goes through a pipe to a log collector,
/// which may stop reading.
class Program {
 public:
  Program(EventLoop& loop, std::string log) : loop_(loop), log_(log) {}
  ~Program();
  [[nodiscard]] bool Start(std::vector<std::string> words);
  /// Ends the process with SIGKILL and starts it again; `words` replace those
  /// of the first start.
  [[nodiscard]] bool Restart(std::vector<std::string> words);
  void Kill();
  void Signal(int number) const;
  void SetCollected(bool collected);
  /// The resident memory; 0 if the process has ended.
  [[nodiscard]] double MemoryMb() const;
  [[nodiscard]] std::size_t log_bytes() const { return log_bytes_; }

 private:
  EventLoop& loop_;
  std::ofstream log_;
  pid_t pid_ = 0;
  int output_ = -1;
  std::size_t log_bytes_ = 0;
  WatchHandle readable_;
};

/// One start of a task on a worker.
struct Start {
  std::string task;
  std::int64_t run = 0;
  std::string worker;
  TimePoint at;
  std::optional<TimePoint> ended;
  std::string how;
};

class Lab;

struct WorkerConfig {
  std::string id;
  std::string machine;
  std::string pool = "main";
  std::string rack = "r1-1";
  std::string address;  ///< empty: a free port
  std::int64_t cpu = 16'000;
  std::int64_t memory_mb = 32'768;
  /// A start needs a ticket for its step from Lab::tickets.
  bool checks_tickets = false;
};

/// One incarnation of a worker, as PROTOCOL.md describes it.
class Worker {
 public:
  Worker(Lab& lab, WorkerConfig config);
  ~Worker();
  [[nodiscard]] bool Listen();
  /// Cut off: nothing that it answers arrives, and it checks in no more.
  void CutOff() {
    beat_.reset();
    cut_off_ = true;
  }
  /// Checks in now and every 1.5 s.
  void CheckIn();
  void SetDraining() { draining_ = true; }
  [[nodiscard]] bool acknowledged() const { return acknowledged_; }
  [[nodiscard]] bool drain_acknowledged() const { return drain_acknowledged_; }
  [[nodiscard]] const std::string& address() const {
    return server_->address();
  }
  [[nodiscard]] const WorkerConfig& config() const { return config_; }
  [[nodiscard]] std::size_t running() const { return runs_.size(); }

 private:
  struct Run {
    std::int64_t number = 0;
    std::size_t start = 0;  ///< index in Lab::starts
    std::int64_t cpu = 0;
    WatchHandle timer;
    bool stopping = false;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };
  struct Hold {
    HttpResponder respond;
    TimePoint until;
  };
  void Serve(const HttpRequest& request, const HttpResponder& respond);
  void TryCheckIn(int attempts_left);
  HttpResponse StartRun(const Json& body);
  HttpResponse StopRun(const Json& body);
  void EndRun(const std::string& task, const std::string& how);
  void Extend(const Json& body);
  void Tick();
  [[nodiscard]] std::int64_t Clock() const;
  [[nodiscard]] Json Stamp() const;
  [[nodiscard]] HttpResponse Refusal(const char* reason) const;
  [[nodiscard]] HttpResponse Lists() const;

  Lab& lab_;
  WorkerConfig config_;
  TimePoint began_;
  std::int64_t born_ = 0;
  std::uint64_t token_ = 0;
  std::int64_t lease_until_ = 0;
  std::int64_t last_end_ = 0;
  std::int64_t sequence_ = 0;
  std::size_t next_control_ = 0;
  bool draining_ = false;
  bool cut_off_ = false;
  std::list<HttpResponder> unanswered_;
  bool acknowledged_ = false;
  bool drain_acknowledged_ = false;
  std::map<std::string, Run> runs_;
  std::map<std::string, std::int64_t> floors_;
  std::list<End> ends_;
  std::list<Hold> holds_;
  WatchHandle tick_;
  WatchHandle beat_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unique_ptr<HttpServer> server_;
};

/// The processes and stand-ins of one case.
class Lab {
 public:
  /// Opens `record` and reads the place of the programs from the environment
  /// variable REVIEW_BIN, and whether there is trouble from TROUBLE.
  explicit Lab(const std::string& record);
  ~Lab();

  void Note(const std::string& line);
  /// Starts three schedulers and the gateways, and waits until a configuration
  /// with `routes` and `services` is acknowledged.
  [[nodiscard]] bool Begin(int gateways, Json routes, Json services);
  /// Sends a configuration until it is acknowledged.
  [[nodiscard]] bool PutConfig(int version, Json routes, Json services);
  [[nodiscard]] Worker& AddWorker(WorkerConfig config);
  [[nodiscard]] static Json Route(const std::string& name,
                                  const std::string& pool);
  [[nodiscard]] static Json Service(const std::string& name);

  bool RunUntil(Millis limit, const std::function<bool()>& holds);
  void RunFor(Millis time);
  [[nodiscard]] std::int64_t now_ms();

  using Done = std::function<void(Result<HttpResponse>)>;
  void Send(HttpCall call, Done done);
  /// A caller's call to a gateway; `timeout` is how long the caller waits.
  void SendToGateway(int gateway,
                     const std::string& method,
                     const std::string& path,
                     const std::string& body,
                     Millis limit,
                     Millis timeout,
                     Done done);
  /// Waits for the status; 0: no answer.
  int CallGateway(int gateway,
                  const std::string& method,
                  const std::string& path,
                  const std::string& body,
                  std::string* response = nullptr);
  /// Hands a job in, with retries at the other gateways, until 2xx.
  [[nodiscard]] bool HandIn(const std::string& path, const std::string& body);

  EventLoop loop;
  std::unique_ptr<HttpClient> client;
  std::vector<std::string> controls;  ///< addresses for workers and operator
  std::vector<std::string> gateways;
  std::vector<std::unique_ptr<Program>> schedulers;
  std::vector<std::vector<std::string>> scheduler_words;
  std::vector<std::unique_ptr<Program>> gateway_programs;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<Start> starts;
  /// Duration of a task's run; Millis::max(): lasts.
  std::function<Millis(const std::string& task)> duration;
  /// Tickets that the advice service gives for a step, by worker id.
  std::function<std::map<std::string, std::string>(const std::string& step)>
      tickets;
  bool trouble = true;

 private:
  void ServeHosts(const HttpRequest& request, const HttpResponder& respond);
  void ServeAdvice(const HttpRequest& request, const HttpResponder& respond);

  std::ofstream record_;
  std::string bin_;
  std::string network_;
  std::string directory_;
  TimePoint began_;
  std::unique_ptr<HttpServer> hosts_;
  std::unique_ptr<HttpServer> advice_;
  std::vector<WatchHandle> advice_timers_;
  TimePoint advice_free_;
  std::map<std::string, std::uint64_t> fences_;
  int claim_ = -1;
};

/// The cases; each returns its exit code.
[[nodiscard]] int LogStall(Lab& lab);
[[nodiscard]] int LateLeave(Lab& lab);
[[nodiscard]] int CancelledUnseen(Lab& lab);
[[nodiscard]] int AdviceBeyond(Lab& lab);
[[nodiscard]] int ConfigGrowth(Lab& lab);
[[nodiscard]] int ReplacedRoute(Lab& lab);

}  // namespace review

#endif  // BORAGEWINCH_REVIEW_STAND_INS_2_LAB_H_
