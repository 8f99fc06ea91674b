#include "samphirebank/dispatch/simulated_fleet.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "samphirebank/dispatch/dispatch.h"

namespace samphirebank::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr Duration kStep = milliseconds(1);
constexpr Duration kReportInterval = milliseconds(100);
constexpr size_t kReportAge = 3;  // in intervals
constexpr Duration kReportTtl = seconds(1);
constexpr Duration kLatencyTarget = milliseconds(800);
constexpr int64_t kFirstPart = 2'500;
constexpr int64_t kSecondPart = 3'800;
constexpr double kUniqueTokens = 2'900;
constexpr double kMaxUniqueTokens = 120'000;
constexpr size_t kOrganisations = 30;
constexpr size_t kSecondParts = 6;  // of each organisation
constexpr int64_t kCacheTokens = 150'000;
constexpr uint64_t kRuns = 8;
constexpr uint64_t kFirstSeed = 1000;
const TimePoint kStart{seconds(1000)};
const ServiceId kService("chat");

// Prompt waits at an engine until it is read.
struct Prompt {
  size_t gateway = 0;
  Choice choice{};
  TimePoint sent_at{};
  double work_left_ms = 0.0;  // at the constants' speed
  Duration network{};
  Duration decode_time{};
};

// Cache holds the most recently used parts that fit.
struct Cache {
  std::list<dialect::PromptPart> parts{};
  int64_t tokens = 0;

  // Use returns whether a part was cached, and makes it the newest.
  bool Use(const dialect::PromptPart& part) {
    const auto found = std::ranges::find_if(
        this->parts, [&](const auto& entry) { return entry.id == part.id; });
    const bool was_cached = found != this->parts.end();
    if (was_cached) {
      this->parts.erase(found);
    } else {
      this->tokens += part.tokens.value;
    }
    this->parts.push_front(part);
    while (this->tokens > kCacheTokens) {
      this->tokens -= this->parts.back().tokens.value;
      this->parts.pop_back();
    }
    return was_cached;
  }
};

struct Engine {
  std::deque<Prompt> waiting{};
  Cache cache{};
  double speed = 1.0;
  double slowdown = 1.0;
  uint32_t running = 0;
  size_t sends = 0;  // since the last report
};

struct Gateway {
  TargetTracker tracker{};
  std::deque<std::vector<Duration>> told{};  // own backlogs, newest last
};

class Fleet {
 public:
  Fleet(Setup given, Mode how, uint64_t seed)
      : setup(std::move(given)),
        mode(how),
        gateways(setup.gateways),
        engines(setup.engines),
        random(seed) {
    for (size_t i = 0; i < this->engines.size(); ++i) {
      this->candidates.push_back(
          {.id = TargetId("t" + std::to_string(i)), .slots = 64});
      this->engines[i].speed =
          this->setup.speeds[i % this->setup.speeds.size()];
    }
    if (how != Mode::kRightConstants) return;
    for (Gateway& gateway : this->gateways) {
      Options& options = gateway.tracker.options;
      options.prefill_tokens_per_ms *= this->setup.speeds.front();
      options.ms_per_million_pairs /= this->setup.speeds.front();
    }
  }

  Result Run() {
    const TimePoint end = kStart + this->setup.run;
    for (; this->now < end; this->now += kStep) {
      const bool turns_slow = this->setup.one_turns_slow &&
                              this->now == kStart + this->setup.run / 2;
      if (turns_slow) this->engines.front().speed /= 5.0;
      this->ChangeSlowdowns();
      this->EndDecodes();
      for (size_t i = 0; i < this->engines.size(); ++i) this->Read(i);
      this->Arrive();
      const bool reports =
          (this->now - kStart) % kReportInterval == Duration::zero();
      if (reports) this->Report();
    }
    return this->Summary();
  }

 private:
  bool Measures() const { return this->now >= kStart + this->setup.warm_up; }

  void ChangeSlowdowns() {
    const bool due =
        this->setup.slowdown_fraction > 0.0 &&
        (this->now - kStart) % this->setup.slowdown_stretch == Duration::zero();
    if (!due) return;
    for (Engine& engine : this->engines) {
      const bool slow = std::uniform_real_distribution<double>()(this->random) <
                        this->setup.slowdown_fraction;
      engine.slowdown = slow ? this->setup.slowdown : 1.0;
    }
  }

  void Arrive() {
    const double mean = this->setup.prompts_per_s_and_engine *
                        static_cast<double>(this->setup.engines) / 1000.0;
    const int count = std::poisson_distribution<int>(mean)(this->random);
    for (int i = 0; i < count; ++i) this->Send();
  }

