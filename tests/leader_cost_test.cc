#define BOOST_TEST_MODULE leader_cost
#include <boost/test/unit_test.hpp>

#include "ledger_builder.h"

namespace boragewinch::jobs {
namespace {

// Guards against an entry encoding that costs so much CPU time that the leader
// cannot start a burst in time (issue 17). The JSON encoding took 2,899 bytes;
// the limit is a third of that.
BOOST_AUTO_TEST_CASE(AnEntryOfABurstIsCompact) {
  constexpr std::uint32_t kTasks = 20;
  constexpr std::size_t kMaxBytes = 2'899 / 3;
  Batch batch;
  batch.now = 1'790'000'000'000;
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    const std::string job = "5c0e7a21d94b" + std::to_string(1'000 + i / 8);
    const std::string worker = "worker-17-5c0" + std::to_string(100 + i / 4);
    batch.starts.push_back({LedgerBuilder::Run(job, 1, i % 8),
                            LedgerBuilder::IncarnationOf(worker, batch.now)});
    batch.ends.push_back({LedgerBuilder::Run(job, 0, i % 8),
                          LedgerBuilder::IncarnationOf(worker, batch.now),
                          RunEnd::kDone, "", 1'000 + i});
  }
  BOOST_TEST(EncodeBatch(batch).size() <= kMaxBytes);
}

}  // namespace
}  // namespace boragewinch::jobs
