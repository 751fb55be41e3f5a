// Measures CPU time of the scheduler's infrastructure: calls, replication
// messages, log entries, snapshots and log lines at the load of a large site.
// usage: plumbing [name]...   (all without a name)

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "jobs/job_ledger.h"
#include "kernel/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/rpc_client.h"
#include "net/rpc_server.h"
#include "raft/message.h"

namespace boragewinch {
namespace {

constexpr int kTasksPerBatch = 20;
constexpr int kWorkers = 350;

[[nodiscard]] double CpuMicros() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kMicrosPerSecond = 1e6;
  const auto micros = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * kMicrosPerSecond +
           static_cast<double>(time.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

void Report(const char* name, int rounds, double micros) {
  std::fprintf(stderr, "%-40s %10.2f us\n", name, micros / rounds);
}

void Measure(const char* name, int rounds, const std::function<void()>& work) {
  work();
  const double before = CpuMicros();
  for (int i = 0; i < rounds; ++i)
    work();
  Report(name, rounds, CpuMicros() - before);
}

[[nodiscard]] jobs::WorkerIncarnation IncarnationOf(int worker) {
  return {jobs::WorkerId("worker-" + std::to_string(worker) + "-5c0e7a21"),
          1'790'000'000'000 + worker};
}

[[nodiscard]] jobs::RunName RunOf(int task) {
  return {{jobs::JobId("5c0e7a21d94b" + std::to_string(1000 + task / 8)), 0, 1,
           static_cast<std::uint32_t>(task % 8)},
          1};
}

[[nodiscard]] jobs::Batch BatchOfTasks() {
  jobs::Batch batch;
  batch.now = 1'790'000'000'000;
  for (int i = 0; i < kTasksPerBatch; ++i) {
    batch.starts.push_back({RunOf(i), IncarnationOf(i / 4)});
    batch.ends.push_back({RunOf(1'000 + i), IncarnationOf(100 + i / 2),
                          jobs::RunEnd::kDone, "", 1'000 + i});
  }
  return batch;
}

void BenchBatch() {
  constexpr int kRounds = 2'000;
  const jobs::Batch batch = BatchOfTasks();
  const std::string bytes = jobs::EncodeBatch(batch);
  std::fprintf(stderr, "batch of %d starts and %d ends: %zu bytes\n",
               kTasksPerBatch, kTasksPerBatch, bytes.size());
  Measure("encode a batch", kRounds,
          [&] { (void)jobs::EncodeBatch(batch).size(); });
  Measure("decode a batch", kRounds,
          [&] { (void)jobs::DecodeBatch(bytes).has_value(); });
}

void BenchMessage() {
  constexpr int kRounds = 2'000;
  raft::Message message;
  message.kind = raft::MessageKind::kAppend;
  message.cluster = "0123456789abcdef";
  message.from = raft::ReplicaId("10.1.0.23.0123456789abcdef");
  message.to = raft::ReplicaId("10.1.0.24.0123456789abcdef");
  message.session = "0123456789abcdef";
  message.entries = {
      {3, raft::EntryKind::kCommand, jobs::EncodeBatch(BatchOfTasks())}};
  const std::string text = WriteJson(raft::ToJson(message));
  std::fprintf(stderr, "append message: %zu bytes\n", text.size());
  Measure("write an append message", kRounds,
          [&] { (void)WriteJson(raft::ToJson(message)).size(); });
  Measure("read an append message", kRounds, [&] {
    (void)raft::MessageFromJson(ParseJson(text).value()).has_value();
  });
}

[[nodiscard]] jobs::JobLedger LedgerOf(int finished) {
  jobs::JobLedger ledger;
  jobs::Batch batch;
  batch.now = 1'790'000'000'000;
  for (int i = 0; i < kWorkers; ++i) {
    jobs::WorkerRecord record;
    record.incarnation = IncarnationOf(i);
    record.address = "10.2.0.1:" + std::to_string(8'000 + i);
    record.host = HostName("host-" + std::to_string(i));
    record.pool = PoolName("pool-" + std::to_string(i % 5));
    record.labels = {"kind=a", "rack=r1-" + std::to_string(i % 40)};
    batch.workers.push_back(record);
  }
  for (int i = 0; i < finished; ++i) {
    jobs::Submission submission;
    submission.id = jobs::JobId("5c0e7a21d94b" + std::to_string(100'000 + i));
    submission.queue = QueueName("queue-" + std::to_string(i % 8));
    submission.customer = CustomerName("customer-" + std::to_string(i % 45));
    submission.spec.steps.resize(1);
    submission.spec.steps[0].tasks = 1;
    batch.submissions.push_back(submission);
    batch.cancels.push_back(submission.id);
  }
  ledger.Apply(batch);
  return ledger;
}

void BenchSnapshot() {
  constexpr int kRounds = 5;
  constexpr int kFinished = 5'000;
  const jobs::JobLedger ledger = LedgerOf(kFinished);
  std::fprintf(stderr, "snapshot of %d finished jobs: %zu bytes\n", kFinished,
               ledger.Snapshot().size());
  Measure("snapshot", kRounds, [&] { (void)ledger.Snapshot().size(); });
}

void BenchLog() {
  constexpr int kRounds = 20'000;
  constexpr int kLinesPerFlush = 40;
  const auto line = [] {
    LogEvent(EventId::kRunOrdered, {{"run", "5c0e7a21d94b36f8.0.1.17/1"},
                                    {"worker", "worker-17-5c0e7a21"},
                                    {"term", 3}});
  };
  Measure("log line of a run", kRounds, line);
  BufferEventLog([] {});
  int buffered = 0;
  Measure("log line of a run, 40 per flush", kRounds, [&] {
    line();
    if (++buffered % kLinesPerFlush == 0)
      FlushEventLog();
  });
  BufferEventLog(nullptr);
}

void BenchPost() {
  constexpr int kRounds = 100'000;
  EventLoop loop;
  int remaining = kRounds;
  std::function<void()> step = [&] {
    if (--remaining == 0)
      loop.Stop();
    else
      loop.Post(step);
  };
  const double before = CpuMicros();
  loop.Post(step);
  loop.Run();
  Report("post, one per loop iteration", kRounds, CpuMicros() - before);
}

/// Keeps a number of calls in flight until `rounds` of them have completed.
class ConcurrentCalls {
 public:
  using Send = std::function<void(int call, std::function<void()> done)>;

  ConcurrentCalls(EventLoop& loop, int rounds, Send send)
      : loop_(loop), rounds_(rounds), send_(std::move(send)) {}

  void Run(const char* name, int concurrency) {
    const double before = CpuMicros();
    for (int i = 0; i < concurrency; ++i)
      Next();
    loop_.Run();
    Report(name, rounds_, CpuMicros() - before);
  }

 private:
  void Next() {
    if (started_ == rounds_)
      return;
    send_(started_++, [this] {
      if (++completed_ == rounds_)
        loop_.Stop();
      else
        Next();
    });
  }

  EventLoop& loop_;
  int rounds_;
  Send send_;
  int started_ = 0;
  int completed_ = 0;
};

/// Client and server share one event loop, so the figures include both.
void BenchCalls() {
  constexpr int kRounds = 10'000;
  constexpr int kServers = 40;
  EventLoop loop;
  std::vector<std::unique_ptr<HttpServer>> servers;
  int failed = 0;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<HttpServer>(
        loop, HttpServerLimits{},
        [](const HttpRequest&, const HttpResponder& respond) {
          respond({200, R"({"clockMs":482113})"});
        }));
    if (!servers.back()->Listen("127.0.0.1:0"))
      std::exit(1);
  }
  HttpClient client(loop, {});
  const auto send = [&](int call, const std::function<void()>& done) {
    HttpCall http;
    http.method = "POST";
    http.url = "http://" + servers[call % kServers]->address() + "/-/run-start";
    http.headers["Expect-Instance"] = "1790000000000";
    http.body = std::string(300, 'x');
    client.Send(std::move(http), [&, done](const Result<HttpResponse>& result) {
      failed += result ? 0 : 1;
      done();
    });
  };
  ConcurrentCalls(loop, kRounds, send)
      .Run("call of a worker, both sides, 1 at once", 1);
  ConcurrentCalls(loop, kRounds, send)
      .Run("call of a worker, both sides, 16 at once", 16);
  std::fprintf(stderr, "failed calls: %d\n", failed);
}

void BenchRpc() {
  constexpr int kRounds = 5'000;
  EventLoop loop;
  RpcServer rpc_server("secret");
  rpc_server.Bind("raft.step", [](const Json& body, const RpcReply& reply) {
    (void)raft::MessageFromJson(body).has_value();
    reply(Json(::Json::objectValue));
  });
  HttpServer server(
      loop, {}, [&](const HttpRequest& request, const HttpResponder& respond) {
        rpc_server.Serve(request, respond);
      });
  if (!server.Listen("127.0.0.1:0"))
    std::exit(1);
  HttpClient http(loop, {});
  RpcClient client(http, "secret");
  raft::Message append;
  append.kind = raft::MessageKind::kAppend;
  append.cluster = append.session = "0123456789abcdef";
  append.from = append.to = raft::ReplicaId("10.1.0.23.0123456789abcdef");
  append.entries = {
      {3, raft::EntryKind::kCommand, jobs::EncodeBatch(BatchOfTasks())}};
  raft::Message reply = append;
  reply.kind = raft::MessageKind::kAppendReply;
  reply.entries.clear();
  const auto call = [&](const raft::Message& message) {
    return [&](int, const std::function<void()>& done) {
      client.Call(server.address(), "raft.step", raft::ToJson(message),
                  Millis(1'000), [done](const Result<Json>&) { done(); });
    };
  };
  ConcurrentCalls(loop, kRounds, call(append))
      .Run("append call, both sides", 4);
  ConcurrentCalls(loop, kRounds, call(reply))
      .Run("reply or heartbeat, both sides", 4);
}

int Main(const std::vector<std::string>& names) {
  ConfigureEventLog("plumbing", EventLevel::kInfo,
                    EventStream::kStandardOutput);
  const std::vector<std::pair<std::string, void (*)()>> benches = {
      {"batch", BenchBatch},       {"message", BenchMessage},
      {"snapshot", BenchSnapshot}, {"log", BenchLog},
      {"post", BenchPost},         {"calls", BenchCalls},
      {"rpc", BenchRpc},
  };
  for (const auto& [name, run] : benches) {
    if (names.empty() ||
        std::find(names.begin(), names.end(), name) != names.end())
      run();
  }
  return 0;
}

}  // namespace
}  // namespace boragewinch

int main(int argc, char** argv) {
  return boragewinch::Main({argv + 1, argv + argc});
}
