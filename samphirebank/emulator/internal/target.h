// File: target.h
//
// One stand-in target: an HTTP server with batch slots, a token rate, and the
// faults of its settings.
//
// Example:
//
//   Target target(loop, settings, TargetId("t-1"), runs);
//   target.Leave([] {});
#ifndef SAMPHIREBANK_EMULATOR_INTERNAL_TARGET_H_
#define SAMPHIREBANK_EMULATOR_INTERNAL_TARGET_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "samphirebank/base/base.h"
#include "samphirebank/emulator/emulator.h"
#include "samphirebank/emulator/internal/announcer.h"
#include "samphirebank/emulator/internal/answer.h"
#include "samphirebank/emulator/internal/runs_file.h"
#include "samphirebank/net/net.h"
#include "samphirebank/settings/settings.h"

namespace samphirebank::emulator {

// Run is one request at a target.
struct Run {
  std::shared_ptr<net::ServerStream> stream;
  std::string body;
  RunRecord record;
  settings::Fault fault = settings::Fault::kNone;
  std::optional<Answer> completion;  // else a plain service's call
  uint32_t next_event = 0;
  uint32_t events_sent = 0;
  int64_t bytes_sent = 0;
  bool running = false;
  bool ended = false;
  TimePoint started;
};

// Target serves on a port that the kernel chose.
class Target {
 public:
  Target(net::Loop& loop,
         std::shared_ptr<const settings::EmulatorSettings> settings,
         TargetId id, std::shared_ptr<RunsFile> runs);
  ~Target();
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  const TargetId& name() const { return this->id; }
  uint16_t listening_port() const { return this->port; }
  const RunCounts& run_counts() const { return this->counts; }

  // Leave announces that no new work is taken and calls `done` when nothing
  // runs any more.
  void Leave(std::function<void()> done);

 private:
  using RunPointer = std::shared_ptr<Run>;

  // Later runs `action` after `delay` if the run has not ended by then.
  void Later(Duration delay, const RunPointer& run,
             std::function<void()> action);
  void OnRequest(const std::shared_ptr<net::ServerStream>& stream);
  void OnBody(const RunPointer& run);
  bool TakeFence(const net::RequestHead& head);
  void Refuse(const RunPointer& run, int status, const std::string& reason);
  void StartNext();
  void Start(const RunPointer& run);
  void Answer(const RunPointer& run);
  void AnswerAtOnce(const RunPointer& run);
  void SendDueEvents(const RunPointer& run);
  bool SendPiece(const RunPointer& run, std::string piece);
  void End(const RunPointer& run, const std::string& state);
  uint32_t EventsDue(const Run& run) const;
  std::vector<net::Header> Headers(const Run& run) const;
  std::string ServiceBody(const Run& run) const;
  Load CurrentLoad() const;

  net::Loop& loop;
  std::shared_ptr<const settings::EmulatorSettings> settings;
  TargetId id;
  std::shared_ptr<RunsFile> runs;
  uint16_t port = 0;
  uint64_t requests = 0;
  // fences holds the highest fencing number of each scope.
  std::map<std::string, uint64_t> fences;
  RunCounts counts;
  std::set<RunPointer> running;
  std::deque<RunPointer> waiting;
  std::function<void()> on_idle;
  std::unique_ptr<Announcer> announcer;
  // alive is false once the target is gone; streams and timers may outlive it.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace samphirebank::emulator

#endif  // SAMPHIREBANK_EMULATOR_INTERNAL_TARGET_H_
