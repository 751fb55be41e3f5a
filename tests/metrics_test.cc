#define BOOST_TEST_MODULE metrics
#include <boost/test/unit_test.hpp>

#include "base/build_info.h"
#include "base/metrics.h"

namespace boragewinch {
namespace {

// Guards against quantiles that understate durations, and against losing
// durations of 0 or beyond the axis.
BOOST_AUTO_TEST_CASE(QuantilesStayWithinOneBinAbove) {
  const struct {
    std::int64_t value;
    std::int64_t highest;
  } cases[] = {{-5, 0}, {0, 0},     {1, 1},        {2, 2},
               {3, 3},  {100, 119}, {1'200, 1428}, {604'800'000, 604'800'000}};
  for (const auto& test : cases) {
    BOOST_TEST_CONTEXT(test.value) {
      Metrics metrics;
      for (int i = 0; i < 10; ++i)
        metrics.Observe("wait", {"a", "urgent"}, Millis(test.value));
      // A larger value, since quantiles are limited to the maximum.
      metrics.Observe("wait", {"a", "urgent"}, Millis(604'800'000));
      const auto summary = metrics.durations("wait", {"a", "urgent"});
      BOOST_TEST(summary.count == 11U);
      BOOST_TEST(summary.median.count() >= test.value);
      BOOST_TEST(summary.median.count() <= std::max(test.highest, 1L));
      BOOST_TEST(summary.p99.count() == 604'800'000);
    }
  }
}

// Guards against unbounded memory when callers choose the labels, and against
// repeating the event for each further label set.
BOOST_AUTO_TEST_CASE(LabelSetsAboveTheLimitAreMerged) {
  Metrics metrics(2);
  for (int i = 0; i < 5; ++i)
    metrics.Count("jobs", {"team-" + std::to_string(i), ""});
  metrics.Count("jobs", {"team-0", ""}, 10);
  BOOST_TEST(metrics.counter("jobs", {"team-0", ""}) == 11U);
  BOOST_TEST(metrics.counter("jobs", {"team-4", ""}) == 0U);
  BOOST_TEST(metrics.counter("jobs", {"other", "other"}) == 3U);
  BOOST_TEST(metrics.ToJson()["counters"].size() == 3U);
}

// Guards against output that a Prometheus scraper rejects or misreads:
// unescaped labels, exclusive bounds, buckets that are not cumulative.
BOOST_AUTO_TEST_CASE(PrometheusTextIsWellFormed) {
  Metrics metrics;
  metrics.Count("jobs", {"a\"b\\c\nd", ""}, 2);
  metrics.Gauge("queued", {}, 1.5);
  metrics.Observe("wait", {"a", "x"}, Millis(2));
  metrics.Observe("wait", {"a", "x"}, Millis(3));
  const std::string build_info_line =
      "boragewinch_build_info{version=\"0.1.0\",revision=\"" +
      std::string(build_info().revision) + "\"} 1\n";
  BOOST_TEST(build_info().revision.size() == 16U);
  const std::string text = metrics.PrometheusText();
  for (const char* line : {
           "# TYPE boragewinch_jobs_total counter\n",
           "boragewinch_jobs_total{team=\"a\\\"b\\\\c\\nd\"} 2\n",
           "boragewinch_queued 1.5\n",
           "# TYPE boragewinch_build_info gauge\n",
           build_info_line.c_str(),
           "# TYPE boragewinch_wait_ms histogram\n",
           "boragewinch_wait_ms_bucket{team=\"a\",class=\"x\",le=\"1\"} 0\n",
           "boragewinch_wait_ms_bucket{team=\"a\",class=\"x\",le=\"2\"} 1\n",
           "boragewinch_wait_ms_bucket{team=\"a\",class=\"x\",le=\"4\"} 2\n",
           "boragewinch_wait_ms_bucket{team=\"a\",class=\"x\",le=\"+Inf\"} 2\n",
           "boragewinch_wait_ms_sum{team=\"a\",class=\"x\"} 5\n",
           "boragewinch_wait_ms_count{team=\"a\",class=\"x\"} 2\n",
       }) {
    BOOST_TEST(text.find(line) != std::string::npos,
               line << " not in " << text);
  }
}

}  // namespace
}  // namespace boragewinch
