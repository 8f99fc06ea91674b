#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "samphirebank/lease/lease.h"

namespace samphirebank::lease {
namespace {

using std::chrono::milliseconds;

constexpr size_t kHolders = 4;  // 0 is a control follower, the rest routers

// Clock is a monotonic clock with its own rate and start.
struct Clock {
  double rate = 1;
  Duration offset{0};

  TimePoint Read(Duration real) const {
    const auto ns = static_cast<double>(real.count()) * this->rate;
    return TimePoint(this->offset + Duration(static_cast<int64_t>(ns)));
  }
};

struct Message {
  Duration arrives;
  size_t to = 0;  // kHolders is the leader
  size_t from = 0;
  std::optional<ConfigPoll> poll;
  std::optional<ConfigUpdate> update;
};

// Fleet is a leader, holders and a network that loses, doubles and delays.
struct Fleet {
  explicit Fleet(uint64_t seed) : random(seed) {
    for (size_t i = 0; i < kHolders; ++i) {
      this->Restart(i);
      this->clocks[i] = this->RandomClock();
    }
    this->clocks[kHolders] = this->RandomClock();
  }

  std::mt19937_64 random;
  Duration real{0};
  contracts::Machine truth;
  contracts::History leader;  // may be cut off and old
  std::optional<Proof> proof;
  bool cut_off = false;
  std::vector<TimePoint> accepted;  // by revision - 1, the leader's clock
  Holder holders[kHolders];
  Clock clocks[kHolders + 1];
  Duration frozen_until[kHolders + 1] = {};
  std::vector<Message> messages;
  uint64_t boots = 0;

  uint64_t Pick(uint64_t below) { return this->random() % below; }

  Clock RandomClock() {
    // Two clocks differ by at most Parameters::drift_ppm.
    const double skew = (static_cast<double>(this->Pick(1001)) - 500) / 1e6;
    return {.rate = 1 + skew,
            .offset = Duration(static_cast<int64_t>(this->Pick(1u << 30)))};
  }

  void Restart(size_t i) {
    HolderOptions options{.self = {.instance = InstanceId(std::to_string(i)),
                                   .boot = BootId(++this->boots),
                                   .address = {"h", static_cast<uint16_t>(i)}},
                          .controls = {{{"h", kHolders}}}};
    if (i != 0) options.controls.push_back({{"h", 0}});
    this->holders[i] = MakeHolder(options);
    if (i > 1) this->holders[i].peers = {{"h", 1}};
  }

  void Send(Message message) {
    const uint64_t copies = this->Pick(10) < 2 ? 0 : 1 + this->Pick(5) / 4;
    for (uint64_t copy = 0; copy < copies; ++copy) {
      const bool slow = this->Pick(8) == 0;
      message.arrives = this->real + milliseconds(this->Pick(slow ? 6000 : 40));
      this->messages.push_back(message);
    }
  }

  void Accept() {
    const auto number = std::to_string(this->accepted.size());
    contracts::Apply(this->truth,
                     {.change = ChangeId(number),
                      .action = contracts::PutContract{
                          {.organisation = OrganisationId(
                               "o" + std::to_string(this->Pick(5)))}}});
    this->accepted.push_back(this->clocks[kHolders].Read(this->real));
  }

  void Confirm() {
    if (this->cut_off) return;
    this->leader = this->truth.history;
    this->proof = Proof{this->clocks[kHolders].Read(this->real),
                        this->leader.configuration.revision};
  }

  void Deliver(const Message& message) {
    const TimePoint now = this->clocks[message.to].Read(this->real);
    if (message.update) {
      OnUpdate(this->holders[message.to], *message.update, now);
      return;
    }
    const bool to_leader = message.to == kHolders;
    const Holder& holder = this->holders[to_leader ? 0 : message.to];
    ConfigUpdate update =
        MakeUpdate(to_leader ? this->leader : holder.history,
                   to_leader ? this->proof : holder.satisfied_proof,
                   Parameters(), *message.poll, now);
    // As if more changes had been missed than one answer can hold.
    if (this->Pick(3) == 0) update.changes.resize(update.changes.size() / 2);
    this->Send(
        {.to = message.from, .from = message.to, .update = std::move(update)});
  }

  void DeliverDue() {
    for (size_t i = 0; i < this->messages.size();) {
      const Message message = this->messages[i];
      const bool due = message.arrives <= this->real &&
                       this->frozen_until[message.to] <= this->real;
      if (!due) {
        ++i;
        continue;
      }
      this->messages.erase(this->messages.begin() +
                           static_cast<std::ptrdiff_t>(i));
      this->Deliver(message);
    }
  }

  void Step() {
    this->real += milliseconds(1 + this->Pick(60));
    if (this->Pick(20) == 0) this->Accept();
    if (this->Pick(60) == 0) this->cut_off = !this->cut_off;
    if (this->Pick(4) == 0) this->Confirm();
    if (this->Pick(50) == 0) {
      this->frozen_until[this->Pick(kHolders + 1)] =
          this->real + milliseconds(this->Pick(8000));
    }
    if (this->Pick(150) == 0) this->Restart(this->Pick(kHolders));
    this->DeliverDue();
    for (size_t i = 0; i < kHolders; ++i) {
      if (this->frozen_until[i] > this->real) continue;
      for (OutgoingPoll& send :
           OnTimer(this->holders[i], this->clocks[i].Read(this->real))) {
        this->Send(
            {.to = send.to.port, .from = i, .poll = std::move(send.poll)});
      }
    }
  }

  // OldestAllowed is the lowest revision that a holder may act on now.
  Revision OldestAllowed() const {
    const TimePoint now = this->clocks[kHolders].Read(this->real);
    uint64_t revision = 0;
    while (revision < this->accepted.size() &&
           now - this->accepted[revision] >= InForceAfter(Parameters())) {
      ++revision;
    }
    return Revision(revision);
  }
};

TEST_CASE("nobody acts on what is older than the bound, and nobody reverts") {
  uint64_t acted = 0;
  uint64_t refused = 0;
  CHECK(rc::check("lease bound", [&] {
    Fleet fleet(*rc::gen::arbitrary<uint64_t>());
    Revision before[kHolders];
    BootId boots[kHolders];
    for (int step = 0; step < 1500; ++step) {
      fleet.Step();
      const Revision oldest = fleet.OldestAllowed();
      for (size_t i = 0; i < kHolders; ++i) {
        const Holder& holder = fleet.holders[i];
        const Revision revision = holder.history.configuration.revision;
        const bool may = MayAct(holder, fleet.clocks[i].Read(fleet.real));
        ++(may ? acted : refused);
        if (may) RC_ASSERT(revision >= oldest);
        if (boots[i] == holder.options.self.boot) {
          RC_ASSERT(revision >= before[i]);
        }
        before[i] = revision;
        boots[i] = holder.options.self.boot;
      }
    }
  }));
  // The check means something only if both happen often.
  CHECK(acted > 1000);
  CHECK(refused > 1000);
}

}  // namespace
}  // namespace samphirebank::lease
