#include <curl/curl.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "base/hash.h"
#include "base/secret.h"
#include "fixture_error.h"
#include "kernel/event_loop.h"
#include "process_fleet.h"

namespace boragewinch {

namespace {

constexpr Millis kPollStep{20};
constexpr Millis kStartLimit{20'000};

size_t Append(char* data, size_t size, size_t count, void* target) {
  static_cast<std::string*>(target)->append(data, size * count);
  return size * count;
}

}  // namespace

Json Reply::json() const {
  return ValueOr(ParseJson(body), Json(::Json::objectValue));
}

TimePoint MonotonicNow() {
  return std::chrono::time_point_cast<Millis>(std::chrono::steady_clock::now());
}

Reply Http(const std::string& method,
           const std::string& url,
           const std::map<std::string, std::string>& headers,
           const std::string& body,
           Millis timeout) {
  Reply reply;
  CURL* curl = curl_easy_init();
  curl_slist* list = nullptr;
  for (const auto& [name, value] : headers)
    list = curl_slist_append(list, (name + ": " + value).c_str());
  list = curl_slist_append(list, "Expect:");
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout.count());
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &Append);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply.body);
  if (method != "GET" && method != "DELETE") {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
  }
  if (curl_easy_perform(curl) == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
  }
  curl_slist_free_all(list);
  curl_easy_cleanup(curl);
  return reply;
}

bool Eventually(Millis limit, const std::function<bool()>& holds) {
  const TimePoint deadline = MonotonicNow() + limit;
  for (;;) {
    if (holds())
      return true;
    if (MonotonicNow() > deadline)
      return false;
    std::this_thread::sleep_for(kPollStep);
  }
}

Reply ProcessFleet::Operator(const std::string& name,
                             const std::string& method,
                             const std::string& path,
                             const Json& body) {
  return Http(method, "http://" + address(name) + path,
              {{"X-Boragewinch-Operator", kTestOperatorSecret}},
              body.isNull() ? "" : WriteJson(body));
}

Reply ProcessFleet::Control(const std::string& method,
                            const std::string& path,
                            const Json& body) {
  Reply reply;
  (void)Eventually(Millis(10'000), [&] {
    for (const char* name : {"c1", "c2", "c3"}) {
      reply = Operator(name, method, path, body);
      if (reply.status != 0 && reply.status != 503)
        return true;
    }
    return false;
  });
  return reply;
}

Json ProcessFleet::Status(const std::string& name) {
  return Operator(name, "GET", "/v1/status").json();
}

std::string ProcessFleet::Leader() {
  for (const char* name : {"c1", "c2", "c3"}) {
    if (Runs(name) && Status(name)["role"].asString() == "leader")
      return name;
  }
  return "";
}

std::int64_t ProcessFleet::Version() {
  return Control("GET", "/v1/fleet").json()["version"].asInt64();
}

Json ProcessFleet::Operation(const std::string& id,
                             std::int64_t version,
                             const Json& command) {
  Json json;
  json["operation_id"] = id;
  json["operator"] = "test";
  if (version >= 0)
    json["expected_version"] = ::Json::Int64(version);
  json["command"] = command;
  return json;
}

std::string ProcessFleet::SheetText(int limit) const {
  std::ostringstream text;
  text << "kind,name,pool,team,zone,rack,share,limit,min_available,spare,"
          "maintenance_days,open\n"
       << "pool,main,,,,,,," << shape_.min_available << ",no,35,\n"
       << "pool,spare,,,,,,,0,yes,35,\n"
       << "team,t1,,,,,3," << limit << ",,,,\n"
       << "team,t2,,,,,2,500,,,,\n"
       << "queue,open,main,t1,,,,,,,,yes\n"
       << "queue,q1,main,t1,,,,,,,,no\n"
       << "queue,q2,main,t2,,,,,,,,no\n";
  for (int zone = 1; zone <= shape_.zones; ++zone) {
    for (int i = 0; i < shape_.hosts; ++i) {
      const std::string rack =
          "z" + std::to_string(zone) + "-r" + std::to_string(i / 4 + 1);
      text << "host," << rack << "-h" << i % 4 + 1 << ",main,,z" << zone << ","
           << rack << ",,,,,,\n";
    }
    for (int i = 1; i <= shape_.spares; ++i) {
      text << "host,z" << zone << "-spare-h" << i << ",spare,,z" << zone
           << ",spare,,,,,,\n";
    }
  }
  return text.str();
}

