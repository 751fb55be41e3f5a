#define BOOST_TEST_MODULE kernel
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "base/event_log.h"
#include "kernel/kernel.h"

namespace boragewinch {
namespace {

struct QuietLog {
  QuietLog() { ConfigureEventLog("kernel_test", EventLevel::kError); }
};
BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

using Steps = std::vector<std::string>;

class Recorder : public Service {
 public:
  Recorder(std::string name, Steps* steps)
      : name_(std::move(name)), steps_(*steps) {}

  Status Start(Kernel& /*kernel*/) override {
    steps_.push_back("start " + name_);
    return Ok();
  }
  void Stop(const std::function<void()>& done) override {
    steps_.push_back("stop " + name_);
    done();
  }

 private:
  std::string name_;
  Steps& steps_;
};

class Other final : public Service {
 public:
  Status Start(Kernel& /*kernel*/) override { return Ok(); }
};

// Looks up `wanted` and then requests a stop.
class Seeker final : public Service {
 public:
  explicit Seeker(std::string wanted) : wanted_(std::move(wanted)) {}
  Status Start(Kernel& kernel) override {
    BW_TRY(found_, kernel.Require<Recorder>(wanted_));
    kernel.loop().Post([&kernel] { kernel.RequestStop(); });
    return Ok();
  }
  [[nodiscard]] Recorder* found() const { return found_; }

 private:
  std::string wanted_;
  Recorder* found_ = nullptr;
};

// Receives signals during its start.
class Signaled final : public Recorder {
 public:
  using Recorder::Recorder;
  Status Start(Kernel& kernel) override {
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    return Recorder::Start(kernel);
  }
};

// Guards against a process that is terminated by a SIGHUP during its start, and
// against a SIGTERM at that time that does not cause a planned stop.
BOOST_AUTO_TEST_CASE(SignalsDuringTheStartWaitForItsEnd) {
  Steps steps;
  Kernel kernel;
  kernel.Add("a", std::make_unique<Signaled>("a", &steps));
  BOOST_TEST(kernel.Run().has_value());
  const Steps expected{"start a", "stop a"};
  BOOST_TEST(steps == expected, boost::test_tools::per_element());
}

// Guards against a process that is terminated by a SIGTERM or SIGHUP that
// arrives before its kernel runs.
BOOST_AUTO_TEST_CASE(SignalsBeforeTheKernelRunsWaitForIt) {
  HoldSignals();
  std::raise(SIGHUP);
  std::raise(SIGTERM);
  Steps steps;
  Kernel kernel;
  kernel.Add("a", std::make_unique<Recorder>("a", &steps));
  BOOST_TEST(kernel.Run().has_value());
  const Steps expected{"start a", "stop a"};
  BOOST_TEST(steps == expected, boost::test_tools::per_element());
}

// Guards against services that start before, or stop after, those that they
// depend on, and against a lookup that depends on the start order.
BOOST_AUTO_TEST_CASE(StartsInOrderAndStopsInReverse) {
  Steps steps;
  Kernel kernel;
  auto seeker = std::make_unique<Seeker>("last");
  const Seeker* seeking = seeker.get();
  kernel.Add("first", std::make_unique<Recorder>("first", &steps));
  kernel.Add("seeker", std::move(seeker));
  kernel.Add("last", std::make_unique<Recorder>("last", &steps));
  BOOST_TEST(kernel.Run().has_value());
  BOOST_TEST(seeking->found() == kernel.Find<Recorder>("last"));
  const Steps expected{"start first", "start last", "stop last", "stop first"};
  BOOST_TEST(steps == expected, boost::test_tools::per_element());
}

// Guards against a process that runs without a service that another one depends
// on.
BOOST_AUTO_TEST_CASE(MissingServiceEndsTheStart) {
  for (const char* wanted : {"missing", "other"}) {
    Steps steps;
    Kernel kernel;
    kernel.Add("other", std::make_unique<Other>());
    kernel.Add("seeker", std::make_unique<Seeker>(wanted));
    kernel.Add("last", std::make_unique<Recorder>("last", &steps));
    const Status status = kernel.Run();
    BOOST_REQUIRE(!status.has_value());
    BOOST_TEST((status.error().code == ErrorCode::kUnknownName));
    BOOST_TEST(steps.empty());
  }
}

// Guards against an ambiguous lookup of one of two services.
BOOST_AUTO_TEST_CASE(NamesAreUnique) {
  Steps steps;
  Kernel kernel;
  kernel.Add("same", std::make_unique<Recorder>("a", &steps));
  kernel.Add("same", std::make_unique<Recorder>("b", &steps));
  const Status status = kernel.Run();
  BOOST_REQUIRE(!status.has_value());
  BOOST_TEST((status.error().code == ErrorCode::kDuplicateName));
  BOOST_TEST(steps.empty());
}

}  // namespace
}  // namespace boragewinch
