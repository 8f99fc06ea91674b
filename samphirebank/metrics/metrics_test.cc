#include "samphirebank/metrics/metrics.h"

#include <doctest/doctest.h>

namespace samphirebank::metrics {
namespace {

TEST_CASE("counters and gauges print with one heading a name") {
  Registry registry;
  registry
      .AddCounter({.name = "refused_total",
                   .help = "Refused.",
                   .labels = {{"outcome", "not-run"}, {"why", "a\"b\\\n"}}})
      .Add(3);
  registry.AddCounter({.name = "refused_total", .help = "Refused."}).Add(1);
  registry.AddGauge({.name = "lag", .help = "Lag."}).Set(1.5);
  CHECK(registry.ToText() ==
        "# HELP samphirebank_refused_total Refused.\n"
        "# TYPE samphirebank_refused_total counter\n"
        "samphirebank_refused_total{outcome=\"not-run\",why=\"a\\\"b\\\\\\n\"} "
        "3\n"
        "samphirebank_refused_total 1\n"
        "# HELP samphirebank_lag Lag.\n"
        "# TYPE samphirebank_lag gauge\n"
        "samphirebank_lag 1.5\n");
}

TEST_CASE("a histogram's buckets add up, below and above its bounds too") {
  Registry registry;
  Histogram& histogram = registry.AddHistogram(
      {.name = "wait_seconds", .help = "Wait."}, {.lowest = 1, .buckets = 2});
  for (const double value : {-1.0, 0.5, 1.5, 1.9, 100.0}) {
    histogram.Record(value);
  }
  histogram.Record(Duration(std::chrono::milliseconds(500)));
  CHECK(histogram.count() == 6);
  CHECK(registry.ToText() ==
        "# HELP samphirebank_wait_seconds Wait.\n"
        "# TYPE samphirebank_wait_seconds histogram\n"
        "samphirebank_wait_seconds_bucket{le=\"1\"} 3\n"
        "samphirebank_wait_seconds_bucket{le=\"2\"} 5\n"
        "samphirebank_wait_seconds_bucket{le=\"+Inf\"} 6\n"
        "samphirebank_wait_seconds_sum 103.4\n"
        "samphirebank_wait_seconds_count 6\n");
}

}  // namespace
}  // namespace samphirebank::metrics
