#define BOOST_TEST_MODULE key_process
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "process_fleet.h"

namespace boragewinch {
namespace {

// Required bound within which a withdrawn key stops working: 10 s.
constexpr Millis kWithdrawalBound{10'000};
// docs/design.md 4.1; add kCallMargin for the call and its polling.
constexpr Millis kFreshness{5'000};
constexpr Millis kCallMargin{1'500};

struct Fixture {
  static FleetShape Shape() {
    FleetShape shape;
    shape.zones = 2;
    shape.control_relays = true;
    return shape;
  }
  ProcessFleet fleet{Shape()};

  Reply WithdrawAtControl(const std::string& id) {
    Json command;
    command["type"] = "withdraw_key";
    command["id"] = id;
    return fleet.Control(
        "POST", "/v1/operations",
        ProcessFleet::Operation("withdraw-" + id, -1, command));
  }
  void CutZoneTwo(RelayMode mode) {
    for (const char* control : {"c1", "c2", "c3"})
      fleet.relay(std::string("z2-") + control).SetMode(mode);
  }
  std::string Submit(const std::string& entry, const std::string& key) {
    return fleet.RunJob(entry, "q1", key);
  }
};

// Guards against an entry host that keeps accepting a withdrawn key.
BOOST_FIXTURE_TEST_CASE(WithdrawnKeyStopsEverywhere, Fixture) {
  const std::string key = fleet.CreateKey("k9", "t1");
  for (const std::string& entry : fleet.entry_names())
    BOOST_TEST(Submit(entry, key) == "finished");
  BOOST_TEST(WithdrawAtControl("k9").status == 200);
  for (const std::string& entry : fleet.entry_names()) {
    BOOST_TEST(
        Eventually(kWithdrawalBound,
                   [&] { return Submit(entry, key) == "withdrawn_key"; }),
        entry);
    BOOST_TEST(Submit(entry, fleet.key1) == "finished");
  }
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against a partitioned zone that accepts keyed work from stale state,
// and against one that stops serving open queues.
BOOST_FIXTURE_TEST_CASE(CutZoneRefusesKeyedWorkOnly, Fixture) {
  for (const RelayMode mode : {RelayMode::kCut, RelayMode::kStall}) {
    CutZoneTwo(mode);
    BOOST_TEST(WithdrawAtControl("any").status == 200);
    const TimePoint cut = MonotonicNow();
    BOOST_TEST(Eventually(kFreshness + kCallMargin, [&] {
      return Submit("e21", fleet.key1) == "stale_configuration";
    }));
    BOOST_TEST((MonotonicNow() - cut <= kFreshness + kCallMargin));
    BOOST_TEST(Eventually(kCallMargin, [&] {
      return Submit("e22", fleet.key1) == "stale_configuration";
    }));
    BOOST_TEST(fleet.RunJob("e21") == "finished");
    BOOST_TEST(fleet.RunJob("e22") == "finished");
    BOOST_TEST(Submit("e11", fleet.key1) == "finished");
    CutZoneTwo(RelayMode::kForward);
    BOOST_TEST(Eventually(Millis(10'000), [&] {
      return Submit("e21", fleet.key1) == "finished";
    }));
  }
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against losing a withdrawal that an entry host accepted while its zone
// could reach no control host, when that entry host is killed.
BOOST_FIXTURE_TEST_CASE(WithdrawalOutlivesTheEntryHostThatReceivedIt, Fixture) {
  const std::string key = fleet.CreateKey("k9", "t1");
  BOOST_TEST(Submit("e21", key) == "finished");
  CutZoneTwo(RelayMode::kCut);
  BOOST_TEST(fleet.Operator("e21", "POST", "/v1/keys/k9/withdraw").status ==
             200);
  BOOST_TEST(Submit("e21", key) == "withdrawn_key");
  // The peer in its zone receives it by gossip.
  BOOST_TEST(Eventually(Millis(3'000),
                        [&] { return Submit("e22", key) == "withdrawn_key"; }));
  fleet.Kill("e21");
  CutZoneTwo(RelayMode::kForward);
  for (const char* entry : {"e11", "e12", "e22"}) {
    BOOST_TEST(
        Eventually(kWithdrawalBound,
                   [&] { return Submit(entry, key) == "withdrawn_key"; }),
        entry);
  }
  // A restarted entry host learns of the withdrawal before it accepts keyed
  // work.
  fleet.Start("e21");
  std::string seen;
  BOOST_TEST(Eventually(Millis(15'000), [&] {
    const std::string result = Submit("e21", key);
    if (result == "finished" || result == "accepted")
      seen = result;
    return result == "withdrawn_key";
  }));
  BOOST_TEST(seen == "");
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against work with a missing, unknown or foreign key.
BOOST_FIXTURE_TEST_CASE(OtherKeysAreRefused, Fixture) {
  BOOST_TEST(Submit("e11", "") == "bad_key");
  BOOST_TEST(Submit("e11", "k1") == "bad_key");
  BOOST_TEST(Submit("e11", "k1.wrong") == "bad_key");
  BOOST_TEST(Submit("e11", "nobody.secret") == "bad_key");
  BOOST_TEST(Submit("e11", fleet.key2) == "wrong_team");
  BOOST_TEST(fleet.Violations() == "");
}

}  // namespace
}  // namespace boragewinch
