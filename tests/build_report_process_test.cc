#define BOOST_TEST_MODULE build_report_process
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/build_info.h"
#include "child_process.h"
#include "platform_cluster.h"

namespace boragewinch::platform {
namespace {

namespace fs = std::filesystem;

// Time limit of each wait. It is generous for slow machines and is reached only
// if a process hangs.
constexpr Millis kLimit{60'000};

[[nodiscard]] std::string ReadFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

struct TemporaryDirectory {
  TemporaryDirectory() {
    std::string pattern = fs::temp_directory_path() / "bw-report-XXXXXX";
    BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
    path = pattern;
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  ~TemporaryDirectory() {
    std::error_code ignored;
    fs::remove_all(path, ignored);
  }
  fs::path path;
};

// Guards against a program of which nobody can tell what it was built from.
BOOST_AUTO_TEST_CASE(EachProgramNamesItsRevision) {
  const TemporaryDirectory directory;
  for (const std::string program :
       {"boraged-scheduler", "boraged-gateway", "boraged-control",
        "boraged-entry", "boragectl", "boragewinch-load", "fake-platform",
        "fake-worker"}) {
    const fs::path log = directory.path / program;
    ChildProcess child;
    child.Start({std::string(BORAGEWINCH_BIN) + "/" + program, "--version"},
                log);
    while (child.Runs())
      std::this_thread::sleep_for(Millis(5));
    BOOST_TEST(child.exit_code() == 0, program);
    BOOST_TEST(ReadFile(log) == BuildText(build_info()) + "\n");
  }
}

// Guards against hosts that run different builds without a line in any log.
BOOST_AUTO_TEST_CASE(SchedulersReportAPeerOfAnotherBuild) {
  const TemporaryDirectory directory;
  const std::string own(build_info().revision);
  const std::string other(own.size(), own.front() == '0' ? '1' : '0');
  std::string program =
      ReadFile(std::string(BORAGEWINCH_BIN) + "/boraged-scheduler");
  const std::size_t found = program.find(own);
  BOOST_REQUIRE(found != std::string::npos);
  program.replace(found, own.size(), other);
  const fs::path changed = directory.path / "boraged-scheduler";
  std::ofstream(changed, std::ios::binary) << program;
  fs::permissions(changed, fs::perms::owner_all);

  ClusterOptions options;
  options.scheduler_programs["s3"] = changed;
  PlatformCluster cluster(std::move(options));
  BOOST_REQUIRE(cluster.Begin(kLimit));
  const auto lines = [&cluster](const std::string& name,
                                const std::string& event) {
    std::vector<std::string> found;
    std::ifstream log(cluster.directory() + "/" + name + ".log");
    for (std::string line; std::getline(log, line);) {
      if (line.find(event) != std::string::npos)
        found.push_back(line);
    }
    return found;
  };
  const auto differences = [&](const std::string& name) {
    return lines(name, "peer_build_differs");
  };
  // The hosts are asked in turn, so s3 has asked both when it reports two.
  BOOST_REQUIRE(cluster.RunUntil(kLimit, [&] {
    return differences("s1").size() == 1 && differences("s2").size() == 1 &&
           differences("s3").size() == 2;
  }));
  BOOST_TEST(differences("s1").front().find(other) != std::string::npos);
  BOOST_TEST(differences("s1").front().find(own) != std::string::npos);
  for (const std::string name : {"s1", "s3"}) {
    const std::vector<std::string> started = lines(name, "process_started");
    BOOST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started.front().find(name == "s1" ? own : other) !=
               std::string::npos);
  }
}

}  // namespace
}  // namespace boragewinch::platform
