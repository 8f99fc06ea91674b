// Simulates coordinators and gateways, in simulated time, with a target that
// signs off and comes back under the same id again and again, while messages
// are lost, late and out of order and coordinators restart.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "samphirebank/follow/follow.h"
#include "samphirebank/signoff/signoff.h"

namespace samphirebank::signoff {
namespace {

using directory::State;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(100);
constexpr Duration kHeartbeat = milliseconds(1000);
constexpr Duration kCallLimit = milliseconds(1000);
// A sign-off is in force at all gateways within this time.
constexpr Duration kDrainLimit = seconds(3);
const TimePoint kStart{seconds(1000)};
const TargetId kTarget("t");

// Faults is what goes wrong in one run. Probabilities are for one message, or
// for one second of a coordinator.
struct Faults {
  double lost = 0.0;
  double very_late = 0.0;  // by up to 3 s
  Duration max_delay = milliseconds(60);
  double late_call = 0.0;  // by up to the time after which it is given up
  double restart = 0.0;    // of a coordinator
  double killed = 0.0;     // of a target while it signs off
};

struct Coordinator {
  InstanceId id{};
  BootId boot{1};
  TimePoint started_at{};
  directory::Directory directory{};
  uint64_t last_query = 0;
  struct Order {
    Pending pending{};
    std::function<void(bool)> reply{};
  };
  std::map<uint64_t, Order> orders{};
  std::vector<std::pair<directory::Announcement, TimePoint>> ended{};
};

struct Gateway {
  InstanceId id{};
  follow::Follower follower{};
  directory::Directory directory{};
};

struct RunOfTarget {
  bool signs_off = false;
  std::optional<TimePoint> acknowledged_at{};
};

// World is one play.
class World {
 public:
  World(Faults given, uint64_t seed) : faults(given), random(seed) {
    std::vector<InstanceId> ids;
    for (int i = 1; i <= 3; ++i) ids.emplace_back("c" + std::to_string(i));
    for (const InstanceId& id : ids) {
      this->coordinators.push_back(
          {.id = id, .started_at = kStart - seconds(60)});
    }
    for (int i = 1; i <= 2; ++i) {
      Gateway gateway{.id = InstanceId("g" + std::to_string(i))};
      gateway.follower = follow::Start({.seeds = ids}, kStart);
      this->gateways.push_back(std::move(gateway));
    }
    this->StartRun();
    this->Tick();
  }

  void Play(Duration length) {
    while (!this->events.empty() && this->now < kStart + length) {
      auto next = this->events.extract(this->events.begin());
      this->now = next.key();
      next.mapped()();
    }
  }

  size_t acknowledged = 0;
  Duration longest{};  // from the first call to the acknowledgement
  std::string violation{};

 private:
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(this->random) <
           probability;
  }
  Duration Within(Duration limit) {
    const auto most = std::chrono::duration_cast<milliseconds>(limit).count();
    return milliseconds(
        std::uniform_int_distribution<int64_t>(0, most)(this->random));
  }
  void After(Duration delay, std::function<void()> action) {
    this->events.emplace(this->now + delay, std::move(action));
  }
  void Send(std::function<void()> arrive) {
    if (this->Chance(this->faults.lost)) return;
    const bool is_late = this->Chance(this->faults.very_late);
    this->After(this->Within(is_late ? seconds(3) : this->faults.max_delay),
                std::move(arrive));
  }