Reply ProcessFleet::ApplySheet(int limit, bool allow_lowering) {
  Json body;
  body["mode"] = "apply";
  body["file"] = "test.csv";
  body["text"] = SheetText(limit);
  body["operator"] = "test";
  body["operation_id"] = RandomHex64();
  body["expected_version"] = ::Json::Int64(Version());
  body["allow_lowering"] = allow_lowering;
  return Control("POST", "/v1/sheets", body);
}

std::string ProcessFleet::CreateKey(const std::string& id,
                                    const std::string& team) {
  const std::string secret = "secret-of-" + team;
  Json command;
  command["type"] = "create_key";
  command["id"] = id;
  command["team"] = team;
  command["secret_hash"] = HashSecret(secret);
  const Reply reply = Control("POST", "/v1/operations",
                              Operation(RandomHex64(), Version(), command));
  if (reply.status != 200 ||
      !InForce(reply.json()["version"].asInt64(), kStartLimit))
    throw FixtureError(ErrorCode::kConflict,
                       "can't create key " + id + ": " + reply.body);
  return id + "." + secret;
}

bool ProcessFleet::InForce(std::int64_t version, Millis limit) {
  const std::string path = "/v1/in-force?version=" + std::to_string(version);
  return Eventually(
      limit, [&] { return Control("GET", path).json()["in_force"].asBool(); });
}

void ProcessFleet::WaitUntilReady() {
  const auto fresh = [this] {
    return std::all_of(
        entry_names_.begin(), entry_names_.end(),
        [this](const auto& name) { return Status(name)["fresh"].asBool(); });
  };
  if (!Eventually(kStartLimit, fresh))
    throw FixtureError(ErrorCode::kTimeout,
                       "the entry hosts did not become ready");
  if (const Reply reply = ApplySheet(shape_.limit, false); reply.status != 200)
    throw FixtureError(ErrorCode::kInvalidSheet,
                       "can't apply the sheet: " + reply.body);
  (void)CreateKey("k1", "t1");
  (void)CreateKey("k2", "t2");
  // Workers run jobs only after they have acknowledged their pool.
  for (const std::string& name : entry_names_) {
    const auto runs = [&] { return RunJob(name) == "finished"; };
    if (!Eventually(kStartLimit, runs))
      throw FixtureError(ErrorCode::kTimeout,
                         "no job finished through " + name);
  }
}

Json ProcessFleet::Spec(const std::string& queue, int run_ms, bool repeatable) {
  Json payload;
  payload["run_ms"] = run_ms;
  payload["echo"] = "echo";
  Json spec;
  spec["queue"] = queue;
  spec["cpu_millis"] = 1'000;
  spec["memory_mb"] = 256;
  spec["repeatable"] = repeatable;
  spec["payload"] = WriteJson(payload);
  return spec;
}

std::string ProcessFleet::Ticket(const std::string& entry) {
  return Http("POST", "http://" + address(entry) + "/v1/tickets")
      .json()["id"]
      .asString();
}

