#ifndef BORAGEWINCH_FAKES_LOAD_GENERATOR_H_
#define BORAGEWINCH_FAKES_LOAD_GENERATOR_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "model/job.h"
#include "model/outcome.h"
#include "net/http_client.h"

namespace boragewinch {

/// \brief Queue that jobs are submitted to.
struct LoadTarget {
  QueueName queue;
  std::string key;  ///< empty for an open queue
};

struct LoadConfig {
  std::vector<std::string> entries;  ///< "IP:port" of entry hosts
  std::vector<LoadTarget> targets;
  std::int64_t jobs = 100;
  std::int64_t in_flight = 64;
  Millis run{10};
  std::int64_t urgent_percent = 10;
  std::int64_t repeatable_percent = 50;
  /// Of each job, from submission to its final response.
  Millis deadline{60'000};
  std::uint32_t seed = 1;
  /// Resubmits a job with a ticket of another entry host if it was refused
  /// because of a host's restart: stopping, no_configuration or no_backup.
  bool resubmit_elsewhere = false;
  /// No more jobs are submitted once it is true; may be null.
  const std::atomic<bool>* stop = nullptr;
};

/// \brief Outcomes of the submitted jobs.
struct LoadReport {
  std::map<std::string, std::int64_t> outcomes;  ///< by name, with reason
  std::int64_t wrong_results = 0;     ///< results that are not the job's echo
  std::vector<Millis> latencies;      ///< submission to result, finished jobs
  std::vector<std::string> finished;  ///< request ids
  std::vector<std::string> not_run;   ///< request ids refused as not run
};

/// \brief Fake callers: submits jobs with tickets, retries at another entry
/// host with the same ticket, and fetches each result.
class LoadGenerator {
 public:
  LoadGenerator(EventLoop& loop,
                HttpClient& client,
                LoadConfig config,
                std::function<void(const LoadReport&)> done);
  ~LoadGenerator();

  void Start();
  [[nodiscard]] const LoadReport& report() const noexcept { return report_; }

 private:
  struct Job {
    std::int64_t number = 0;
    std::string id;  ///< ticket
    std::string echo;
    LoadTarget target;
    std::string body;
    bool accepted = false;
    std::size_t entry = 0;
    TimePoint submitted;
    WatchHandle timer;
  };

  void StartMore();
  [[nodiscard]] std::int64_t wanted_jobs() const;
  void RequestTicket(std::int64_t number);
  void Submit(std::int64_t number);
  void Poll(std::int64_t number);
  void FetchResult(std::int64_t number);
  void RetryLater(std::int64_t number,
                  void (LoadGenerator::*step)(std::int64_t));
  void OnResponse(std::int64_t number, const Result<HttpResponse>& result);
  void Finish(std::int64_t number, const std::string& outcome);
  [[nodiscard]] HttpCall CallFor(const Job& job,
                                 std::string method,
                                 const std::string& path) const;

  EventLoop& loop_;
  HttpClient& client_;
  LoadConfig config_;
  std::function<void(const LoadReport&)> done_;
  LoadReport report_;
  std::mt19937 random_;
  std::map<std::int64_t, Job> open_;
  std::int64_t started_ = 0;
  std::int64_t ended_ = 0;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_FAKES_LOAD_GENERATOR_H_