  // The target.
  void StartRun() {
    this->runs.emplace_back();
    this->sequence = 0;
    const size_t run = this->runs.size() - 1;
    this->After(this->Within(milliseconds(300)), [=, this] { Beat(run); });
    this->After(milliseconds(700) + this->Within(seconds(9)),
                [=, this] { SignOff(run); });
  }
  bool IsRunning(size_t run) const { return run + 1 == this->runs.size(); }
  directory::Announcement Announce(size_t run) {
    return {.id = kTarget,
            .service = ServiceId("a"),
            .address = {.ip = "10.9.0.1", .port = 80},
            .started_at_ms = static_cast<int64_t>(run) + 1,
            .sequence = ++this->sequence};
  }
  void Beat(size_t run) {
    if (!this->IsRunning(run) || this->runs[run].signs_off) return;
    const directory::Announcement announcement = this->Announce(run);
    this->Call(
        [=, this](Coordinator& at, const std::function<void(bool)>& reply) {
          Take(at, announcement);
          reply(true);
        },
        [](bool) {});
    this->After(kHeartbeat, [=, this] { Beat(run); });
  }
  void SignOff(size_t run) {
    if (!this->IsRunning(run)) return;
    if (!std::exchange(this->runs[run].signs_off, true)) {
      this->sign_off_at = this->now;
      if (this->Chance(this->faults.killed)) {
        this->After(this->Within(milliseconds(300)), [=, this] { End(run); });
      }
    }
    this->Call(
        [this](Coordinator& at, std::function<void(bool)> reply) {
          TakeSignOff(at, std::move(reply));
        },
        [=, this](bool done) {
          if (!this->IsRunning(run)) return;
          if (!done) {
            return this->After(milliseconds(50), [=, this] { SignOff(run); });
          }
          this->runs[run].acknowledged_at = this->now;
          ++this->acknowledged;
          this->longest =
              std::max(this->longest, this->now - this->sign_off_at);
          this->End(run);
        });
  }
  void End(size_t run) {
    if (!this->IsRunning(run)) return;
    this->runs.emplace_back();  // no run until the next one begins
    this->After(this->Within(milliseconds(1500)), [this] {
      this->runs.pop_back();
      this->StartRun();
    });
  }
  // Call calls any coordinator; `done` gets false after kCallLimit. A call
  // that was given up is not taken any more.
  void Call(
      const std::function<void(Coordinator&, std::function<void(bool)>)>& take,
      const std::function<void(bool)>& done) {
    const auto has_ended = std::make_shared<bool>(false);
    const auto end = [=](bool result) {
      if (!std::exchange(*has_ended, true)) done(result);
    };
    const size_t to = this->random() % this->coordinators.size();
    const bool is_late = this->Chance(this->faults.late_call);
    this->After(
        this->Within(is_late ? kCallLimit : this->faults.max_delay), [=, this] {
          take(this->coordinators[to],
               [=, this](bool result) { this->Send([=] { end(result); }); });
        });
    this->After(kCallLimit, [=] { end(false); });
  }

  // Coordinators.
  bool HasJustStarted(const Coordinator& at) const {
    return this->now - at.started_at < this->options.startup_time;
  }
  void Take(Coordinator& at, const directory::Announcement& announcement) {
    const auto effect =
        directory::ApplyAnnouncement(at.directory, announcement, this->now);
    const bool is_change = effect == directory::Effect::kNew ||
                           effect == directory::Effect::kChanged;
    if (is_change) this->Push(at);
  }
  void TakeSignOff(Coordinator& at, std::function<void(bool)> reply) {
    const RunQuery query{.number = ++at.last_query, .target = kTarget};
    std::set<InstanceId> others;
    for (const Coordinator& other : this->coordinators) {
      if (other.id != at.id) others.insert(other.id);
    }
    at.orders[query.number] = {
        .pending =
            Begin(kTarget, std::move(others),
                  ReportOf(at.directory, query, HasJustStarted(at), this->now),
                  this->now),
        .reply = std::move(reply)};
    this->AskOthers(at, query.number);
    this->Step(at, query.number);
  }
  void AskOthers(Coordinator& at, uint64_t number) {
    const Pending& pending = at.orders.at(number).pending;
    const RunQuery query{.number = number, .target = kTarget};
    for (Coordinator& other : this->coordinators) {
      if (!pending.unanswered.contains(other.id)) continue;
      this->Send([=, this, &at, &other] {
        this->Report(
            at, other.id,
            ReportOf(other.directory, query, HasJustStarted(other), now));
      });
    }
    if (!ShouldAskGateways(this->options, pending, this->now)) return;
    for (Gateway& gateway : this->gateways) {
      this->Send([=, this, &at, &gateway] {
        this->Report(at, gateway.id,
                     ReportOf(gateway.directory, query, false, now));
      });
    }
  }
  void Report(Coordinator& at, const InstanceId& from,
              const RunReport& report) {
    this->Send([=, this, &at] {
      const auto found = at.orders.find(report.number);
      if (found == at.orders.end()) return;
      TakeReport(found->second.pending, from, report);
      this->Step(at, report.number);
    });
  }
  void Step(Coordinator& at, uint64_t number) {
    const auto found = at.orders.find(number);
    const Verdict verdict =
        Decide(this->options, found->second.pending, this->now);
    if (verdict == Verdict::kWait) return;
    const Coordinator::Order order = std::move(found->second);
    at.orders.erase(found);
    if (verdict == Verdict::kEndRun) {
      const directory::Announcement run = EndOf(order.pending);
      this->Take(at, run);
      at.ended.emplace_back(run, this->now + seconds(1));
      this->TellEnded(at);
    }
    order.reply(verdict != Verdict::kRefuse);
  }
  void TellEnded(Coordinator& at) {
    std::erase_if(at.ended,
                  [this](const auto& item) { return item.second < this->now; });
    for (const auto& ended : at.ended) {
      const directory::Announcement run = ended.first;
      for (Coordinator& other : this->coordinators) {
        if (other.id == at.id) continue;
        this->Send([=, this, &other] { this->Take(other, run); });
      }
    }
  }
  void SendUpdate(const Coordinator& at, Gateway& to, const BootId& boot,
                  const directory::Position& position) {
    const directory::Position since =
        boot == at.boot ? position : directory::Position();
    const auto changes =
        directory::ChangesSince(at.directory, since, follow::kMaxAnnouncements);
    const follow::Update update{.coordinator_boot = at.boot,
                                .since = since,
                                .until = changes.until,
                                .has_more = changes.has_more,
                                .announcements = changes.announcements};
    this->Send([=, this, &to, from = at.id] {
      follow::Merge(to.follower, from, update, to.directory, this->now);
    });
  }
  void Push(const Coordinator& at) {
    for (Gateway& gateway : this->gateways) {
      this->SendUpdate(at, gateway, at.boot, {});
    }
  }