Reply ProcessFleet::Put(const std::string& entry,
                        const std::string& ticket,
                        const Json& spec,
                        const std::string& key) {
  return Http("PUT", "http://" + address(entry) + "/v1/jobs/" + ticket,
              {{"X-Boragewinch-Key", key}}, WriteJson(spec), Millis(7'000));
}

Reply ProcessFleet::Job(const std::string& entry,
                        const std::string& ticket,
                        const std::string& key) {
  return Http(
      "GET", "http://" + address(entry) + "/v1/jobs/" + ticket + "?wait_ms=500",
      {{"X-Boragewinch-Key", key}}, "", Millis(7'000));
}

std::string ProcessFleet::RunJob(const std::string& entry,
                                 const std::string& queue,
                                 const std::string& key) {
  const std::string ticket = Ticket(entry);
  Reply reply = Put(entry, ticket, Spec(queue, 5, true), key);
  const auto open = [&] {
    const std::string outcome = reply.json()["outcome"].asString();
    return outcome == "accepted" || outcome == "running";
  };
  (void)Eventually(Millis(15'000), [&] {
    if (open())
      reply = Job(entry, ticket, key);
    return !open();
  });
  const Json json = reply.json();
  return json.isMember("reason") ? json["reason"].asString()
                                 : json["outcome"].asString();
}

LoadConfig ProcessFleet::Load(std::int64_t jobs) const {
  LoadConfig config;
  config.entries = entries();
  config.targets = {{QueueName("open"), ""},
                    {QueueName("q1"), key1},
                    {QueueName("q2"), key2}};
  config.jobs = jobs;
  return config;
}

std::string ProcessFleet::LogOf(const std::string& name) const {
  std::ifstream log(directory_ + "/" + name + ".log");
  std::ostringstream text;
  text << log.rdbuf();
  return text.str();
}

std::map<std::string, int> ProcessFleet::Executions() const {
  std::map<std::string, int> executions;
  std::ifstream log(directory_ + "/tasks.log");
  for (std::string line; std::getline(log, line);) {
    if (!line.starts_with("start "))
      continue;
    const std::string task = line.substr(6, line.find(' ', 6) - 6);
    ++executions[task.substr(0, task.rfind('/'))];
  }
  return executions;
}

int ProcessFleet::ExecutionsOn(const std::string& host) const {
  std::ifstream log(directory_ + "/tasks.log");
  int count = 0;
  for (std::string line; std::getline(log, line);) {
    if (line.starts_with("start ") &&
        line.find(" " + host + " ") != std::string::npos)
      ++count;
  }
  return count;
}

int ProcessFleet::RunningOn(const std::string& host) const {
  std::ifstream log(directory_ + "/tasks.log");
  int running = 0;
  for (std::string line; std::getline(log, line);) {
    if (line.find(" " + host + " ") != std::string::npos)
      running += line.starts_with("start ") ? 1 : -1;
  }
  return running;
}

int ProcessFleet::PeakRunning(const std::string& team) const {
  std::ifstream log(directory_ + "/tasks.log");
  std::string kind;
  std::string task;
  std::string host;
  std::string owner;
  std::int64_t time = 0;
  // Changes by time; ends sort before starts of the same millisecond.
  std::vector<std::pair<std::int64_t, int>> changes;
  while (log >> kind >> task >> host >> owner >> time) {
    if (owner == team)
      changes.emplace_back(time, kind == "start" ? 1 : -1);
  }
  std::sort(changes.begin(), changes.end());
  int running = 0;
  int peak = 0;
  for (const auto& [unused, change] : changes)
    peak = std::max(peak, running += change);
  return peak;
}

std::string ProcessFleet::Violations() {
  std::string text;
  for (auto& [name, child] : children_) {
    if (!child.arguments.front().starts_with("boraged") || !Runs(name))
      continue;
    const Json status = Status(name);
    if (!status.isMember("invariants"))
      text += name + " has no status; ";
    for (const std::string& invariant : status["invariants"].getMemberNames()) {
      const Json& count = status["invariants"][invariant]["violated"];
      if (count.asUInt64() != 0)
        text += name + ": " + invariant + " " + count.asString() + "; ";
    }
  }
  return text;
}

BackgroundLoad::BackgroundLoad(LoadConfig config) : config_(std::move(config)) {
  thread_ = std::thread([this] {
    EventLoop loop;
    HttpClientLimits limits;
    limits.max_connections_per_host = 256;
    HttpClient client(loop, limits);
    LoadGenerator generator(loop, client, config_,
                            [&](const LoadReport&) { loop.Stop(); });
    loop.Post([&] { generator.Start(); });
    loop.Run();
    report_ = generator.report();
  });
}

BackgroundLoad::~BackgroundLoad() {
  if (thread_.joinable())
    thread_.join();
}

const LoadReport& BackgroundLoad::Wait() {
  if (thread_.joinable())
    thread_.join();
  return report_;
}

}  // namespace boragewinch
