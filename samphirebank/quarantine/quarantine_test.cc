// Plays fleets of gateways and coordinators against targets that end under some
// prompts, in simulated time.
#include "samphirebank/quarantine/quarantine.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <deque>
#include <functional>
#include <random>
#include <string>

#include "samphirebank/net/net.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::quarantine {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};
constexpr PartId kDeadly(0xdead);
constexpr Duration kStep = milliseconds(10);
constexpr Duration kTick = milliseconds(100);
// From a gateway or a coordinator to another instance.
constexpr Duration kDelay = milliseconds(30);

// Scenario is the load of one run.
struct Scenario {
  size_t gateways = 9;
  size_t coordinators = 3;
  size_t targets = 18;
  double sound_per_s = 60;
  double deadly_per_s = 3;
  size_t organisations = 16;
  size_t parts_in_use = 200;               // of all organisations' second parts
  Duration mean_wait = milliseconds(300);  // at a target, before the answer
  Duration recovery = milliseconds(3300);  // until a target is back
  // The deadly part is one prompt's own, whose other parts are sound.
  bool is_own_part_deadly = false;
};

// Prompt is a request that waits at a target.
struct Prompt {
  std::vector<PartId> parts{};
  size_t gateway = 0;
  size_t target = 0;
  int sends = 1;
  TimePoint begins_at{};
};

struct Target {
  int64_t run = 0;
  TimePoint back_at{};
};

struct Gateway {
  Quarantine quarantine{};
  std::vector<PartId> quarantined{};
};

// Fleet plays a scenario. Reports, shares and sums travel for kDelay.
class Fleet {
 public:
  explicit Fleet(const Scenario& given)
      : scenario(given),
        targets(given.targets),
        gateways(given.gateways),
        coordinators(given.coordinators) {}

  void RunUntil(TimePoint end) {
    for (; this->now < end; this->now += kStep) {
      this->Arrive(this->scenario.sound_per_s, false);
      if (this->now >= this->deadly_from) {
        this->Arrive(this->scenario.deadly_per_s, true);
      }
      this->BeginAnswers();
      this->Deliver();
      const bool ticks = (this->now - kStart) % kTick == Duration::zero();
      if (ticks) this->TickAll();
    }
  }

  // EndTarget ends a target with all that waits there.
  void EndTarget(size_t target) {
    this->targets[target].run += 1;
    this->targets[target].back_at = this->now + this->scenario.recovery;
    const RunHash run = HashRun(TargetId("t" + std::to_string(target)),
                                this->targets[target].run - 1);
    std::vector<Prompt> broken;
    std::erase_if(this->waiting, [&](const Prompt& prompt) {
      if (prompt.target == target) broken.push_back(prompt);
      return prompt.target == target;
    });
    for (Prompt& prompt : broken) {
      RecordCrash(this->gateways[prompt.gateway].quarantine, prompt.parts, run,
                  this->now);
      if (++prompt.sends <= 2) this->Send(prompt);
    }
  }

  // BreakGateway breaks all connections of a gateway at once.
  void BreakGateway(size_t gateway) {
    for (Prompt& prompt : this->waiting) {
      if (prompt.gateway != gateway) continue;
      RecordCrash(this->gateways[gateway].quarantine, prompt.parts,
                  HashRun(TargetId("t" + std::to_string(prompt.target)),
                          this->targets[prompt.target].run),
                  this->now);
      prompt.begins_at = this->now + this->Wait();
    }
  }

  bool AnyoneQuarantined(PartId part) const {
    return std::ranges::any_of(this->gateways, [&](const Gateway& gateway) {
      return std::ranges::count(gateway.quarantined, part) > 0;
    });
  }

  size_t SoundPartsQuarantined() const {
    size_t count = 0;
    for (const Gateway& gateway : this->gateways) {
      count +=
          gateway.quarantined.size() -
          static_cast<size_t>(std::ranges::count(gateway.quarantined, kDeadly));
    }
    return count;
  }

  TimePoint now = kStart;
  TimePoint deadly_from = TimePoint::max();
  std::vector<TimePoint> crashes;  // under a deadly prompt
  std::vector<TimePoint> deadly_sends;
  size_t sound_refused = 0;
  Scenario scenario;
  std::vector<Target> targets;
  std::vector<Gateway> gateways;
  std::vector<Aggregate> coordinators;

 private:
  struct Message {
    TimePoint at{};
    std::function<void()> deliver{};
  };

