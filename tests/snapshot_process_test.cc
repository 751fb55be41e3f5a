#define BOOST_TEST_MODULE snapshot_process
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

#include "base/hash.h"
#include "base/secret.h"
#include "process_fleet.h"

namespace boragewinch {
namespace {

// Long enough for a slow machine; only a hang takes longer.
constexpr Millis kLimit{30'000};
constexpr int kEntriesBetweenSnapshots = 16;
constexpr int kWriters = 4;

/// Creates keys continuously and records those accepted by the control group.
class Changes {
 public:
  explicit Changes(ProcessFleet& fleet) : fleet_(fleet) {
    for (int writer = 0; writer < kWriters; ++writer)
      threads_.emplace_back([this, writer] { Write(writer); });
  }
  ~Changes() { Finish(); }
  void Finish() {
    stop_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable())
        thread.join();
    }
  }
  std::vector<std::string> accepted() {
    const std::lock_guard lock(mutex_);
    return accepted_;
  }
  std::int64_t newest_version() {
    const std::lock_guard lock(mutex_);
    return newest_version_;
  }

 private:
  void Write(int writer) {
    for (int number = 0; !stop_; ++number) {
      Json command;
      command["type"] = "create_key";
      command["id"] = "s" + std::to_string(writer) + "-" +
                      std::to_string(number) + "-" + RandomHex64();
      command["team"] = "t1";
      command["secret_hash"] = HashSecret("secret");
      const std::string id = command["id"].asString();
      // A failed call may have been applied, so it is not counted.
      const char* const host = kHosts[(writer + number) % 3];
      const Reply reply =
          fleet_.Operator(host, "POST", "/v1/operations",
                          ProcessFleet::Operation("op-" + id, -1, command));
      if (reply.status != 200)
        continue;
      const std::lock_guard lock(mutex_);
      accepted_.push_back(id);
      newest_version_ =
          std::max(newest_version_, reply.json()["version"].asInt64());
    }
  }

  static constexpr const char* kHosts[] = {"c1", "c2", "c3"};
  ProcessFleet& fleet_;
  std::atomic<bool> stop_{false};
  std::mutex mutex_;
  std::vector<std::string> accepted_;
  std::int64_t newest_version_ = 0;
  std::vector<std::thread> threads_;
};

struct Fixture {
  static FleetShape Shape() {
    FleetShape shape;
    shape.hosts = 4;
    shape.snapshot_entries = kEntriesBetweenSnapshots;
    return shape;
  }
  ProcessFleet fleet{Shape()};

