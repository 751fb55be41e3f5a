#define BOOST_TEST_MODULE build_folder_process
#include <boost/test/unit_test.hpp>

#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <regex>
#include <string>

namespace boragewinch {
namespace {

namespace fs = std::filesystem;

struct CommandResult {
  int exit_code = -1;
  std::string output;
};

/// \brief Runs a shell command in `directory`.
[[nodiscard]] CommandResult Run(const fs::path& directory,
                                const std::string& command) {
  const std::string line =
      "cd '" + directory.string() + "' && { " + command + "; } 2>&1";
  CommandResult result;
  FILE* pipe = popen(line.c_str(), "r");
  BOOST_REQUIRE(pipe != nullptr);
  char buffer[4096];
  while (const std::size_t count = fread(buffer, 1, sizeof(buffer), pipe))
    result.output.append(buffer, count);
  const int status = pclose(pipe);
  result.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

void Write(const fs::path& path, const std::string& text) {
  fs::create_directories(path.parent_path());
  std::ofstream(path, std::ios::trunc) << text;
}

/// \returns the program's source; it prints `answer` and the revision.
[[nodiscard]] std::string ProgramText(const std::string& answer) {
  return "#include <cstdio>\n#include \"base/build_info.h\"\n"
         "#include \"platform/answer.h\"\n"
         "int main() {\n"
         "  std::printf(\"%s " +
         answer +
         " %s\\n\", kAnswer,\n"
         "              boragewinch::BuildText(boragewinch::build_info())"
         ".c_str());\n"
         "}\n";
}

[[nodiscard]] std::string HeaderText(const std::string& answer) {
  return "#pragma once\ninline constexpr char kAnswer[] = \"" + answer +
         "\";\n";
}

constexpr char kSetTimesBack[] =
    "find . -path ./target -prune -o -type f -exec touch -d 2001-02-03 {} +";

/// \brief A checkout with the project's build files and two small programs,
/// which is built with the command of deploy/system.toml.
class Checkout {
 public:
  Checkout() {
    std::string pattern = (fs::temp_directory_path() / "bw-build-XXXXXX");
    BOOST_REQUIRE(mkdtemp(pattern.data()) != nullptr);
    base_ = pattern;
    folder_ = base_ / "first";
    const fs::path source = BORAGEWINCH_SOURCE;
    for (const char* file :
         {"CMakeLists.txt", "deploy/system.toml", "src/base/build_info.h",
          "src/base/build_info.cc"}) {
      if (!fs::exists(source / file))
        continue;
      fs::create_directories((folder_ / file).parent_path());
      fs::copy_file(source / file, folder_ / file);
    }
    fs::copy(source / "scripts", folder_ / "scripts",
             fs::copy_options::recursive);
    Write(folder_ / "platform/empty.cc", "");
    SetAnswer("one");
    for (const char* program : {"boraged_scheduler", "boraged_gateway"}) {
      Write(folder_ / "platform" / (std::string(program) + "_main.cc"),
            ProgramText("main"));
    }
  }
  Checkout(const Checkout&) = delete;
  Checkout& operator=(const Checkout&) = delete;
  ~Checkout() {
    std::error_code ignored;
    fs::remove_all(base_, ignored);
  }

  [[nodiscard]] const fs::path& folder() const noexcept { return folder_; }
  [[nodiscard]] fs::path target() const { return folder_ / "target"; }

  void SetAnswer(const std::string& answer) {
    Write(folder_ / "platform/answer.h", HeaderText(answer));
  }
  void Move() {
    fs::rename(folder_, base_ / "second");
    folder_ = base_ / "second";
  }
  [[nodiscard]] CommandResult Shell(const std::string& command) const {
    return Run(folder_, command);
  }
  [[nodiscard]] CommandResult Build() const {
    std::ifstream deploy(folder_ / "deploy/system.toml");
    const std::regex pattern("^build = \"(.*)\"$");
    for (std::string line; std::getline(deploy, line);) {
      if (std::smatch match; std::regex_match(line, match, pattern))
        return Shell(match[1]);
    }
    return {};
  }
  /// \brief Builds; fails the test if that fails.
  /// \returns the output of the build.
  std::string MustBuild() const {
    const CommandResult result = Build();
    BOOST_REQUIRE_MESSAGE(result.exit_code == 0, result.output);
    return result.output;
  }
  /// \returns what the scheduler prints: the answer of the header, that of the
  /// main file, and the build.
  [[nodiscard]] std::string Output() const {
    return Shell("target/bin/boraged-scheduler").output;
  }
  [[nodiscard]] std::string Revision() const {
    const std::string output = Output();
    std::smatch match;
    BOOST_REQUIRE_MESSAGE(
        std::regex_search(output, match, std::regex("revision ([0-9a-f]{16})")),
        output);
    return match[1];
  }

 private:
  fs::path base_;
  fs::path folder_;
};

[[nodiscard]] bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// Each case runs in a checkout that was built with the answer "one".
struct BuiltCheckout {
  BuiltCheckout() {
    checkout.MustBuild();
    BOOST_REQUIRE(Contains(checkout.Output(), "one main"));
  }
  Checkout checkout;
};

// Guards against a build that CMake refuses, after which the programs of the
// earlier sources lie in target/ and are started.
BOOST_FIXTURE_TEST_CASE(MovedFolderGivesProgramsOfItsSources, BuiltCheckout) {
  checkout.Move();
  checkout.SetAnswer("two");
  checkout.MustBuild();
  BOOST_TEST(Contains(checkout.Output(), "two main"), checkout.Output());
}

// Guards against programs of earlier sources in a directory that an earlier
// version built, without a record of what it comes from.
BOOST_FIXTURE_TEST_CASE(DirectoryWithoutRecordIsBuiltAgain, BuiltCheckout) {
  checkout.SetAnswer("two");
  BOOST_REQUIRE(checkout.Shell(kSetTimesBack).exit_code == 0);
  fs::remove(checkout.target() / "build-origin");
  fs::remove(checkout.target() / "build-sources");
  checkout.MustBuild();
  BOOST_TEST(Contains(checkout.Output(), "two main"), checkout.Output());
}

// Guards against programs of earlier sources if the later ones were unpacked
// with old modification times.
BOOST_FIXTURE_TEST_CASE(OldModificationTimesDoNotHideChanges, BuiltCheckout) {
  checkout.SetAnswer("two");
  BOOST_REQUIRE(checkout.Shell(kSetTimesBack).exit_code == 0);
  checkout.MustBuild();
  BOOST_TEST(Contains(checkout.Output(), "two main"), checkout.Output());
}

// The same where the times are older than the objects but newer than those of
// the sources of the last build.
BOOST_FIXTURE_TEST_CASE(TimesBetweenSourceAndObjectDoNotHideChanges,
                        BuiltCheckout) {
  checkout.SetAnswer("two");
  BOOST_REQUIRE(
      checkout.Shell("touch -d 2021-02-03 target/.ninja_log").exit_code == 0);
  BOOST_REQUIRE(checkout.Shell(kSetTimesBack).exit_code == 0);
  BOOST_REQUIRE(
      checkout.Shell("touch -d 2011-02-03 platform/answer.h").exit_code == 0);
  checkout.MustBuild();
  BOOST_TEST(Contains(checkout.Output(), "two main"), checkout.Output());
}

// Guards against objects for another kind of machine that are newer than the
// sources: the linker refuses them, or the programs can't be started.
BOOST_FIXTURE_TEST_CASE(ObjectsOfAnotherMachineAreBuiltAgain, BuiltCheckout) {
  const CommandResult machine = checkout.Shell("uname -m");
  const std::string other =
      Contains(machine.output, "x86_64") ? "aarch64" : "x86_64";
  // Replaces each object by one for the other kind of machine, of the same
  // time: ninja builds an object again that is newer than its record.
  const CommandResult replaced = checkout.Shell(
      "echo 'int unused;' >other.c && "
      "clang --target=" +
      other +
      "-linux-gnu -c other.c -o other.o && "
      "for object in $(find target -name '*.o'); do "
      "touch -r $object time && cp other.o $object && touch -r time $object; "
      "done && "
      "rm -f other.c other.o time target/*.a && "
      "touch target/build-origin && sed -i 's/^machine .*/machine " +
      other + "/; s/^compiler [^ ]*/compiler " + other +
      "-linux-gnu/' target/build-origin");
  BOOST_REQUIRE_MESSAGE(replaced.exit_code == 0, replaced.output);
  checkout.MustBuild();
  BOOST_TEST(Contains(checkout.Output(), "one main"), checkout.Output());
}

// Guards against a half-written directory that the next build takes for whole.
BOOST_FIXTURE_TEST_CASE(InterruptedBuildIsFinished, BuiltCheckout) {
  checkout.SetAnswer("two");
  const CommandResult ended = checkout.Shell(
      "cmake -S . -B target >/dev/null; "
      "for object in $(find target -name '*_main.cc.o'); do "
      "head -c 100 $object >half && cp half $object; done; rm half; "
      "truncate -s 0 target/bin/boraged-gateway");
  BOOST_REQUIRE_MESSAGE(ended.exit_code == 0, ended.output);
  checkout.MustBuild();
  BOOST_TEST(Contains(checkout.Output(), "two main"), checkout.Output());
  BOOST_TEST(Contains(checkout.Shell("target/bin/boraged-gateway").output,
                      "two main"));
}

// Guards against a directory that was emptied only in part: the emptying has to
// be repeated.
BOOST_FIXTURE_TEST_CASE(InterruptedEmptyingIsRepeated, BuiltCheckout) {
  checkout.SetAnswer("two");
  BOOST_REQUIRE(checkout.Shell(kSetTimesBack).exit_code == 0);
  fs::remove(checkout.target() / "build-origin");
  fs::remove(checkout.target() / "CMakeCache.txt");
  checkout.MustBuild();
  BOOST_TEST(Contains(checkout.Output(), "two main"), checkout.Output());
}

// Guards against a build that compiles or links again without a change.
BOOST_FIXTURE_TEST_CASE(UnchangedSourcesAreNotBuiltAgain, BuiltCheckout) {
  checkout.MustBuild();
  const auto linked =
      fs::last_write_time(checkout.target() / "bin/boraged-scheduler");
  const std::string output = checkout.MustBuild();
  BOOST_TEST(!Contains(output, "Building CXX"), output);
  BOOST_TEST(!Contains(output, "Linking"), output);
  BOOST_TEST(!Contains(output, "from empty"), output);
  BOOST_TEST((fs::last_write_time(checkout.target() /
                                  "bin/boraged-scheduler") == linked));
}

// Guards against a revision that depends on the folder or on file times, or
// that stays the same for other sources. The checkout has no repository.
BOOST_FIXTURE_TEST_CASE(RevisionFollowsTheSourcesOnly, BuiltCheckout) {
  const std::string first = checkout.Revision();
  checkout.Move();
  BOOST_REQUIRE(checkout.Shell("find . -type f -exec touch {} +").exit_code ==
                0);
  checkout.MustBuild();
  BOOST_TEST(checkout.Revision() == first);
  BOOST_TEST(!Contains(checkout.Output(), "commit"), checkout.Output());
  checkout.SetAnswer("two");
  checkout.MustBuild();
  BOOST_TEST(checkout.Revision() != first);
  checkout.SetAnswer("one");
  checkout.MustBuild();
  BOOST_TEST(checkout.Revision() == first);
}

// Guards against a commit of another project's repository, and against one that
// hides changes of the work tree.
BOOST_FIXTURE_TEST_CASE(CommitIsThatOfTheSources, BuiltCheckout) {
  constexpr char kCommit[] =
      "git -c user.name=t -c user.email=t@example -c commit.gpgsign=false "
      "commit -qam x";
  BOOST_REQUIRE(checkout
                    .Shell("git init -q .. && git -C .. add first/scripts && "
                           "cd .. && " +
                           std::string(kCommit))
                    .exit_code == 0);
  checkout.MustBuild();
  BOOST_TEST(!Contains(checkout.Output(), "commit"), checkout.Output());
  BOOST_REQUIRE(checkout
                    .Shell("echo target >.gitignore && git init -q . && "
                           "git add . && " +
                           std::string(kCommit))
                    .exit_code == 0);
  checkout.MustBuild();
  const CommandResult head = checkout.Shell("git rev-parse --short=12 HEAD");
  const std::string commit =
      "commit " + head.output.substr(0, head.output.find('\n'));
  BOOST_TEST(Contains(checkout.Output(), commit + "\n"), checkout.Output());
  checkout.SetAnswer("two");
  checkout.MustBuild();
  BOOST_TEST(Contains(checkout.Output(), commit + "+changes"),
             checkout.Output());
}

}  // namespace
}  // namespace boragewinch