  size_t Draw(size_t count) {
    return std::uniform_int_distribution<size_t>(0, count - 1)(this->random);
  }
  Duration Wait() {
    const double mean =
        std::chrono::duration<double>(this->scenario.mean_wait).count();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        std::exponential_distribution<double>(1.0 / mean)(this->random)));
  }

  static bool IsDeadly(const Prompt& prompt) {
    return std::ranges::count(prompt.parts, kDeadly) > 0;
  }

  // Arrive lets requests come. A deadly prompt has the first part of some
  // organisation, whose sound prompts have it too.
  void Arrive(double per_s, bool deadly) {
    const double mean = per_s * std::chrono::duration<double>(kStep).count();
    const int count = std::poisson_distribution<int>(mean)(this->random);
    for (int i = 0; i < count; ++i) {
      const size_t organisation = this->Draw(this->scenario.organisations);
      const PartId first(1 + organisation);
      const PartId shared(1000 + this->Draw(this->scenario.parts_in_use));
      const PartId own(1'000'000 + this->next_own_part++);
      const bool is_own_deadly = deadly && this->scenario.is_own_part_deadly;
      const bool is_shared_deadly = deadly && !is_own_deadly;
      const Prompt prompt{.parts = {first, is_shared_deadly ? kDeadly : shared,
                                    is_own_deadly ? kDeadly : own},
                          .gateway = this->Draw(this->gateways.size())};
      const auto refused = TimeLeft(this->gateways[prompt.gateway].quarantine,
                                    prompt.parts, this->now);
      if (refused && !deadly) ++this->sound_refused;
      if (!refused) this->Send(prompt);
    }
  }

  void Send(Prompt prompt) {
    if (TimeLeft(this->gateways[prompt.gateway].quarantine, prompt.parts,
                 this->now)) {
      return;
    }
    prompt.target = this->Draw(this->targets.size());
    if (this->now < this->targets[prompt.target].back_at) return;
    if (IsDeadly(prompt)) this->deadly_sends.push_back(this->now);
    prompt.begins_at = this->now + this->Wait();
    this->waiting.push_back(prompt);
  }

  void BeginAnswers() {
    for (size_t i = 0; i < this->waiting.size(); ++i) {
      const Prompt prompt = this->waiting[i];
      if (prompt.begins_at > this->now) continue;
      if (IsDeadly(prompt)) {
        this->crashes.push_back(this->now);
        this->EndTarget(prompt.target);
        return;  // the rest of this step's in the next one
      }
      RecordBegun(this->gateways[prompt.gateway].quarantine, prompt.parts,
                  this->now);
      this->waiting.erase(this->waiting.begin() +
                          static_cast<std::ptrdiff_t>(i));
      --i;
    }
  }

  void Deliver() {
    while (!this->messages.empty() && this->messages.front().at <= this->now) {
      const Message message = std::move(this->messages.front());
      this->messages.pop_front();
      message.deliver();
    }
  }

  void Post(std::function<void()> deliver) {
    this->messages.push_back(
        {.at = this->now + kDelay, .deliver = std::move(deliver)});
  }

  static InstanceId Name(char kind, size_t number) {
    return InstanceId(kind + std::to_string(number));
  }

  void TickAll() {
    for (size_t i = 0; i < this->gateways.size(); ++i) this->TickGateway(i);
    for (size_t i = 0; i < this->coordinators.size(); ++i) {
      EvictStale(this->coordinators[i], this->now);
      const Evidence share = SumOfGateways(this->coordinators[i], this->now);
      if (share.empty()) continue;
      for (size_t j = 0; j < this->coordinators.size(); ++j) {
        if (i == j) continue;
        this->Post([this, i, j, share] {
          RecordCoordinator(this->coordinators[j], Name('c', i), share,
                            this->now);
        });
      }
    }
  }

  void TickGateway(size_t number) {
    Gateway& gateway = this->gateways[number];
    for (const PartId part : Judge(gateway.quarantine, this->now)) {
      gateway.quarantined.push_back(part);
    }
    EvictExpired(gateway.quarantine, this->now);
    const Evidence report = BuildReport(gateway.quarantine, this->now);
    const size_t to = number % this->coordinators.size();
    this->Post([this, number, to, report] {
      if (!report.empty()) {
        RecordGateway(this->coordinators[to], Name('g', number), report,
                      this->now);
      }
      const Evidence sum = SumOfFleet(this->coordinators[to], this->now);
      if (sum.empty()) return;
      this->Post([this, number, sum] {
        TakeFleetEvidence(this->gateways[number].quarantine, sum, this->now);
      });
    });
  }

  std::mt19937_64 random{20261205};
  uint64_t next_own_part = 0;
  std::vector<Prompt> waiting;
  std::deque<Message> messages;
};

