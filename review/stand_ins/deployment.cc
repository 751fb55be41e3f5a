#include "review/stand_ins/deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace boragewinch::review {

namespace {

constexpr int kSchedulers = 3;
constexpr int kFirstGateway = 10;
constexpr int kGateways = 2;
constexpr Millis kPoll{20};
/// The operator moves on after a second without a response.
constexpr Millis kControlTimeout{1'000};
/// Time limit of the clients' requests on the users' sheets.
constexpr Millis kClientTimeout{3'000};
constexpr Millis kRetryDelay{300};

// A random network, so that cases on one machine do not share addresses.
[[nodiscard]] std::string RandomNetwork() {
  std::random_device random;
  return "127." + std::to_string(16 + random() % 200) + "." +
         std::to_string(1 + random() % 250) + ".";
}

/// \returns the text after `run = "` of a role in deploy/system.toml.
[[nodiscard]] std::string RunLine(const std::string& role) {
  std::ifstream file("deploy/system.toml");
  std::string line;
  bool in_role = false;
  const std::string key = "run = \"";
  while (std::getline(file, line)) {
    if (line.starts_with("["))
      in_role = line == "[roles." + role + "]";
    if (in_role && line.starts_with(key))
      return line.substr(key.size(), line.rfind('"') - key.size());
  }
  throw std::runtime_error("no run line of role " + role);
}

void Replace(std::string* text,
             const std::string& name,
             const std::string& value) {
  const std::string mark = "{{" + name + "}}";
  for (std::size_t at = text->find(mark); at != std::string::npos;
       at = text->find(mark)) {
    text->replace(at, mark.size(), value);
  }
}

}  // namespace

Deployment::Deployment(const std::string& folder)
    : client_(loop_, HttpClientLimits{}),
      network_(RandomNetwork()),
      record_(folder + "/record.txt"),
      begun_(loop_.now()) {
  std::signal(SIGPIPE, SIG_IGN);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
    signals_.push_back(loop_.OnSignal(number, [this] {
      interrupted_ = true;
      loop_.Stop();
    }));
  }
  directory_ =
      (std::filesystem::temp_directory_path() / "bw-review-XXXXXX").string();
  if (mkdtemp(directory_.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
}

Deployment::~Deployment() {
  for (auto& [name, program] : programs_) {
    if (program.pid > 0) {
      kill(program.pid, SIGKILL);
      waitpid(program.pid, nullptr, 0);
    }
  }
  std::filesystem::remove_all(directory_);
}

std::string Deployment::Ip(int number) const {
  return network_ + std::to_string(number);
}

void Deployment::Record(const std::string& line) {
  const std::string text =
      std::to_string((loop_.now() - begun_).count()) + " ms  " + line;
  record_ << text << std::endl;
  std::printf("%s\n", text.c_str());
  std::fflush(stdout);
}

void Deployment::Start(const std::string& hosts_api) {
  std::string seeds;
  for (int i = 1; i <= kSchedulers; ++i) {
    controls_.push_back(Ip(i) + ":8345");
    seeds += (i > 1 ? "," : "") + controls_.back();
  }
  const auto add = [&](const std::string& name, const std::string& role,
                       const std::string& ip, const std::string& zone) {
    std::string command = RunLine(role);
    Replace(&command, "nodeName", name);
    Replace(&command, "ip", ip);
    Replace(&command, "zone", zone);
    Replace(&command, "seeds", seeds);
    Replace(&command, "internalPortRange.0", "7000");
    Replace(&command, "listen.control", ip + ":8345");
    Replace(&command, "listen.front", ip + ":8340");
    Replace(&command, "listen.ready", ip + ":8343");
    Replace(&command, "dataDir", directory_ + "/" + name);
    Replace(&command, "cloudApi.address", hosts_api);
    Replace(&command, "advice", hosts_api);
    Replace(&command, "faultTolerance.machines", "1");
    Replace(&command, "bounds.maxHoldMs", "10000");
    Replace(&command, "bounds.leaseMs", "3000");
    Replace(&command, "bounds.maintenanceS", "2");
    Replace(&command, "cloudApi.dutyPerS", "64.0");
    std::filesystem::create_directories(directory_ + "/" + name);
    programs_[name] = {command, directory_ + "/" + name + ".log"};
  };
  for (int i = 1; i <= kSchedulers; ++i)
    add("core-" + std::to_string(i), "scheduler", Ip(i),
        "zone-" + std::to_string(i));
  for (int i = 1; i <= kGateways; ++i) {
    add("front-" + std::to_string(i), "gateway", Ip(kFirstGateway + i),
        "zone-" + std::to_string(i));
    gateways_.push_back(Ip(kFirstGateway + i) + ":8340");
  }
  for (const auto& [name, program] : programs_)
    Spawn(name);
}

void Deployment::Spawn(const std::string& name) {
  Program& program = programs_.at(name);
  std::string command = program.command;
  Replace(&command, "bootstrap", program.started ? "false" : "true");
  program.started = true;
  std::istringstream words(command);
  std::vector<std::string> arguments;
  for (std::string word; words >> word;)
    arguments.push_back(word);
  std::vector<char*> pointers;
  for (std::string& argument : arguments)
    pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  const pid_t pid = fork();
  if (pid < 0)
    throw std::runtime_error("fork failed");
  if (pid == 0) {
    // Also ends the program if this process is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    const int output =
        open(program.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    std::signal(SIGPIPE, SIG_DFL);
    execv(pointers.front(), pointers.data());
    _exit(127);
  }
  program.pid = pid;
  // run.sh ends what is left if this process is killed.
  std::ofstream(std::filesystem::temp_directory_path() / "pids", std::ios::app)
      << pid << std::endl;
  Record("started " + name + ": " + command);
}

void Deployment::Kill(const std::string& name) {
  Program& program = programs_.at(name);
  kill(program.pid, SIGKILL);
  waitpid(program.pid, nullptr, 0);
  program.pid = 0;
  Record("killed " + name + " (SIGKILL)");
}

void Deployment::Restart(const std::string& name) {
  Spawn(name);
}

std::string Deployment::Log(const std::string& name) const {
  std::ifstream file(programs_.at(name).log);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Deployment::Leader() {
  for (int i = 1; i <= kSchedulers; ++i) {
    HttpCall call;
    call.url = "http://" + Ip(i) + ":9464/metrics";
    call.timeout = Millis(500);
    bool done = false;
    bool leads = false;
    client_.Send(std::move(call), [&](const Result<HttpResponse>& result) {
      done = true;
      if (!result)
        return;
      std::istringstream lines(result.value().body);
      for (std::string line; std::getline(lines, line);) {
        leads = leads || (line.find("leads") != std::string::npos &&
                          !line.starts_with("#") && line.ends_with(" 1"));
      }
    });
    RunUntil(Millis(1'000), [&] { return done; });
    if (leads)
      return "core-" + std::to_string(i);
  }
  return "";
}

Reply Deployment::Send(HttpCall call) {
  bool done = false;
  Reply reply;
  const Millis limit = call.timeout + Millis(2'000);
  auto target = std::make_shared<Reply*>(&reply);
  client_.Send(std::move(call),
               [&done, target](const Result<HttpResponse>& result) {
                 if (*target == nullptr)
                   return;
                 done = true;
                 if (!result)
                   return;
                 (*target)->status = result.value().status;
                 if (auto json = ParseJson(result.value().body))
                   (*target)->body = std::move(json).value();
               });
  RunUntil(limit, [&] { return done; });
  *target = nullptr;
  return reply;
}

Reply Deployment::Call(const std::string& method,
                       const std::string& path,
                       const Json& body) {
  HttpCall call;
  call.method = method;
  call.url = "http://" + gateways_[next_gateway_++ % gateways_.size()] + path;
  call.headers["Host"] = "jobs.example";
  call.headers["Authorization"] = "Bearer key-of-t1";
  call.headers["Request-Deadline"] = std::to_string(kClientTimeout.count());
  if (!body.isNull())
    call.body = WriteJson(body);
  call.timeout = kClientTimeout;
  const Reply reply = Send(std::move(call));
  Record("client " + method + " " + path + " -> " +
         std::to_string(reply.status) + " " +
         (reply.body.isNull() ? "" : WriteJson(reply.body)));
  return reply;
}

void Deployment::SubmitAsync(const std::string& path,
                             const Json& job,
                             const std::string& key,
                             std::function<void(int)> done) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + gateways_[next_gateway_++ % gateways_.size()] + path;
  call.headers["Host"] = "jobs.example";
  call.headers["Authorization"] = "Bearer " + key;
  call.headers["Request-Deadline"] = std::to_string(kClientTimeout.count());
  call.body = WriteJson(job);
  call.timeout = kClientTimeout;
  client_.Send(std::move(call),
               [done = std::move(done)](const Result<HttpResponse>& result) {
                 done(result ? result.value().status : 0);
               });
}

std::pair<double, double> Deployment::MemoryOf(const std::string& name) const {
  std::ifstream file("/proc/" + std::to_string(programs_.at(name).pid) +
                     "/status");
  std::pair<double, double> memory{0, 0};
  constexpr double kKibPerMib = 1'024;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:"))
      memory.first = std::stod(line.substr(6)) / kKibPerMib;
    if (line.starts_with("VmHWM:"))
      memory.second = std::stod(line.substr(6)) / kKibPerMib;
  }
  return memory;
}

bool Deployment::Submit(const std::string& path,
                        const Json& job,
                        Millis limit) {
  Record("client submits " + path + ": " + WriteJson(job).substr(0, 400));
  const TimePoint until = loop_.now() + limit;
  while (loop_.now() < until) {
    if (Call("POST", path, job).status == 200)
      return true;
    RunFor(kRetryDelay);
  }
  return false;
}

std::string Deployment::State(const std::string& path) {
  const Reply reply = Call("GET", path);
  return reply.status == 200 && reply.body["state"].isString()
             ? reply.body["state"].asString()
             : "status " + std::to_string(reply.status);
}

bool Deployment::WaitState(const std::string& path,
                           const std::string& state,
                           Millis limit) {
  const TimePoint until = loop_.now() + limit;
  while (loop_.now() < until) {
    if (State(path) == state)
      return true;
    RunFor(Millis(500));
  }
  return false;
}

Reply Deployment::Control(const std::string& method,
                          const std::string& path,
                          const Json& body) {
  HttpCall call;
  call.method = method;
  call.url = "http://" + controls_[next_control_++ % controls_.size()] + path;
  if (!body.isNull())
    call.body = WriteJson(body);
  call.timeout = kControlTimeout;
  const std::string url = call.url;
  Reply reply = Send(std::move(call));
  Record("control " + method + " " + url + " -> " +
         std::to_string(reply.status));
  return reply;
}

bool Deployment::PutConfig(const Json& config, Millis limit) {
  Record("operator sends configuration " + WriteJson(config).substr(0, 1'200));
  const TimePoint until = loop_.now() + limit;
  while (loop_.now() < until) {
    if (Control("PUT", "/-/config", config).status == 200)
      return true;
    RunFor(kRetryDelay);
  }
  return false;
}

bool Deployment::RunUntil(Millis limit, const std::function<bool()>& holds) {
  const TimePoint deadline = loop_.now() + limit;
  bool held = holds();
  if (held)
    return true;
  const WatchHandle step = loop_.Every(kPoll, [&](TimePoint now) {
    held = holds();
    if (held || now >= deadline)
      loop_.Stop();
  });
  loop_.Run();
  if (interrupted_)
    throw std::runtime_error("ended by a signal");
  return held;
}

void Deployment::RunFor(Millis time) {
  (void)RunUntil(time, [] { return false; });
}

}  // namespace boragewinch::review
