#ifndef BORAGEWINCH_TESTS_RAFT_CLUSTER_H_
#define BORAGEWINCH_TESTS_RAFT_CLUSTER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/random/mersenne_twister.hpp>

#include "base/hash.h"
#include "memory_disk.h"
#include "raft/replica.h"

namespace boragewinch::raft {

/// \brief Simulates hosts with replicas, disks and a network in one thread. The
/// state machine is the list of its commands.
class Cluster {
 public:
  struct Host {
    std::string name;
    MemoryDisk disk;
    std::unique_ptr<Replica> replica;
    std::vector<std::string> commands;  ///< state of the state machine
    std::vector<Error> errors;
    bool frozen = false;  ///< gets no messages and no ticks
    bool busy = false;    ///< puts snapshots off
    int snapshots = 0;    ///< taken since the test began
    /// ReplicaOptions::hosts of this host, if not those of the cluster.
    std::vector<std::string> seeds;
  };
  struct Sent {
    std::string from_host;
    std::string to_host;
    Message message;
    TimePoint at;
  };

  ReplicaOptions options;
  /// Whether a command replaces the state, as a configuration does.
  bool commands_replace_state = false;
  TimePoint now{Millis(1'000'000)};
  std::vector<std::unique_ptr<Host>> hosts;
  /// Returns the delays of the copies of a message; none if it is lost.
  std::function<std::vector<Millis>(const Sent&)> network = [](const Sent&) {
    return std::vector<Millis>{Millis(1)};
  };
  /// Reports a violated guarantee; set by the test.
  std::function<void(const std::string&)> on_violation;

  Cluster(std::size_t count, std::uint64_t seed) : random_(seed) {
    options.directory = "d";
    for (std::size_t i = 0; i < count; ++i) {
      hosts.push_back(std::make_unique<Host>());
      hosts.back()->name = "h" + std::to_string(i);
      options.hosts.push_back(hosts.back()->name);
    }
  }

  [[nodiscard]] std::uint64_t Random() { return random_(); }

  [[nodiscard]] Status Start(Host& host) {
    ReplicaOptions host_options = options;
    host_options.host = host.name;
    if (!host.seeds.empty())
      host_options.hosts = host.seeds;
    ReplicaHooks hooks;
    hooks.send = [this, &host](const std::string& to, const Message& message) {
      Post({host.name, to, message, now});
    };
    hooks.apply = [this, &host](std::uint64_t index,
                                const std::string& command) {
      if (commands_replace_state)
        host.commands.clear();
      host.commands.push_back(command);
      RecordApplied(index, command, host);
    };
    hooks.is_busy = [&host] { return host.busy; };
    hooks.take_snapshot = [&host] {
      ++host.snapshots;
      Json list(::Json::arrayValue);
      for (const std::string& command : host.commands)
        list.append(command);
      return WriteJson(list);
    };
    hooks.restore = [&host](const std::string& state) -> Status {
      BW_TRY(const Json list, ParseJson(state));
      host.commands.clear();
      for (const Json& item : list)
        host.commands.push_back(item.asString());
      return Ok();
    };
    hooks.on_error = [&host](const Error& error) {
      host.errors.push_back(error);
    };
    hooks.on_role = [this, &host](Role role, std::uint64_t term,
                                  const ReplicaId&) {
      if (role == Role::kLeader)
        RecordLeader(term, host);
    };
    host.commands.clear();
    host.frozen = false;
    host.replica = std::make_unique<Replica>(
        host.disk.Hooks(), host_options, hooks, [this] { return random_(); });
    Status status = host.replica->Start(now);
    if (!status)
      host.replica.reset();
    return status;
  }

  /// \brief Kills the process and loses its unsynced data.
  void Crash(Host& host) {
    host.replica.reset();
    host.disk.Crash([this] { return random_(); });
  }

