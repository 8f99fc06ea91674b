#include "samphirebank/metrics/metrics.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <sstream>
#include <utility>
#include <variant>

namespace samphirebank::metrics {
namespace {

namespace bh = boost::histogram;
using Axis = bh::axis::variable<double>;
using Buckets = decltype(bh::make_histogram(std::declval<Axis>()));

constexpr char kPrefix[] = "samphirebank_";

std::vector<double> EdgesOf(HistogramBounds bounds) {
  std::vector<double> edges = {0};
  double bound = bounds.lowest;
  for (uint32_t i = 0; i < bounds.buckets; ++i, bound *= 2) {
    edges.push_back(bound);
  }
  return edges;
}

// Escaped returns a label's value as the text format wants it.
std::string Escaped(const std::string& value) {
  std::string text;
  for (const char c : value) {
    if (c == '\n') {
      text += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') text += '\\';
    text += c;
  }
  return text;
}

std::string LabelsText(const std::vector<Label>& labels) {
  if (labels.empty()) return {};
  std::string text;
  for (const Label& label : labels) {
    text += text.empty() ? "{" : ",";
    text += label.name + "=\"" + Escaped(label.value) + "\"";
  }
  return text + "}";
}

std::string NumberText(double value) {
  std::ostringstream out;
  out.precision(12);
  out << value;
  return out.str();
}

}  // namespace

struct Histogram::Impl {
  explicit Impl(HistogramBounds bounds)
      : buckets(bh::make_histogram(Axis(EdgesOf(bounds)))) {}
  Buckets buckets;
};

Histogram::Histogram(HistogramBounds bounds)
    : limits(bounds), impl(std::make_unique<Impl>(bounds)) {}

Histogram::~Histogram() = default;

void Histogram::Record(double value) {
  this->impl->buckets(value);
  this->total += value;
}

void Histogram::Record(Duration span) {
  this->Record(std::chrono::duration<double>(span).count());
}

uint64_t Histogram::count() const {
  return static_cast<uint64_t>(bh::algorithm::sum(this->impl->buckets));
}

uint64_t Histogram::CountBelow(uint32_t index) const {
  double below = 0;
  for (int i = -1; i <= static_cast<int>(index); ++i) {
    below += static_cast<double>(this->impl->buckets.at(i));
  }
  return static_cast<uint64_t>(below);
}

double Histogram::BoundAt(uint32_t index) const {
  return std::ldexp(this->limits.lowest, static_cast<int>(index));
}

struct Registry::Series {
  Description description;
  std::variant<Counter, Gauge, std::unique_ptr<Histogram>> value;
};

namespace {

void WriteHistogram(const Description& description, const Histogram& histogram,
                    std::ostream& out) {
  const std::string name = kPrefix + description.name;
  for (uint32_t i = 0; i <= histogram.buckets(); ++i) {
    const bool last = i == histogram.buckets();
    std::vector<Label> labels = description.labels;
    labels.push_back({"le", last ? "+Inf" : NumberText(histogram.BoundAt(i))});
    out << name << "_bucket" << LabelsText(labels) << ' '
        << (last ? histogram.count() : histogram.CountBelow(i)) << '\n';
  }
  const std::string labels = LabelsText(description.labels);
  out << name << "_sum" << labels << ' ' << NumberText(histogram.sum()) << '\n'
      << name << "_count" << labels << ' ' << histogram.count() << '\n';
}

// TextWriter writes one series by its kind.
struct TextWriter {
  const Description& description;
  std::ostream& out;

  static std::string_view TypeOf(const Counter&) { return "counter"; }
  static std::string_view TypeOf(const Gauge&) { return "gauge"; }
  static std::string_view TypeOf(const std::unique_ptr<Histogram>&) {
    return "histogram";
  }

  void Write(const Counter& counter) const {
    this->out << kPrefix << this->description.name
              << LabelsText(this->description.labels) << ' ' << counter.value()
              << '\n';
  }
  void Write(const Gauge& gauge) const {
    this->out << kPrefix << this->description.name
              << LabelsText(this->description.labels) << ' '
              << NumberText(gauge.value()) << '\n';
  }
  void Write(const std::unique_ptr<Histogram>& histogram) const {
    WriteHistogram(this->description, *histogram, this->out);
  }
};

}  // namespace

Registry::Registry() = default;
Registry::~Registry() = default;

Counter& Registry::AddCounter(Description description) {
  this->all.push_back(std::make_unique<Series>(
      Series{.description = std::move(description), .value = Counter()}));
  return std::get<Counter>(this->all.back()->value);
}

Gauge& Registry::AddGauge(Description description) {
  this->all.push_back(std::make_unique<Series>(
      Series{.description = std::move(description), .value = Gauge()}));
  return std::get<Gauge>(this->all.back()->value);
}

Histogram& Registry::AddHistogram(Description description,
                                  HistogramBounds bounds) {
  this->all.push_back(std::make_unique<Series>(
      Series{.description = std::move(description),
             .value = std::make_unique<Histogram>(bounds)}));
  return *std::get<std::unique_ptr<Histogram>>(this->all.back()->value);
}

std::string Registry::ToText() const {
  std::ostringstream out;
  std::string previous;
  for (const auto& series : this->all) {
    const Description& description = series->description;
    const TextWriter writer{.description = description, .out = out};
    std::visit(
        [&](const auto& value) {
          if (description.name != previous) {
            const std::string name = kPrefix + description.name;
            out << "# HELP " << name << ' ' << description.help << "\n# TYPE "
                << name << ' ' << TextWriter::TypeOf(value) << '\n';
          }
          writer.Write(value);
        },
        series->value);
    previous = description.name;
  }
  return std::move(out).str();
}

}  // namespace samphirebank::metrics
