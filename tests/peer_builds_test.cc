#define BOOST_TEST_MODULE peer_builds
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "scheduler/peer_builds.h"

namespace boragewinch::scheduler {
namespace {

const std::vector<std::string> kHosts{"10.0.0.1", "10.0.0.2"};

// Guards against a host that was left out of an upgrade without a log line, and
// against a line for each query.
BOOST_AUTO_TEST_CASE(EachDifferenceIsReportedOnce) {
  PeerBuilds builds("new");
  BOOST_TEST(builds.OnRevision("10.0.0.1", "old"));
  BOOST_TEST(!builds.OnRevision("10.0.0.1", "old"));
  BOOST_TEST(builds.OnRevision("10.0.0.2", "old"));
  BOOST_TEST(builds.OnRevision("10.0.0.2", ""));
  // The upgrade, and then a return to the earlier build.
  BOOST_TEST(!builds.OnRevision("10.0.0.1", "new"));
  BOOST_TEST(builds.OnRevision("10.0.0.1", "old"));
}

BOOST_AUTO_TEST_CASE(HostsOfTheSameBuildAreNotReported) {
  PeerBuilds builds("new");
  BOOST_TEST(!builds.OnRevision("10.0.0.1", "new"));
  BOOST_TEST(!builds.OnRevision("10.0.0.2", "new"));
}

// Guards against a host that is never asked, and against a table that grows
// with each replaced host.
BOOST_AUTO_TEST_CASE(AllMembersAreAskedInTurn) {
  PeerBuilds builds("new");
  BOOST_TEST(builds.Next(kHosts) == "10.0.0.1");
  BOOST_TEST(builds.Next(kHosts) == "10.0.0.2");
  BOOST_TEST(builds.Next(kHosts) == "10.0.0.1");
  BOOST_TEST(builds.Next({}).empty());
  BOOST_TEST(builds.OnRevision("10.0.0.1", "old"));
  BOOST_TEST(builds.Next({"10.0.0.2"}) == "10.0.0.2");
  // A new host at the address of the departed one is reported as well.
  BOOST_TEST(builds.OnRevision("10.0.0.1", "old"));
}

// Guards against a warning in the logs of an earlier version for each call.
BOOST_AUTO_TEST_CASE(HostsWithoutRevisionAreAskedOnce) {
  PeerBuilds builds("new");
  BOOST_TEST(builds.OnRevision("10.0.0.1", ""));
  BOOST_TEST(builds.Next(kHosts) == "10.0.0.2");
  BOOST_TEST(builds.Next(kHosts) == "10.0.0.2");
  BOOST_TEST(builds.OnRevision("10.0.0.2", ""));
  BOOST_TEST(builds.Next(kHosts).empty());
}

}  // namespace
}  // namespace boragewinch::scheduler