  /// \brief Advances the clock by `step`, delivers due messages and ticks the
  /// replicas.
  void Step(Millis step) {
    now += step;
    for (auto it = queue_.begin(); it != queue_.end() && it->first <= now;
         it = queue_.erase(it)) {
      Host* const to = Find(it->second.to_host);
      if (to == nullptr || !to->replica || to->frozen)
        continue;
      if (const auto message = RoundTrip(it->second.message))
        (void)to->replica->Receive(*message, now);
    }
    for (const auto& host : hosts) {
      if (host->replica && !host->frozen)
        host->replica->Tick(now);
    }
  }

  /// \brief Steps until `done` returns true or `limit` has passed.
  bool RunUntil(const std::function<bool()>& done, Millis limit) {
    for (const TimePoint end = now + limit; now < end;) {
      if (done())
        return true;
      Step(Millis(10));
    }
    return done();
  }

  [[nodiscard]] Host* Find(const std::string& name) {
    for (const auto& host : hosts) {
      if (host->name == name)
        return host.get();
    }
    return nullptr;
  }

  /// \returns the running leader of the highest term, or null.
  [[nodiscard]] Host* leader() {
    Host* found = nullptr;
    for (const auto& host : hosts) {
      if (host->replica && host->replica->role() == Role::kLeader &&
          (!found || host->replica->term() > found->replica->term())) {
        found = host.get();
      }
    }
    return found;
  }

  /// \returns how many replicas hold a leader lease, as the owners of replicas
  /// use it. More than one can issue orders then.
  [[nodiscard]] std::size_t LeaseHolders() const {
    return static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(), [this](const auto& host) {
          if (!host->replica)
            return false;
          const auto confirmed = host->replica->ConfirmedAt(now);
          return confirmed &&
                 now - *confirmed < HolderLease(options.node.election_timeout);
        }));
  }

  /// \returns whether all hosts are voters and have applied the leader's log.
  [[nodiscard]] bool Converged() {
    Host* first = leader();
    if (!first)
      return false;
    const Replica& leader_replica = *first->replica;
    const auto same = [&](const auto& host) {
      return host->replica && !host->replica->failure() &&
             leader_replica.configuration().IsVoter(host->replica->id()) &&
             host->replica->applied_index() ==
                 leader_replica.node().log().last_index();
    };
    return leader_replica.configuration().voters.size() == hosts.size() &&
           leader_replica.configuration().learners.empty() &&
           std::all_of(hosts.begin(), hosts.end(), same);
  }

  std::size_t elections = 0;
  /// Commands applied by any replica, by index.
  std::map<std::uint64_t, std::string> applied;

 private:
  void Post(const Sent& sent) {
    for (const Millis delay : network(sent))
      queue_.emplace(now + delay, sent);
  }

  // Encodes and decodes one in eight messages as JSON, which also tests the
  // codec.
  std::optional<Message> RoundTrip(const Message& message) {
    if (random_() % 8 != 0)
      return message;
    const auto json = ParseJson(WriteJson(ToJson(message)));
    auto copy =
        json ? MessageFromJson(json.value()) : Result<Message>(json.error());
    if (copy)
      return copy.value();
    on_violation("codec: " + copy.error().Text());
    return std::nullopt;
  }

  void RecordApplied(std::uint64_t index,
                     const std::string& command,
                     const Host& host) {
    const auto [at, inserted] = applied.emplace(index, command);
    if (!inserted && at->second != command) {
      on_violation("entry " + std::to_string(index) + " of " + host.name +
                   " is " + command + ", was " + at->second);
    }
  }

  void RecordLeader(std::uint64_t term, const Host& host) {
    const auto [at, inserted] = leaders_.emplace(term, host.replica->id());
    elections += inserted ? 1 : 0;
    if (!inserted && at->second != host.replica->id())
      on_violation("two leaders in term " + std::to_string(term));
  }

  boost::random::mt19937_64 random_;
  std::multimap<TimePoint, Sent> queue_;
  std::map<std::uint64_t, ReplicaId> leaders_;
};

}  // namespace boragewinch::raft

#endif  // BORAGEWINCH_TESTS_RAFT_CLUSTER_H_