  std::string Temporary(const std::string& control) {
    return fleet.data(control) + "/snapshot.tmp";
  }
  // Stops the process between the creation of the temporary file and its rename
  // to the snapshot.
  bool FreezeInSnapshot(const std::string& control) {
    const std::string path = Temporary(control);
    const TimePoint deadline = MonotonicNow() + kLimit;
    while (MonotonicNow() < deadline) {
      if (!std::filesystem::exists(path)) {
        std::this_thread::yield();
        continue;
      }
      fleet.Signal(control, SIGSTOP);
      if (Eventually(kLimit, [&] { return IsFrozen(control); }) &&
          std::filesystem::exists(path))
        return true;
      fleet.Signal(control, SIGCONT);
    }
    return false;
  }
  bool IsFrozen(const std::string& control) {
    std::ifstream stat("/proc/" + std::to_string(fleet.pid(control)) + "/stat");
    std::string text;
    std::getline(stat, text);
    const auto end = text.rfind(") ");
    return end != std::string::npos && text.compare(end + 2, 1, "T") == 0;
  }
  // Checks that every accepted change is applied at all control and entry
  // hosts.
  void CheckInForce(Changes& changes) {
    BOOST_TEST(fleet.InForce(changes.newest_version(), kLimit));
    BOOST_TEST(Eventually(kLimit, [&] {
      const Json first = fleet.Status("c1");
      return first.isMember("hash") &&
             first["version"].asInt64() >= changes.newest_version() &&
             first["hash"] == fleet.Status("c2")["hash"] &&
             first["hash"] == fleet.Status("c3")["hash"];
    }));
    const std::string keys = fleet.Control("GET", "/v1/fleet").body;
    for (const std::string& id : changes.accepted())
      BOOST_TEST(keys.find("\"" + id + "\"") != std::string::npos, id);
    for (const std::string& entry : fleet.entry_names())
      BOOST_TEST(fleet.Status(entry)["version"].asInt64() >=
                 changes.newest_version());
    BOOST_TEST(fleet.Violations() == "");
  }
  // Checks that each control host takes another snapshot.
  void CheckSnapshotsContinue() {
    for (const char* control : {"c1", "c2", "c3"}) {
      const auto count = [&] {
        const std::string log = fleet.LogOf(control);
        // BW2004 is snapshot_written.
        int found = 0;
        for (auto at = log.find("BW2004"); at != std::string::npos;
             at = log.find("BW2004", at + 1))
          ++found;
        return found;
      };
      const int before = count();
      BOOST_TEST(Eventually(kLimit, [&] {
        (void)fleet.RunJob("e11");
        return count() > before;
      }));
    }
  }
  void CheckNoTemporaryFile() {
    for (const char* control : {"c1", "c2", "c3"}) {
      BOOST_TEST(Eventually(kLimit, [&] {
        return !std::filesystem::exists(Temporary(control));
      }));
    }
  }
};

// Guards against a planned stop that fails while a snapshot is being written,
// or leaves a data directory from which the process can't start.
BOOST_FIXTURE_TEST_CASE(StoppedWhileWritingASnapshot, Fixture) {
  Changes changes(fleet);
  for (const char* control : {"c1", "c2", "c3", "c1", "c2", "c3"}) {
    BOOST_REQUIRE(FreezeInSnapshot(control));
    fleet.Signal(control, SIGTERM);
    fleet.Signal(control, SIGCONT);
    BOOST_TEST(fleet.WaitExit(control, kLimit) == 0, control);
    BOOST_TEST(!std::filesystem::exists(Temporary(control)), control);
    fleet.Start(control);
    BOOST_REQUIRE(Eventually(kLimit, [&] {
      return fleet.Status(control)["version"].asInt64() >=
             changes.newest_version();
    }));
  }
  CheckSnapshotsContinue();
  changes.Finish();
  CheckInForce(changes);
  CheckNoTemporaryFile();
}

// Guards against a control host that does not start, or starts from a torn
// snapshot, after it was killed while writing one.
BOOST_FIXTURE_TEST_CASE(KilledWhileWritingASnapshot, Fixture) {
  Changes changes(fleet);
  for (const char* control : {"c1", "c2", "c3", "c1", "c2", "c3"}) {
    BOOST_REQUIRE(FreezeInSnapshot(control));
    fleet.Kill(control);
    BOOST_TEST(std::filesystem::exists(Temporary(control)), control);
    fleet.Start(control);
    BOOST_REQUIRE(Eventually(kLimit, [&] {
      return fleet.Status(control)["version"].asInt64() >=
             changes.newest_version();
    }));
  }
  CheckSnapshotsContinue();
  changes.Finish();
  CheckInForce(changes);
  CheckNoTemporaryFile();
}

// Guards against lost changes when the whole group is killed while writing a
// snapshot and only the disks remain, with temporary files that are torn or
// longer than the next snapshot.
BOOST_FIXTURE_TEST_CASE(WholeGroupKilledWhileWritingASnapshot, Fixture) {
  Changes changes(fleet);
  for (const char* control : {"c1", "c2", "c3"}) {
    BOOST_REQUIRE(FreezeInSnapshot(control));
    for (const char* name : {"c1", "c2", "c3"})
      fleet.Kill(name);
    BOOST_TEST(std::filesystem::exists(Temporary(control)), control);
    for (const char* name : {"c1", "c2", "c3"}) {
      for (const char* file : {"/snapshot.tmp", "/identity.tmp"}) {
        std::ofstream left(fleet.data(name) + file, std::ios::trunc);
        left << "BWFILE01"
             << std::string(name == std::string("c1") ? 3 : 9'000'000, 'x');
      }
    }
    for (const char* name : {"c1", "c2", "c3"})
      fleet.Start(name);
    BOOST_REQUIRE(Eventually(kLimit, [&] { return fleet.Leader() != ""; }));
  }
  CheckSnapshotsContinue();
  changes.Finish();
  CheckInForce(changes);
  CheckNoTemporaryFile();
}

}  // namespace
}  // namespace boragewinch