  void Tick() {
    for (Coordinator& at : this->coordinators) {
      if (this->Chance(this->faults.restart * 0.1)) {
        at = {.id = at.id,
              .boot = BootId(at.boot.value + 1),
              .started_at = this->now,
              .last_query = this->random()};
      }
      directory::EvictExpired(at.directory, this->now);
      std::vector<uint64_t> numbers;
      for (const auto& [number, order] : at.orders) numbers.push_back(number);
      for (const uint64_t number : numbers) {
        this->AskOthers(at, number);
        this->Step(at, number);
      }
      this->TellEnded(at);
    }
    for (Gateway& gateway : this->gateways) this->TickGateway(gateway);
    this->Check();
    this->After(kTick, [this] { this->Tick(); });
  }
  void TickGateway(Gateway& gateway) {
    directory::EvictExpired(gateway.directory, this->now);
    for (const InstanceId& to :
         follow::TakeDuePolls(gateway.follower, this->now)) {
      const follow::Poll poll =
          follow::BuildPoll(gateway.follower, to, this->now);
      for (const Coordinator& at : this->coordinators) {
        if (at.id != to) continue;
        this->Send([=, this, &at, &gateway] {
          this->SendUpdate(at, gateway, poll.coordinator_boot, poll.position);
        });
      }
    }
  }

  void Check() {
    for (const auto& at : this->coordinators) CheckOne(at.directory, false);
    for (const auto& at : this->gateways) CheckOne(at.directory, true);
  }
  void CheckOne(const directory::Directory& checked, bool is_gateway) {
    const auto found = checked.entries.find(kTarget);
    if (found == checked.entries.end()) return;
    const directory::Announcement& known = found->second.announcement;
    const RunOfTarget& run =
        this->runs[static_cast<size_t>(known.started_at_ms) - 1];
    if (known.state == State::kGone && !run.signs_off) {
      this->violation = "a run that did not sign off was ended";
    }
    const bool is_late =
        run.acknowledged_at && this->now - *run.acknowledged_at >= kDrainLimit;
    if (is_gateway && is_late && known.state == State::kReady) {
      this->violation = "a run that signed off is used";
    }
  }

  Options options{};
  Faults faults;
  std::mt19937_64 random;
  TimePoint now = kStart;
  std::multimap<TimePoint, std::function<void()>> events{};
  std::vector<Coordinator> coordinators{};
  std::vector<Gateway> gateways{};
  std::vector<RunOfTarget> runs{};  // of the target; the last one runs
  uint64_t sequence = 0;
  TimePoint sign_off_at{};
};

TEST_CASE("without faults every sign-off is soon in force") {
  World world({}, 1);
  world.Play(seconds(120));
  CHECK(world.violation.empty());
  CHECK(world.acknowledged >= 10);
  CHECK(world.longest <= Options().settle_time + kCallLimit);
}

// Guards against sign-offs that are acknowledged and dropped, since another
// coordinator has the run's last heartbeats, and against late ones that end the
// next run of the same id.
TEST_CASE("a sign-off ends its run at every gateway, and no other run") {
  CHECK(rc::check([] {
    const auto percent = [](int most) {
      return *rc::gen::inRange(0, most + 1) / 100.0;
    };
    const Faults faults{.lost = percent(15),
                        .very_late = percent(5),
                        .max_delay = milliseconds(*rc::gen::inRange(1, 200)),
                        .late_call = percent(30),
                        .restart = percent(10),
                        .killed = percent(50)};
    World world(faults, *rc::gen::arbitrary<uint64_t>());
    world.Play(seconds(60));
    RC_ASSERT(world.violation == "");
    RC_ASSERT(world.longest <= seconds(12));
  }));
}

}  // namespace
}  // namespace samphirebank::signoff
