// File: metrics.h
//
// Counters, gauges and histograms of one process, and their Prometheus text.
// Histograms are Boost.Histogram's, with bounds that double.
//
// Thread rules: a registry and what it hands out belong to the loop's thread.
//
// Example:
//
//   Registry registry;
//   Counter& refused = registry.AddCounter(
//       {.name = "requests_refused_total", .help = "Refused requests."});
//   refused.Add(1);
//   reply.body = registry.ToText();
#ifndef SAMPHIREBANK_METRICS_METRICS_H_
#define SAMPHIREBANK_METRICS_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "samphirebank/base/base.h"

namespace samphirebank::metrics {

// Label is one name and value of a series.
struct Label {
  std::string name;
  std::string value;
};

// Description names a series. Series of one name should be added one after the
// other, with the same help.
struct Description {
  std::string name;  // without the prefix "samphirebank_"
  std::string help;
  std::vector<Label> labels = {};
};

// Counter only rises.
class Counter {
 public:
  void Add(uint64_t amount) { this->total += amount; }
  uint64_t value() const { return this->total; }

 private:
  uint64_t total = 0;
};

// Gauge is a reading.
class Gauge {
 public:
  void Set(double reading) { this->current = reading; }
  double value() const { return this->current; }

 private:
  double current = 0;
};

// HistogramBounds are the upper bounds of the buckets: `lowest`, doubled until
// there are `buckets` of them; one more bucket takes what is above.
struct HistogramBounds {
  double lowest = 0.001;  // in the unit of the series; seconds for time
  uint32_t buckets = 16;
};

// Histogram counts values by size.
class Histogram {
 public:
  explicit Histogram(HistogramBounds bounds);
  ~Histogram();
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  // Record counts a value.
  void Record(double value);
  // Record counts a span, in seconds.
  void Record(Duration span);

  // count returns how many values were recorded.
  uint64_t count() const;
  // sum returns the sum of the values.
  double sum() const { return this->total; }
  // CountBelow returns how many values lie below bound `index`.
  uint64_t CountBelow(uint32_t index) const;
  // BoundAt returns bound `index`.
  double BoundAt(uint32_t index) const;
  uint32_t buckets() const { return this->limits.buckets; }

 private:
  struct Impl;
  HistogramBounds limits;
  double total = 0;
  std::unique_ptr<Impl> impl;
};

// Registry owns the series of a process. What it hands out lives as long as
// the registry.
class Registry {
 public:
  Registry();
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  Counter& AddCounter(Description description);
  Gauge& AddGauge(Description description);
  Histogram& AddHistogram(Description description, HistogramBounds bounds);

  // ToText returns all series in Prometheus text format 0.0.4.
  std::string ToText() const;

 private:
  struct Series;
  std::vector<std::unique_ptr<Series>> all;
};

}  // namespace samphirebank::metrics

#endif  // SAMPHIREBANK_METRICS_METRICS_H_
