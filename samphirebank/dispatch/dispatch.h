// File: dispatch.h
//
// Which target a forwarded request goes to. A model engine's prompt goes where
// its shared parts are likely to be cached, unless the work that waits there
// costs more than reading the parts again elsewhere; a plain service's request
// goes to the nearest target with few requests. Targets that fail are passed
// over for a while. No I/O.
//
// The load it answers: prompts whose shared parts are several times longer
// than their own, at a rate at which the engines cannot read them all anew.
//
// Example:
//
//   std::optional<Choice> choice = Choose(tracker, candidates, work, now);
//   RecordSent(tracker, candidates[choice->index].id, work,
//   choice->prefill_time, now); RecordPrefillDone(tracker, id,
//   choice->prefill_time); RecordCompletion(tracker, id,
//   HealthResult::kSuccess, now);
#ifndef SAMPHIREBANK_DISPATCH_DISPATCH_H_
#define SAMPHIREBANK_DISPATCH_DISPATCH_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/dialect/dialect.h"

namespace samphirebank::dispatch {

// Options of the choice. Costs are times that a request would wait.
struct Options {
  double tokens_read_per_ms = 60.0;  // by one engine that does nothing else
  // Each token read attends to all before it.
  double ms_per_million_pairs = 0.37;
  // Reading a part that another target has cached delays the requests there as
  // well as its own.
  double read_again_weight = 2.0;
  // How likely a part is cached at the target that is its second home, where
  // all routers send it when the first one is busy.
  double second_home_hit = 0.5;
  Duration crossing_zone = std::chrono::milliseconds(2);
  Duration crossing_region = std::chrono::milliseconds(60);
  // What each request that runs at an engine adds to another's first event.
  Duration per_running = std::chrono::microseconds(500);
  // What each request that waits at a target adds.
  Duration per_waiting = std::chrono::milliseconds(30);
  // A target's own count of its load is disregarded when older.
  Duration load_age = std::chrono::seconds(2);
  // How long a router takes a prompt part that it sent to be in the cache.
  Duration cache_belief = std::chrono::seconds(20);
  // The first ejection; each further failure in a row doubles it up to most.
  Duration first_ejection = std::chrono::milliseconds(500);
  Duration most_ejection = std::chrono::seconds(4);
  uint32_t failures_to_eject = 2;      // in a row
  double failure_rate_to_eject = 0.5;  // of the recent ends
  double failure_rate_weight = 0.15;   // of the newest end in the rate
  // At most this part of a service's targets is passed over.
  double most_ejected = 0.5;
};

// Distance of a target from this router.
enum class Distance : uint8_t { kSameZone, kSameRegion, kOtherRegion };

// Candidate is a target that may be chosen.
struct Candidate {
  TargetId id{};
  Distance distance = Distance::kSameZone;
  uint32_t slots = 0;
};

// RequestProfile is what a request asks of a target.
struct RequestProfile {
  std::vector<dialect::PromptPart>
      shared_parts{};                  // parts that others may share
  Tokens unique_tokens{};              // prompt tokens besides
  uint64_t seed = 0;                   // differs between requests
  std::set<TargetId> tried_targets{};  // not again, if others are left
};

// MakeRequestProfile reads a caller's prompt.
RequestProfile MakeRequestProfile(const dialect::Prompt& prompt, uint64_t seed);

// HealthResult says how a request ended at a target, as far as the target's
// health goes.
enum class HealthResult : uint8_t { kSuccess, kFailure, kIgnored };

// TargetState is what a router knows of one target by its own traffic.
struct TargetState {
  uint32_t in_flight = 0;
  Duration prefill_backlog{};  // to read the prompts sent that are not read yet
  Duration
      peer_prefill_backlog{};  // the same of all other routers, when last told
  std::optional<dialect::TargetLoad> load{};
  TimePoint load_received_at{};
  uint32_t consecutive_failures = 0;
  double failure_rate = 0.0;
  TimePoint ejected_until{};
};

// TargetTracker is what a router knows of all targets.
struct TargetTracker {
  Options options{};
  std::unordered_map<TargetId, TargetState> targets{};
  // When a prompt part was last sent to a target.
  std::unordered_map<uint64_t, std::unordered_map<TargetId, TimePoint>>
      part_sent{};
};

// Choice is the target that serves a request soonest.
struct Choice {
  size_t index = 0;         // among the candidates
  Duration wait{};          // for the requests that are there
  Duration prefill_time{};  // of the prompt, as far as it is not cached
  Duration
      duplicate_prefill_time{};  // the part of it for what is cached elsewhere
  bool at_home = false;  // where all routers expect its parts to be cached
};

// Choose returns nothing if there is no candidate.
std::optional<Choice> Choose(const TargetTracker& tracker,
                             const std::vector<Candidate>& candidates,
                             const RequestProfile& work, TimePoint now);

// MeanWait is how long prompts wait at the candidates on average.
Duration MeanWait(const TargetTracker& tracker,
                  const std::vector<Candidate>& candidates);

// RecordSent counts a request that is sent to a target, which reads its prompt
// for `reading`.
void RecordSent(TargetTracker& tracker, const TargetId& target,
                const RequestProfile& work, Duration reading, TimePoint now);
// RecordLoadReport takes in a target's own count.
void RecordLoadReport(TargetTracker& tracker, const TargetId& target,
                      const dialect::TargetLoad& load, TimePoint now);
// RecordPrefillDone tells that a target has read the prompt of a request.
void RecordPrefillDone(TargetTracker& tracker, const TargetId& target,
                       Duration reading);
// RecordCompletion counts the end of a request that RecordSent counted.
void RecordCompletion(TargetTracker& tracker, const TargetId& target,
                      HealthResult ending, TimePoint now);
// RecordUnreachable counts a connection that did not come about.
void RecordUnreachable(TargetTracker& tracker, const TargetId& target,
                       TimePoint now);
// EvictStaleEntries drops what is no longer believed; call it every few
// seconds.
void EvictStaleEntries(TargetTracker& tracker, TimePoint now);

}  // namespace samphirebank::dispatch

#endif  // SAMPHIREBANK_DISPATCH_DISPATCH_H_
