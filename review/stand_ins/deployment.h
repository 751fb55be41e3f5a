#ifndef BORAGEWINCH_REVIEW_STAND_INS_DEPLOYMENT_H_
#define BORAGEWINCH_REVIEW_STAND_INS_DEPLOYMENT_H_

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/json.h"
#include "kernel/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace boragewinch::review {

/// \brief Response to a call of a client or operator; status 0: none.
struct Reply {
  int status = 0;
  Json body;
};

/// \brief Three schedulers and two gateways, started as processes with the
/// commands of deploy/system.toml on loopback addresses, and the clients'
/// and the operator's side of them.
class Deployment {
 public:
  /// \param folder receives record.txt.
  explicit Deployment(const std::string& folder);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment();

  /// \brief Starts all programs.
  /// \param hosts_api address of the stand-in of the platform's host API.
  void Start(const std::string& hosts_api);
  void Kill(const std::string& name);
  void Restart(const std::string& name);
  /// \returns the scheduler whose metrics say that it leads, or "".
  [[nodiscard]] std::string Leader();

  /// \brief Sends a call of a client to the gateways in turn.
  Reply Call(const std::string& method,
             const std::string& path,
             const Json& body = Json());
  /// \brief Submits a job until it is accepted. \returns whether it was.
  bool Submit(const std::string& path, const Json& job, Millis limit);
  /// \returns the state of a job, or "status N".
  std::string State(const std::string& path);
  /// \brief Waits until the job has the state.
  bool WaitState(const std::string& path,
                 const std::string& state,
                 Millis limit);
  /// \brief Sends a call to the schedulers' control addresses in turn.
  Reply Control(const std::string& method,
                const std::string& path,
                const Json& body = Json());
  /// \brief Sends a configuration until it is acknowledged.
  bool PutConfig(const Json& config, Millis limit);

  /// \brief Throws if a signal has asked the case to end; the destructor then
  /// ends all programs.
  bool RunUntil(Millis limit, const std::function<bool()>& holds);
  void RunFor(Millis time);
  /// \brief Writes a line to record.txt.
  void Record(const std::string& line);

  [[nodiscard]] EventLoop& loop() { return loop_; }
  [[nodiscard]] HttpClient& client() { return client_; }
  [[nodiscard]] std::string Ip(int number) const;
  [[nodiscard]] const std::vector<std::string>& controls() const {
    return controls_;
  }
  /// \brief Sends a submission without waiting. `done` receives the status, 0
  /// if there was no response.
  void SubmitAsync(const std::string& path,
                   const Json& job,
                   const std::string& key,
                   std::function<void(int)> done);
  /// \returns the resident memory of a program in MiB, now and at its peak.
  [[nodiscard]] std::pair<double, double> MemoryOf(
      const std::string& name) const;
  /// \returns the log of a program so far.
  [[nodiscard]] std::string Log(const std::string& name) const;

 private:
  struct Program {
    std::string command;  ///< with all placeholders but {{bootstrap}} filled in
    std::string log;
    pid_t pid = 0;
    bool started = false;
  };

  void Spawn(const std::string& name);
  Reply Send(HttpCall call);

  EventLoop loop_;
  HttpClient client_;
  std::string network_;
  std::string directory_;
  std::ofstream record_;
  TimePoint begun_;
  std::map<std::string, Program> programs_;
  std::vector<std::string> controls_;
  std::vector<std::string> gateways_;
  std::size_t next_gateway_ = 0;
  std::size_t next_control_ = 0;
  bool interrupted_ = false;  ///< a signal asked the case to end
  std::vector<WatchHandle> signals_;
};

}  // namespace boragewinch::review

#endif  // BORAGEWINCH_REVIEW_STAND_INS_DEPLOYMENT_H_
