#ifndef BORAGEWINCH_TESTS_FORMED_CLUSTER_H_
#define BORAGEWINCH_TESTS_FORMED_CLUSTER_H_

#include <cstdint>
#include <string>

#include <boost/test/unit_test.hpp>

#include <log4cxx/logger.h>

#include "raft_cluster.h"

namespace boragewinch::raft {

/// Global fixture: switches the log off.
struct QuietLog {
  QuietLog() {
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getOff());
  }
};
/// A cluster whose hosts are all running and have converged.
struct Formed : Cluster {
  explicit Formed(std::size_t count, std::uint64_t seed = 1)
      : Cluster(count, seed) {
    on_violation = [](const std::string& text) { BOOST_ERROR(text); };
    for (const auto& host : hosts)
      BOOST_REQUIRE(Start(*host));
    BOOST_REQUIRE(RunUntil([this] { return Converged(); }, Millis(10'000)));
  }
  std::uint64_t Put(const std::string& command) {
    BOOST_REQUIRE(leader());
    const auto index = leader()->replica->Propose(command, now);
    BOOST_REQUIRE(index);
    return index.value();
  }
  void WaitUntilConverged() {
    BOOST_REQUIRE(RunUntil([this] { return Converged(); }, Millis(20'000)));
  }
};

}  // namespace boragewinch::raft

#endif  // BORAGEWINCH_TESTS_FORMED_CLUSTER_H_