// SentLaterThan counts deadly prompts that were sent later than `bound` after
// the fifth target had ended.
size_t SentLaterThan(const Fleet& fleet, Duration bound) {
  constexpr size_t kFifth = 4;
  if (fleet.crashes.size() <= kFifth) return 0;
  const TimePoint from = fleet.crashes[kFifth] + bound;
  return static_cast<size_t>(std::ranges::count_if(
      fleet.deadly_sends, [&](TimePoint at) { return at > from; }));
}

void PlayDeadlyPart(const Scenario& scenario, Duration bound) {
  Fleet fleet(scenario);
  fleet.deadly_from = kStart + seconds(4);
  fleet.RunUntil(kStart + seconds(30));
  CHECK(fleet.crashes.size() >= 3);
  CHECK(SentLaterThan(fleet, bound) == 0);
  CHECK(fleet.AnyoneQuarantined(kDeadly));
  CHECK(fleet.SoundPartsQuarantined() == 0);
  CHECK(fleet.sound_refused == 0);
}

TEST_CASE("a deadly part is quarantined at every gateway, and no sound part") {
  PlayDeadlyPart({}, seconds(4));
}

TEST_CASE("a deadly prompt whose shared parts are sound is quarantined") {
  PlayDeadlyPart({.deadly_per_s = 1, .is_own_part_deadly = true}, seconds(4));
}

TEST_CASE("a deadly part that comes seldom is quarantined") {
  PlayDeadlyPart({.deadly_per_s = 0.5}, seconds(4));
}

TEST_CASE("a deadly part in a fleet of 300 instances is quarantined") {
  PlayDeadlyPart({.gateways = 291,
                  .coordinators = 6,
                  .targets = 160,
                  .sound_per_s = 1000,
                  .deadly_per_s = 30,
                  .organisations = 60,
                  .parts_in_use = 2000},
                 seconds(5));
}

