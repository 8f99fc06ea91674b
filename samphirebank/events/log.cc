#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <stdexcept>

#include "samphirebank/events/events.h"

namespace samphirebank::events {
namespace {

namespace logging = boost::log;
using Backend = logging::sinks::text_ostream_backend;
using Sink = logging::sinks::synchronous_sink<Backend>;

// Process is the logging state of this process.
struct Process {
  Source source;
  Severity lowest = Severity::kInfo;
  Clock clock;
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
  if (file.empty()) {
    return {&std::cerr, [](std::ostream*) {}};
  }
  auto stream = boost::make_shared<std::ofstream>(file, std::ios::app);
  if (!*stream) throw std::runtime_error("cannot open the log file " + file);
  return stream;
}

}  // namespace

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
  process.stream = stream;
  process.sink = boost::make_shared<Sink>(backend);
  logging::core::get()->add_sink(process.sink);
}

void Log(const Event& event) {
  Process& process = Current();
  const Stamp stamp = CurrentStamp();
  const Kind* kind = FindKind(event.number);
  const bool wanted = kind == nullptr || kind->severity >= process.lowest;
  if (process.sink == nullptr || !wanted) return;
  // A stream that failed, on a full disk say, is tried again each time.
  process.stream->clear();
  BOOST_LOG(process.logger) << EventLine(process.source, stamp, event);
}

Stamp CurrentStamp() { return Tick(Current().clock, WallMilliseconds()); }

void Observe(Stamp received) {
  Merge(Current().clock, received, WallMilliseconds());
}

void Close() {
  Process& process = Current();
  if (process.sink == nullptr) return;
  logging::core::get()->remove_sink(process.sink);
  process.sink.reset();
  process.stream.reset();
}

}  // namespace samphirebank::events
