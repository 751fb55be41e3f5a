#define BOOST_TEST_MODULE leader_reports
#include <boost/test/unit_test.hpp>

#include <string>
#include <variant>
#include <vector>

#include "base/event_log.h"
#include "control/leader_controller.h"
#include "model/worker_types.h"

namespace boragewinch {
namespace {

struct QuietLog {
  QuietLog() { ConfigureEventLog("leader_reports_test", EventLevel::kError); }
};
BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

[[nodiscard]] SyncReport ReportOf(const std::string& entry,
                                  const std::string& incarnation) {
  SyncReport report;
  report.entry = EntryName(entry);
  report.zone = ZoneName("z" + entry);
  report.incarnation = Incarnation(incarnation);
  return report;
}

/// Control loops of a leader whose commands stay in flight.
struct Leader {
  void Register(const std::string& entry, const std::string& incarnation) {
    const SyncReport report = ReportOf(entry, incarnation);
    BOOST_REQUIRE(
        state
            .Apply(++index,
                   EncodeCommand({{},
                                  RegisterEntry{report.entry, report.zone,
                                                report.incarnation,
                                                "127.0.0.1:1", "127.0.0.1:2"}}))
            .accepted);
  }

  EventLoop loop;
  HttpClient client{loop, {}};
  PlatformClient platform{client, ""};
  FleetState state;
  EntryReports reports;
  std::uint64_t index = 0;
  std::vector<Command> submitted;
  LeaderController controller{loop,
                              platform,
                              state,
                              reports,
                              {},
                              {},
                              [this](const Command& command, const auto&) {
                                submitted.push_back(command);
                              }};
};

// Guards against a reclaim that waits for that of another entry host because
// both use the same key for commands in flight.
BOOST_AUTO_TEST_CASE(ReclaimsOfTwoEntryHostsAreUnderWayTogether) {
  Leader leader;
  TimePoint now = FromMillis(1'000'000);
  leader.controller.OnLeadership(now);
  for (const char* incarnation : {"1", "2"}) {
    leader.Register("a", incarnation);
    leader.Register("b", incarnation);
  }
  BOOST_REQUIRE_EQUAL(leader.state.ledger().reserved.size(), 2U);
  const TimePoint end = now + 2 * kTaskLease;
  for (; now < end; now += Millis(1'000)) {
    leader.controller.OnReport(ReportOf("a", "2"), now);
    leader.controller.OnReport(ReportOf("b", "2"), now);
    leader.controller.Tick(now);
  }
  std::vector<std::string> reclaimed;
  for (const Command& command : leader.submitted) {
    if (const auto* reclaim = std::get_if<ReclaimEntry>(&command.body))
      reclaimed.push_back(reclaim->run.entry.str());
  }
  const std::vector<std::string> expected{"a", "b"};
  BOOST_TEST(reclaimed == expected, boost::test_tools::per_element());
}

// Guards against a withdrawal with an empty list of keys, which crashed the
// leader, or without the reported keys.
BOOST_AUTO_TEST_CASE(ReportedWithdrawalIsSubmittedOnce) {
  Leader leader;
  const TimePoint now = FromMillis(1'000'000);
  leader.controller.OnLeadership(now);
  leader.Register("a", "1");
  SyncReport report = ReportOf("a", "1");
  report.tombstones = {KeyId("k1"), KeyId("k2")};
  leader.controller.OnReport(report, now);
  leader.controller.OnReport(report, now + kSyncInterval);
  BOOST_REQUIRE_EQUAL(leader.submitted.size(), 1U);
  const auto* withdraw = std::get_if<WithdrawKey>(&leader.submitted[0].body);
  BOOST_REQUIRE(withdraw != nullptr);
  BOOST_TEST((withdraw->ids == report.tombstones));
}

}  // namespace
}  // namespace boragewinch