  RequestProfile DrawRequest() {
    // A skewed choice of organisations.
    const double uniform =
        std::uniform_real_distribution<double>()(this->random);
    const auto organisation =
        static_cast<uint64_t>(uniform * uniform * kOrganisations);
    const uint64_t part = std::uniform_int_distribution<uint64_t>(
        0, kSecondParts - 1)(this->random);
    const double sigma = this->setup.length_sigma;
    std::lognormal_distribution<double> length(-sigma * sigma / 2, sigma);
    const double unique =
        std::min(kUniqueTokens * length(this->random), kMaxUniqueTokens);
    return {.shared = {{.id = 1 + organisation, .tokens = Tokens(kFirstPart)},
                       {.id = 1000 + organisation * kSecondParts + part,
                        .tokens = Tokens(kSecondPart)}},
            .unique_tokens = Tokens(static_cast<int64_t>(unique)),
            .service = kService,
            .seed = this->random()};
  }

  void Send() {
    const RequestProfile request = this->DrawRequest();
    const auto number = std::uniform_int_distribution<size_t>(
        0, this->gateways.size() - 1)(this->random);
    const Duration decode_time = std::chrono::duration_cast<Duration>(
        seconds(1) * std::exponential_distribution<double>()(this->random));
    Gateway& gateway = this->gateways[number];
    std::vector<Candidate> seen = this->candidates;
    if (this->setup.two_regions) {
      for (size_t i = 0; i < seen.size(); ++i) {
        if (i % 2 != number % 2) seen[i].distance = Distance::kOtherRegion;
      }
    }
    const auto choice = Choose(gateway.tracker, seen, request, this->now);
    const TargetId& target = seen[choice->index].id;
    RecordSent(gateway.tracker, target, request, choice->prefill_time,
               this->now);
    Engine& engine = this->engines[choice->index];
    int64_t uncached = request.unique_tokens.value;
    int64_t prompt = uncached;
    bool prefix_cached = true;
    for (const dialect::PromptPart& part : request.shared) {
      prefix_cached = engine.cache.Use(part) && prefix_cached;
      prompt += part.tokens.value;
      if (!prefix_cached) uncached += part.tokens.value;
    }
    if (this->Measures()) {
      this->prompt_tokens += static_cast<double>(prompt);
      this->tokens_again +=
          static_cast<double>(uncached - request.unique_tokens.value);
    }
    ++engine.sends;
    const bool far = seen[choice->index].distance == Distance::kOtherRegion;
    engine.waiting.push_back({.gateway = number,
                              .choice = *choice,
                              .sent_at = this->now,
                              .work_left_ms = ModelMs(uncached, prompt),
                              .network = milliseconds(far ? 60 : 1),
                              .decode_time = decode_time});
  }

  static double ModelMs(int64_t uncached, int64_t prompt) {
    const Options options;
    const auto read = static_cast<double>(uncached);
    const double attended = static_cast<double>(prompt) - read / 2;
    return read / options.prefill_tokens_per_ms +
           read * attended / 1e6 * options.ms_per_million_pairs;
  }

  void Read(size_t index) {
    Engine& engine = this->engines[index];
    double time = Milliseconds(kStep).count() * engine.speed / engine.slowdown;
    while (!engine.waiting.empty() && time > 0.0) {
      Prompt& prompt = engine.waiting.front();
      const double part = std::min(time, prompt.work_left_ms);
      prompt.work_left_ms -= part;
      time -= part;
      if (prompt.work_left_ms > 0.0) break;
      this->BeginAnswer(index, prompt);
      engine.waiting.pop_front();
    }
  }

  void BeginAnswer(size_t index, const Prompt& prompt) {
    Engine& engine = this->engines[index];
    TargetTracker& tracker = this->gateways[prompt.gateway].tracker;
    const TargetId& target = this->candidates[index].id;
    const Duration step_delay = engine.running * std::chrono::microseconds(400);
    const Duration elapsed =
        this->now + kStep - prompt.sent_at + prompt.network + step_delay;
    ++engine.running;
    this->decodes.push(
        {this->now + prompt.decode_time, {prompt.gateway, index}});
    RecordPrefillDone(tracker, target, prompt.choice.prefill_time);
    const bool learns = this->mode == Mode::kLearned;
    RecordLoadReport(tracker, target,
                     {.running = engine.running,
                      .waiting = static_cast<uint32_t>(engine.waiting.size()),
                      .slots = 64,
                      .slowdown = learns ? engine.slowdown : 1.0},
                     this->now);
    if (learns) {
      RecordFirstEvent(tracker, target, kService, prompt.choice.prediction,
                       elapsed, this->now);
    }
    if (prompt.sent_at >= kStart + this->setup.warm_up) {
      this->latencies.push_back(elapsed);
    }
  }

  void EndDecodes() {
    while (!this->decodes.empty() && this->decodes.top().first <= this->now) {
      const auto [gateway, index] = this->decodes.top().second;
      this->decodes.pop();
      --this->engines[index].running;
      RecordCompletion(this->gateways[gateway].tracker,
                       this->candidates[index].id, HealthResult::kSuccess,
                       this->now);
    }
  }

