#define BOOST_TEST_MODULE advice_cache
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

#include "ledger_builder.h"
#include "scheduler/advice_cache.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;

constexpr Millis kTicketValidity{3'000};

/// A pool whose advice service allows some of the workers.
struct AdvisedPool {
  AdvisedPool() {
    jobs::Batch batch;
    batch.config = builder.ledger().config();
    ++batch.config->version;
    batch.config->queues[0].advised = true;
    builder.Apply(batch);
  }

  /// Adds the workers w100, w101 and so on.
  void AddWorkers(int count) {
    for (int i = 0; i < count; ++i)
      builder.AddWorker("w" + std::to_string(100 + i));
  }

  /// Sends the requests that are due and answers them.
  /// \returns the workers of each.
  std::vector<std::vector<std::string>> Answer() {
    std::vector<std::vector<std::string>> asked;
    for (const AdviceCache::Request& request :
         cache.Decide(builder.ledger(), accept_all, now)) {
      Advice advice;
      advice.valid = kTicketValidity;
      std::vector<std::string>& workers = asked.emplace_back();
      for (const jobs::WorkerId& worker : request.workers) {
        workers.push_back(worker.str());
        if (allowed.count(worker.str()) > 0)
          advice.tickets[worker] = "ticket of " + worker.str();
      }
      cache.OnResponse(request.step, advice, now);
    }
    return asked;
  }

  [[nodiscard]] bool HasTicket(const std::string& worker,
                               const std::string& job = "job",
                               jobs::UnixMillis start_time = 1) const {
    return cache
        .TicketFor({jobs::JobId(job), 0, 0, 0},
                   {jobs::WorkerId(worker), start_time}, now)
        .has_value();
  }

  LedgerBuilder builder;
  AdviceOptions options;
  AdviceCache cache{options};
  AdviceCache::MayStart accept_all = [](const jobs::WorkerIncarnation&) {
    return true;
  };
  std::set<std::string> allowed;
  TimePoint now{Millis(1'000'000)};
};

// Guards against a job that never starts because the workers that may run it
// are not among the first of a large pool (review/10).
BOOST_FIXTURE_TEST_CASE(EachWorkerOfALargePoolIsAskedAbout, AdvisedPool) {
  AddWorkers(100);
  allowed = {"w199"};
  builder.Submit("job", {LedgerBuilder::Tasks(1)});
  std::set<std::string> asked;
  // The rule LOST allows 3 s without a start.
  for (const TimePoint end = now + Millis(2'000); now < end;
       now += Millis(20)) {
    for (const auto& workers : Answer()) {
      BOOST_TEST(workers.size() <= options.max_workers);
      for (const std::string& worker : workers)
        BOOST_TEST(asked.insert(worker).second, worker << " is asked again");
    }
  }
  BOOST_TEST(asked.size() == 100U);
  BOOST_TEST(HasTicket("w199"));
  BOOST_TEST(!HasTicket("w100"));
}

// Guards against requests for a step that can start already.
BOOST_FIXTURE_TEST_CASE(AUsableTicketNeedsNoFurtherRequest, AdvisedPool) {
  AddWorkers(100);
  allowed = {"w105"};
  builder.Submit("job", {LedgerBuilder::Tasks(1)});
  BOOST_TEST(Answer().size() == 1U);
  now += options.patience - Millis(100);
  BOOST_TEST(Answer().empty());
  // The planner has not used it: the tasks may need more workers.
  now += Millis(500);
  BOOST_TEST(Answer().size() == 1U);
}

// Guards against a step that waits for the only allowed worker of the first
// request while it is full and others are free.
BOOST_FIXTURE_TEST_CASE(AFullWorkerDoesNotKeepFromAskingFurther, AdvisedPool) {
  builder.AddWorker("w099", {1'000, 1'000, 0});
  AddWorkers(40);
  allowed = {"w099", "w135"};
  builder.Submit("job", {LedgerBuilder::Tasks(1)});
  BOOST_TEST(Answer().size() == 1U);
  BOOST_TEST(HasTicket("w099"));
  builder.Submit("other", {LedgerBuilder::Tasks(1)})
      .Start(LedgerBuilder::Run("other", 0, 0), "w099");
  now += options.retry_delay;
  BOOST_TEST(Answer().size() == 1U);
  BOOST_TEST(HasTicket("w135"));
}

// Guards against tickets that expire while the step waits.
BOOST_FIXTURE_TEST_CASE(TicketsAreRenewedFirst, AdvisedPool) {
  AddWorkers(100);
  allowed = {"w120"};
  builder.Submit("job", {LedgerBuilder::Tasks(1)});
  (void)Answer();
  for (const TimePoint end = now + 3 * kTicketValidity; now < end;
       now += Millis(20)) {
    (void)Answer();
    BOOST_TEST(HasTicket("w120"));
  }
}

// Guards against further requests that delay the first one of other steps.
BOOST_FIXTURE_TEST_CASE(FirstRequestsGoBeforeFurtherOnes, AdvisedPool) {
  AddWorkers(100);
  for (int i = 0; i < 8; ++i)
    builder.Submit("a" + std::to_string(i), {LedgerBuilder::Tasks(1)});
  BOOST_TEST(Answer().size() == 8U);
  for (int i = 0; i < 8; ++i)
    builder.Submit("b" + std::to_string(i), {LedgerBuilder::Tasks(1)});
  now += options.retry_delay;
  const auto requests = cache.Decide(builder.ledger(), accept_all, now);
  BOOST_TEST(requests.size() == options.max_in_flight);
  for (const AdviceCache::Request& request : requests)
    BOOST_TEST(request.step.job.str().front() == 'b');
}

// Guards against a ticket of an earlier incarnation, which the worker rejects.
BOOST_FIXTURE_TEST_CASE(ATicketIsOfOneIncarnation, AdvisedPool) {
  AddWorkers(1);
  allowed = {"w100"};
  builder.Submit("job", {LedgerBuilder::Tasks(1)});
  (void)Answer();
  BOOST_TEST(HasTicket("w100"));
  jobs::Batch batch;
  jobs::WorkerRecord record =
      builder.ledger().FindCurrent(jobs::WorkerId("w100"))->record;
  record.incarnation.start_time = 2;
  batch.workers.push_back(record);
  builder.Apply(batch);
  BOOST_TEST(!HasTicket("w100", "job", 2));
  now += options.retry_delay;
  BOOST_TEST(Answer().size() == 1U);
  BOOST_TEST(HasTicket("w100", "job", 2));
}

// Guards against questions about workers that can't run the step.
BOOST_FIXTURE_TEST_CASE(WorkersWithoutTheLabelAreNotAskedAbout, AdvisedPool) {
  AddWorkers(3);
  jobs::StepSpec step = LedgerBuilder::Tasks(1);
  step.required_label = "gpu";
  builder.Submit("job", {step});
  BOOST_TEST(Answer().empty());
}

// Guards against a step without a verdict that asks for ever without pause.
BOOST_FIXTURE_TEST_CASE(AFailedRequestIsRepeatedAfterADelay, AdvisedPool) {
  AddWorkers(1);
  builder.Submit("job", {LedgerBuilder::Tasks(1)});
  const auto requests = cache.Decide(builder.ledger(), accept_all, now);
  BOOST_REQUIRE(requests.size() == 1U);
  BOOST_TEST(Answer().empty());  // in flight
  cache.OnResponse(requests[0].step,
                   Fail(ErrorCode::kUnavailable, "no response"), now);
  BOOST_TEST(Answer().empty());
  now += options.retry_delay;
  BOOST_TEST(Answer().size() == 1U);
}

}  // namespace
}  // namespace boragewinch::scheduler
