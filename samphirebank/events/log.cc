#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <chrono>
#include <climits>
#include <fstream>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <streambuf>
#include <string>

#include "samphirebank/events/events.h"

namespace samphirebank::events {
namespace {

namespace logging = boost::log;
using Backend = logging::sinks::text_ostream_backend;
using Sink = logging::sinks::synchronous_sink<Backend>;

constexpr char kStandardOutput[] = "-";

// LineWriter writes lines to a descriptor without ever waiting for a reader: a
// pipe that is ready takes PIPE_BUF bytes at once. Other lines are left out.
class LineWriter : public std::streambuf {
 public:
  LineWriter(int to, LineBudget* lines) : descriptor(to), budget(lines) {}

  void Write() {
    if (this->waiting.empty()) return;
    pollfd ready{.fd = this->descriptor, .events = POLLOUT, .revents = 0};
    const bool writable =
        poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
    const bool written =
        writable && write(this->descriptor, this->waiting.data(),
                          this->waiting.size()) >= 0;
    if (!written) this->budget->left_out += this->lines;
    this->waiting.clear();
    this->lines = 0;
  }

 protected:
  std::streamsize xsputn(const char* bytes, std::streamsize count) override {
    this->line.append(bytes, static_cast<size_t>(count));
    return count;
  }
  int_type overflow(int_type byte) override {
    this->line.push_back(traits_type::to_char_type(byte));
    return byte;
  }
  // sync is called after each whole line.
  int sync() override {
    if (this->line.size() > PIPE_BUF) {
      ++this->budget->left_out;
      this->line.clear();
      return 0;
    }
    if (this->waiting.size() + this->line.size() > PIPE_BUF) this->Write();
    this->waiting += this->line;
    this->line.clear();
    ++this->lines;
    return 0;
  }

 private:
  int descriptor;
  LineBudget* budget;
  std::string line;
  std::string waiting;
  uint64_t lines = 0;  // that wait
};

// Process is the logging state of this process.
struct Process {
  Source source;
  Severity lowest = Severity::kInfo;
  Clock clock;
  bool bounded = false;
  LineBudget budget;
  std::unique_ptr<LineWriter> writer;
  boost::shared_ptr<std::ostream> stream;
  boost::shared_ptr<Sink> sink;
  logging::sources::logger logger;
};

Process& Current() {
  static auto* const process = new Process();
  return *process;
}

int64_t WallMilliseconds() {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return duration_cast<milliseconds>(now).count();
}

boost::shared_ptr<std::ostream> OpenStream(const std::string& file) {
  if (file == kStandardOutput) {
    Process& process = Current();
    process.writer =
        std::make_unique<LineWriter>(STDOUT_FILENO, &process.budget);
    return boost::make_shared<std::ostream>(process.writer.get());
  }
  if (file.empty()) {
    return {&std::cerr, [](std::ostream*) {}};
  }
  auto stream = boost::make_shared<std::ofstream>(file, std::ios::app);
  if (!*stream) throw std::runtime_error("cannot open the log file " + file);
  return stream;
}

void WriteLine(Process& process, const Event& event) {
  const Stamp stamp = CurrentStamp();
  BOOST_LOG(process.logger) << EventLine(process.source, stamp, event);
}

void ReportLeftOut(Process& process) {
  const int64_t second = WallMilliseconds() / 1000;
  LineBudget& budget = process.budget;
  if (budget.left_out == 0 || budget.report_second == second) return;
  const auto count = static_cast<int64_t>(budget.left_out);
  budget.left_out = 0;
  budget.report_second = second;
  WriteLine(process, {.number = Number::kLinesLeftOut, .count = count});
}

}  // namespace

bool TakeLine(LineBudget& budget, Number number, int64_t wall_ms) {
  LineBudget::Usage& usage = budget.usage[number];
  const int64_t second = wall_ms / 1000;
  if (usage.second != second) usage = {.second = second};
  if (usage.lines >= kMostLinesPerSecond) {
    ++budget.left_out;
    return false;
  }
  ++usage.lines;
  return true;
}

void Open(const LogOptions& options) {
  Close();
  auto backend = boost::make_shared<Backend>();
  const boost::shared_ptr<std::ostream> stream = OpenStream(options.file);
  backend->add_stream(stream);
  backend->auto_flush(true);
  Process& process = Current();
  process.source = Source{
      .instance = options.instance, .role = options.role, .boot = options.boot};
  process.lowest = options.lowest;
  process.bounded = options.file == kStandardOutput;
  process.stream = stream;
  process.sink = boost::make_shared<Sink>(backend);
  logging::core::get()->add_sink(process.sink);
}

void Log(const Event& event) {
  Process& process = Current();
  const Kind* kind = FindKind(event.number);
  const bool wanted = kind == nullptr || kind->severity >= process.lowest;
  if (process.sink == nullptr || !wanted) return;
  if (process.bounded) {
    if (!TakeLine(process.budget, event.number, WallMilliseconds())) return;
  }
  // A stream that failed, on a full disk say, is tried again each time.
  process.stream->clear();
  WriteLine(process, event);
}

void Flush() {
  Process& process = Current();
  if (process.writer == nullptr) return;
  if (process.sink != nullptr) ReportLeftOut(process);
  process.writer->Write();
}

Stamp CurrentStamp() { return Tick(Current().clock, WallMilliseconds()); }

void Observe(Stamp received) {
  Merge(Current().clock, received, WallMilliseconds());
}

void Close() {
  Process& process = Current();
  if (process.sink == nullptr) return;
  Flush();
  logging::core::get()->remove_sink(process.sink);
  process.sink.reset();
  process.stream.reset();
  process.writer.reset();
}

}  // namespace samphirebank::events
