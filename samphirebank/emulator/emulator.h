// File: emulator.h
//
// Stand-in targets and a load generator, for demonstrations, measurements and
// tests. A target speaks the OpenAI-style HTTP protocol, with batch slots and
// a token rate; it announces itself to routers and can be told to fail.
//
// Answers are checkable: the text of a completion is "NONCE-0 NONCE-1 ...",
// where NONCE is the prompt, so a caller sees whether it got the whole answer
// to its own request.
//
// Thread rules: everything here belongs to the loop's thread.
//
// Example:
//
//   net::Loop loop;
//   Emulator emulator(loop, {.count = 2,
//                            .services = {{.service = ServiceId("small")}}});
//   loop.Run();
#ifndef SAMPHIREBANK_EMULATOR_EMULATOR_H_
#define SAMPHIREBANK_EMULATOR_EMULATOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/net/net.h"
#include "samphirebank/settings/settings.h"

namespace samphirebank::emulator {

class Target;

// RunCounts counts the runs of all targets of an emulator.
struct RunCounts {
  uint64_t started = 0;
  uint64_t ended = 0;  // answered in full
  uint64_t cut = 0;    // the connection ended, or a fault cut it
};

// Emulator is a set of stand-in targets on one loop. It announces them when
// `settings.routers` is not empty.
class Emulator {
 public:
  Emulator(net::Loop& loop, settings::EmulatorSettings settings);
  ~Emulator();
  Emulator(const Emulator&) = delete;
  Emulator& operator=(const Emulator&) = delete;

  // ports holds each target's id and port.
  std::vector<settings::NamedPort> ports() const;

  // counts holds the runs so far.
  RunCounts counts() const;

  // Leave tells the routers that the targets take no new work, and calls
  // `done` once none of them runs anything.
  void Leave(const std::function<void()>& done);

 private:
  net::Loop& loop;
  std::shared_ptr<settings::EmulatorSettings> settings;
  std::vector<std::unique_ptr<Target>> targets;
};

// RunEmulator is `samphirebank emulator`: it serves until SIGTERM or SIGINT,
// then leaves; further signals change nothing. Returns the exit code.
int RunEmulator(const settings::EmulatorSettings& settings);

// RunLoad is `samphirebank load`: it sends requests and prints what each
// organisation received. Returns 0 if no request was lost, else 1.
int RunLoad(const settings::LoadSettings& settings);

}  // namespace samphirebank::emulator

#endif  // SAMPHIREBANK_EMULATOR_EMULATOR_H_
