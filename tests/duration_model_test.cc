#define BOOST_TEST_MODULE duration_model
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

#include "overload/duration_model.h"

namespace boragewinch::overload {
namespace {

const QueueName kQueue("q");

/// Records tasks of about 800 ms whose estimates are off by a random factor.
void Learn(DurationModel* model, double error, double bias = 1) {
  std::mt19937 random(7);
  std::normal_distribution<double> normal;
  for (int i = 0; i < 400; ++i) {
    const double took = 800 * std::exp(0.5 * normal(random));
    const double estimate = bias * took * std::exp(error * normal(random));
    model->OnDone(kQueue, Millis(std::lround(estimate)),
                  Millis(std::lround(took)));
  }
}

// Guards against an order of jobs that follows wild estimates: those are moved
// to the usual duration, accurate ones are kept.
BOOST_AUTO_TEST_CASE(EstimatesCountByTheirAccuracy) {
  DurationModel rough;
  Learn(&rough, 0.9);
  BOOST_TEST(rough.Expected(kQueue, Millis(8'000)).count() < 2'500);
  BOOST_TEST(rough.Expected(kQueue, Millis(80)).count() > 300);
  DurationModel accurate;
  Learn(&accurate, 0.05);
  BOOST_TEST(accurate.Expected(kQueue, Millis(2'000)).count() > 1'800);
  BOOST_TEST(accurate.Expected(kQueue, Millis(2'000)).count() < 2'200);
}

// Guards against a constant error of a queue's estimates.
BOOST_AUTO_TEST_CASE(AConstantFactorIsCorrected) {
  DurationModel model;
  Learn(&model, 0.05, 3);
  BOOST_TEST(model.Expected(kQueue, Millis(2'400)).count() > 700);
  BOOST_TEST(model.Expected(kQueue, Millis(2'400)).count() < 900);
}

// Guards against corrections from too few tasks, of another queue, or without
// an estimate.
BOOST_AUTO_TEST_CASE(LittleKnowledgeCorrectsNothing) {
  DurationModel model;
  for (int i = 0; i < 20; ++i)
    model.OnDone(kQueue, Millis(100), Millis(900));
  BOOST_TEST(model.Expected(kQueue, Millis(100)).count() == 100);
  Learn(&model, 0.5);
  BOOST_TEST(model.Expected(QueueName("other"), Millis(100)).count() == 100);
  const auto unknown = model.Expected(kQueue, Millis(0)).count();
  BOOST_TEST(unknown > 600);
  BOOST_TEST(unknown < 1'100);
  model.Retain([](const QueueName&) { return false; });
  BOOST_TEST(model.Expected(kQueue, Millis(100)).count() == 100);
}

}  // namespace
}  // namespace boragewinch::overload