  // Report tells each gateway what all others had. Without reports for a
  // second, gateways take the others to be like themselves.
  void Report() {
    const std::vector<Duration> total = this->TotalBacklogs();
    const Duration at = this->now - kStart;
    const bool lost = at >= this->setup.reports_lost_from &&
                      at < this->setup.reports_lost_until;
    const bool expired =
        lost && at - this->setup.reports_lost_from >= kReportTtl;
    const auto others = static_cast<double>(this->gateways.size() - 1);
    for (Gateway& gateway : this->gateways) {
      for (size_t i = 0; i < total.size(); ++i) {
        TargetState& state = gateway.tracker.targets[this->candidates[i].id];
        if (!lost) {
          state.peer_prefill_backlog = total[i] - gateway.told.front()[i];
        } else if (expired) {
          state.peer_prefill_backlog = std::chrono::duration_cast<Duration>(
              state.prefill_backlog * others);
        }
      }
    }
    this->WatchSpread();
  }

  // TotalBacklogs returns the sums over all gateways as of kReportAge ago.
  std::vector<Duration> TotalBacklogs() {
    std::vector<Duration> total(this->engines.size());
    for (Gateway& gateway : this->gateways) {
      std::vector<Duration> own;
      for (const Candidate& candidate : this->candidates) {
        own.push_back(gateway.tracker.targets[candidate.id].prefill_backlog);
      }
      gateway.told.push_back(std::move(own));
      if (gateway.told.size() > kReportAge + 1) gateway.told.pop_front();
      for (size_t i = 0; i < total.size(); ++i) {
        total[i] += gateway.told.front()[i];
      }
    }
    return total;
  }

  void WatchSpread() {
    size_t most = 0;
    for (Engine& engine : this->engines) {
      most = std::max(most, std::exchange(engine.sends, 0));
    }
    if (!this->Measures()) return;
    this->most_sends += static_cast<double>(most);
    ++this->num_reports;
    this->factors.push_back(
        ReadingTimeFactor(this->gateways.front().tracker, kService,
                          this->candidates.front().id, this->now));
  }

  Result Summary() {
    // What still waits at the end is late too.
    for (const Engine& engine : this->engines) {
      for (const Prompt& prompt : engine.waiting) {
        if (prompt.sent_at < kStart + this->setup.warm_up) continue;
        const Duration age = this->now - prompt.sent_at;
        if (age > kLatencyTarget) this->latencies.push_back(age);
      }
    }
    std::ranges::sort(this->latencies);
    const auto within =
        std::ranges::upper_bound(this->latencies, kLatencyTarget) -
        this->latencies.begin();
    const size_t count = this->latencies.size();
    return {.p50_ms = Milliseconds(this->latencies[count / 2]).count(),
            .p99_ms = Milliseconds(this->latencies[count * 99 / 100]).count(),
            .within_target =
                static_cast<double>(within) / static_cast<double>(count),
            .again_fraction = this->tokens_again / this->prompt_tokens,
            .most_on_one = this->most_sends / this->num_reports,
            .factor = this->factors.back(),
            .factor_deviation = this->FactorDeviation()};
  }

  double FactorDeviation() const {
    const size_t first = this->factors.size() / 2;
    double sum = 0.0;
    double squares = 0.0;
    for (size_t i = first; i < this->factors.size(); ++i) {
      const double log_factor = std::log(this->factors[i]);
      sum += log_factor;
      squares += log_factor * log_factor;
    }
    const auto count = static_cast<double>(this->factors.size() - first);
    const double mean = sum / count;
    return std::sqrt(std::max(squares / count - mean * mean, 0.0));
  }

  Setup setup;
  Mode mode;
  std::vector<Gateway> gateways;
  std::vector<Engine> engines;
  std::mt19937_64 random;
  TimePoint now = kStart;
  std::vector<Candidate> candidates;
  using Decode = std::pair<TimePoint, std::pair<size_t, size_t>>;
  std::priority_queue<Decode, std::vector<Decode>, std::greater<>> decodes;
  std::vector<Duration> latencies;
  std::vector<double> factors;
  double prompt_tokens = 0.0;
  double tokens_again = 0.0;
  double most_sends = 0.0;
  double num_reports = 0.0;
};

}  // namespace

Result Play(const Setup& setup, Mode mode) {
  Result mean;
  for (uint64_t run = 0; run < kRuns; ++run) {
    const Result result = Fleet(setup, mode, kFirstSeed + run).Run();
    constexpr double kPart = 1.0 / kRuns;
    mean.p50_ms += kPart * result.p50_ms;
    mean.p99_ms += kPart * result.p99_ms;
    mean.within_target += kPart * result.within_target;
    mean.again_fraction += kPart * result.again_fraction;
    mean.most_on_one += kPart * result.most_on_one;
    mean.factor += kPart * result.factor;
    mean.factor_deviation += kPart * result.factor_deviation;
  }
  return mean;
}

}  // namespace samphirebank::dispatch
