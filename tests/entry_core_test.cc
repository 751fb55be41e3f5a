#define BOOST_TEST_MODULE entry_core
#include <boost/test/unit_test.hpp>

#include "entry_world.h"

namespace boragewinch::testing {
namespace {

[[nodiscard]] std::string Shown(const JobAnswer* answer) {
  if (answer == nullptr)
    return "no answer";
  std::string text(kOutcomes.Name(answer->outcome));
  if (answer->reason != RefusalReason::kNone)
    text += "/" + std::string(kRefusalReasons.Name(answer->reason));
  return text;
}

// Guards against a step missing from the path of a request.
BOOST_AUTO_TEST_CASE(SubmitRunsAndReturnsItsResult) {
  for (const int entries : {1, 2}) {
    for (const bool repeatable : {true, false}) {
      World world(entries, 1, 1);
      world.Run(Millis(3'000));
      const CallId submit = world.Submit(0, world.Job(repeatable));
      world.Run(Millis(8'000));
      if (entries == 1 && !repeatable) {
        BOOST_TEST(Shown(world.answer(submit)) == "refused_not_run/no_backup");
        continue;
      }
      BOOST_REQUIRE_EQUAL(Shown(world.answer(submit)), "accepted");
      const RequestId id = world.answer(submit)->request;
      const CallId result = world.Ask(entries - 1, CallKind::kResult, id);
      world.Run(Millis(500));
      BOOST_TEST(Shown(world.answer(result)) == "finished");
      BOOST_TEST(world.answer(result)->body == "done:" + id.str());
      BOOST_TEST(world.executions[id] == 1);
      BOOST_TEST(world.faults.size() == 0U);
    }
  }
}

}  // namespace
}  // namespace boragewinch::testing