TEST_CASE("sound parts whose prompts wait at ended targets stay in use") {
  Fleet fleet({.parts_in_use = 20'000, .mean_wait = milliseconds(1500)});
  fleet.deadly_from = kStart + seconds(1);
  fleet.RunUntil(kStart + seconds(30));
  CHECK(fleet.AnyoneQuarantined(kDeadly));
  CHECK(fleet.SoundPartsQuarantined() == 0);
}

TEST_CASE("targets that end together, twice, are no evidence against parts") {
  Fleet fleet({.parts_in_use = 20'000});
  for (int outage = 0; outage < 2; ++outage) {
    fleet.RunUntil(fleet.now + seconds(5));
    for (size_t target = 0; target < 9; ++target) fleet.EndTarget(target);
  }
  fleet.RunUntil(fleet.now + seconds(10));
  CHECK(fleet.SoundPartsQuarantined() == 0);
}

TEST_CASE("targets that end one after the other are no evidence either") {
  Fleet fleet({.parts_in_use = 20'000});
  for (size_t i = 0; i < 40; ++i) {
    fleet.RunUntil(fleet.now + milliseconds(400));
    fleet.EndTarget(i % fleet.targets.size());
  }
  CHECK(fleet.SoundPartsQuarantined() == 0);
}

TEST_CASE("a gateway whose connections break again and again blames no part") {
  Fleet fleet({.parts_in_use = 20'000});
  for (int i = 0; i < 50; ++i) {
    fleet.RunUntil(fleet.now + milliseconds(200));
    fleet.BreakGateway(0);
  }
  CHECK(fleet.SoundPartsQuarantined() == 0);
}

TEST_CASE("a gateway that starts later and a coordinator that lost all know") {
  Fleet fleet({});
  fleet.deadly_from = kStart + seconds(1);
  fleet.RunUntil(kStart + seconds(15));
  REQUIRE(fleet.AnyoneQuarantined(kDeadly));
  fleet.gateways[0] = {};
  fleet.coordinators[0] = {};
  fleet.RunUntil(fleet.now + milliseconds(500));
  CHECK(TimeLeft(fleet.gateways[0].quarantine, {kDeadly}, fleet.now));
}

TEST_CASE("all gateways may restart while a coordinator runs") {
  Fleet fleet({});
  fleet.deadly_from = kStart + seconds(1);
  fleet.RunUntil(kStart + seconds(15));
  for (Gateway& gateway : fleet.gateways) gateway = {};
  fleet.RunUntil(fleet.now + seconds(3));
  for (const Gateway& gateway : fleet.gateways) {
    CHECK(TimeLeft(gateway.quarantine, {kDeadly}, fleet.now));
  }
}

TEST_CASE("a quarantine ends everywhere after its time") {
  Fleet fleet({});
  fleet.deadly_from = kStart + seconds(1);
  fleet.RunUntil(kStart + seconds(15));
  fleet.deadly_from = TimePoint::max();
  const Duration rest = Options{}.quarantine_duration;
  fleet.scenario.sound_per_s = 0;
  fleet.RunUntil(fleet.now + rest);
  for (const Gateway& gateway : fleet.gateways) {
    CHECK_FALSE(TimeLeft(gateway.quarantine, {kDeadly}, fleet.now));
  }
}

TEST_CASE(
    "a part that a target begins to answer leaves quarantine everywhere") {
  Fleet fleet({});
  fleet.deadly_from = kStart + seconds(1);
  fleet.RunUntil(kStart + seconds(15));
  fleet.deadly_from = TimePoint::max();
  RecordBegun(fleet.gateways[3].quarantine, {kDeadly}, fleet.now);
  fleet.RunUntil(fleet.now + seconds(2));
  for (const Gateway& gateway : fleet.gateways) {
    CHECK_FALSE(TimeLeft(gateway.quarantine, {kDeadly}, fleet.now));
  }
}

TEST_CASE("without coordinators a gateway judges by itself") {
  Quarantine quarantine;
  TimePoint now = kStart;
  for (uint32_t run = 0; run < 3; ++run) {
    RecordCrash(quarantine, {PartId(1), kDeadly}, RunHash(run), now);
    now += milliseconds(300);
  }
  now += seconds(1);
  CHECK(Judge(quarantine, now) == std::vector<PartId>{kDeadly});
  CHECK(TimeLeft(quarantine, {PartId(2), kDeadly}, now));
  CHECK_FALSE(TimeLeft(quarantine, {PartId(1), PartId(2)}, now));
}

TEST_CASE("a broken-off prompt is not repeated once its part is suspected") {
  Quarantine quarantine;
  const std::vector<PartId> prompt{PartId(1), kDeadly};
  RecordBegun(quarantine, {PartId(1)}, kStart);
  RecordCrash(quarantine, prompt, RunHash(1), kStart);
  CHECK_FALSE(IsSuspect(quarantine, prompt, kStart));
  const TimePoint later = kStart + milliseconds(300);
  RecordCrash(quarantine, prompt, RunHash(2), later);
  CHECK(IsSuspect(quarantine, prompt, later));
  CHECK_FALSE(IsSuspect(quarantine, {PartId(1)}, later));
  RecordBegun(quarantine, {kDeadly}, later);
  CHECK_FALSE(IsSuspect(quarantine, prompt, later));
}

TEST_CASE("a part that was answered before may become deadly") {
  Quarantine quarantine;
  RecordBegun(quarantine, {kDeadly}, kStart);
  TimePoint now = kStart;
  for (uint32_t run = 0; run < 8; ++run) {
    CHECK(Judge(quarantine, now).empty());
    now += milliseconds(300);
    RecordCrash(quarantine, {kDeadly}, RunHash(run), now);
  }
  CHECK(Judge(quarantine, now) == std::vector<PartId>{kDeadly});
}

TEST_CASE("a message is bounded, whatever a gateway suspects") {
  CHECK(rc::check("bounded evidence", [] {
    Quarantine quarantine;
    const auto parts =
        *rc::gen::container<std::vector<uint64_t>>(rc::gen::inRange(0, 40));
    TimePoint now = kStart;
    for (const uint64_t part : parts) {
      now += milliseconds(150);
      RecordCrash(quarantine, {PartId(part)},
                  RunHash(static_cast<uint32_t>(
                      part * 7 + now.time_since_epoch().count())),
                  now);
      RecordBegun(quarantine, {PartId(part + 1)}, now);
      Judge(quarantine, now);
    }
    const Evidence report = BuildReport(quarantine, now);
    RC_ASSERT(report.size() <= kMaxParts);
    for (const PartEvidence& item : report) {
      RC_ASSERT(item.crashes.size() <= kMaxCrashes);
    }
    constexpr size_t kSealBytes = 128;
    RC_ASSERT(wire::Encode(EvidenceSum{.evidence = report}).payload.size() <=
              net::kMaxDatagram - kSealBytes);
  }));
}

}  // namespace
}  // namespace samphirebank::quarantine
