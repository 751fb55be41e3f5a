#define BOOST_TEST_MODULE known_hosts
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "scheduler/known_hosts.h"

namespace boragewinch::scheduler {
namespace {

using Hosts = std::vector<std::string>;

/// \returns the hosts that are contacted in one turn.
[[nodiscard]] std::set<std::string> Turn(KnownHosts& hosts) {
  std::set<std::string> contacted;
  for (std::size_t i = hosts.hosts().size(); i > 0; --i)
    contacted.insert(hosts.Next());
  return contacted;
}

// Guards against a process that knows only the seeds and finds no leader once
// all of them have been replaced.
BOOST_AUTO_TEST_CASE(MembersBesideTheSeedsAreContacted) {
  KnownHosts hosts({"s1", "s2", "s3"});
  hosts.OnMembers({"s2", "m4", "m5"}, true);
  BOOST_TEST(Turn(hosts) ==
             (std::set<std::string>{"s1", "s2", "s3", "m4", "m5"}));
}

// Guards against hosts that were replaced long ago and still get every second
// attempt, each of which waits for its timeout.
BOOST_AUTO_TEST_CASE(FormerMembersAreForgotten) {
  KnownHosts hosts({"s1"});
  for (int i = 0; i < 100; ++i)
    hosts.OnMembers({"m" + std::to_string(i)}, true);
  BOOST_TEST(Turn(hosts) == (std::set<std::string>{"m99", "s1"}));
}

// Guards against a host that is cut off, or was just emptied, whose list hides
// the present members.
BOOST_AUTO_TEST_CASE(AReportWithoutALeaderOnlyAddsHosts) {
  KnownHosts hosts({"s1"});
  hosts.OnMembers({"m1", "m2"}, true);
  hosts.OnMembers({"m3"}, false);
  hosts.OnMembers({}, true);
  BOOST_TEST(Turn(hosts) == (std::set<std::string>{"m1", "m2", "m3", "s1"}));
}

// Guards against a malformed report that makes the list grow without a bound.
BOOST_AUTO_TEST_CASE(ReportsAreBounded) {
  KnownHosts hosts({"s1"});
  Hosts many(10'000);
  for (std::size_t i = 0; i < many.size(); ++i)
    many[i] = "x" + std::to_string(i);
  for (const bool knows_leader : {false, true, false}) {
    hosts.OnMembers(many, knows_leader);
    std::reverse(many.begin(), many.end());
    BOOST_TEST(hosts.hosts().size() <= KnownHosts::kMaxMembers + 1);
  }
  hosts.OnMembers({"", ""}, false);
  BOOST_TEST(Turn(hosts).count("") == 0U);
}

// Guards against an endless loop where no host is known.
BOOST_AUTO_TEST_CASE(WithoutHostsThereIsNoneToContact) {
  KnownHosts hosts({});
  BOOST_TEST(hosts.Next().empty());
}

}  // namespace
}  // namespace boragewinch::scheduler
