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

constexpr size_t kNumHolders = 4;  // 0 is a control follower, the rest routers

// Clock is a monotonic clock with its own rate and offset.
struct Clock {
  double rate = 1;
  Duration offset{0};

  TimePoint Read(Duration real_time) const {
    const auto ns = static_cast<double>(real_time.count()) * this->rate;
    return TimePoint(this->offset + Duration(static_cast<int64_t>(ns)));
  }
};

struct Message {
  Duration arrival;
  size_t to = 0;  // kNumHolders is the leader
  size_t from = 0;
  std::optional<ConfigPoll> poll;
  std::optional<ConfigUpdate> update;
};

// Fleet simulates a leader, holders and a network that loses, duplicates and
// delays messages.
struct Fleet {
  explicit Fleet(uint64_t seed) : random(seed) {
    for (size_t i = 0; i < kNumHolders; ++i) {
      this->Restart(i);
      this->clocks[i] = this->RandomClock();
    }
    this->clocks[kNumHolders] = this->RandomClock();
  }

  std::mt19937_64 random;
  Duration real_time{0};
  contracts::Machine accepted_state;
  contracts::History leader;  // stale while the leader is partitioned
  std::optional<Proof> proof;
  bool is_partitioned = false;
  // accepted[r - 1] is the time on the leader's clock at which revision r was
  // accepted.
  std::vector<TimePoint> accepted;
  Holder holders[kNumHolders];
  Clock clocks[kNumHolders + 1];
  Duration frozen_until[kNumHolders + 1] = {};
  std::vector<Message> messages;
  uint64_t boots = 0;

  uint64_t Pick(uint64_t limit) { return this->random() % limit; }

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
                          .controls = {{{"h", kNumHolders}}}};
    if (i != 0) options.controls.push_back({{"h", 0}});
    this->holders[i] = MakeHolder(options);
    if (i > 1) this->holders[i].peers = {{"h", 1}};
  }

  void Send(Message message) {
    const uint64_t copies = this->Pick(10) < 2 ? 0 : 1 + this->Pick(5) / 4;
    for (uint64_t copy = 0; copy < copies; ++copy) {
      const bool is_delayed = this->Pick(8) == 0;
      message.arrival =
          this->real_time + milliseconds(this->Pick(is_delayed ? 6000 : 40));
      this->messages.push_back(message);
    }
  }

  void Accept() {
    const auto number = std::to_string(this->accepted.size());
    contracts::Apply(this->accepted_state,
                     {.change = ChangeId(number),
                      .action = contracts::PutContract{
                          {.organisation = OrganisationId(
                               "o" + std::to_string(this->Pick(5)))}}});
    this->accepted.push_back(this->clocks[kNumHolders].Read(this->real_time));
  }

  void Confirm() {
    if (this->is_partitioned) return;
    this->leader = this->accepted_state.history;
    this->proof = Proof{this->clocks[kNumHolders].Read(this->real_time),
                        this->leader.configuration.revision};
  }

  void Deliver(const Message& message) {
    const TimePoint now = this->clocks[message.to].Read(this->real_time);
    if (message.update) {
      OnUpdate(this->holders[message.to], *message.update, now);
      return;
    }
    const bool to_leader = message.to == kNumHolders;
    const Holder& holder = this->holders[to_leader ? 0 : message.to];
    ConfigUpdate update =
        MakeUpdate(to_leader ? this->leader : holder.history,
                   to_leader ? this->proof : holder.satisfied_proof,
                   Parameters(), *message.poll, now);
    // Simulates a holder that lacks more changes than fit into one response.
    if (this->Pick(3) == 0) update.changes.resize(update.changes.size() / 2);
    this->Send(
        {.to = message.from, .from = message.to, .update = std::move(update)});
  }

  void DeliverDue() {
    for (size_t i = 0; i < this->messages.size();) {
      const Message message = this->messages[i];
      const bool is_due = message.arrival <= this->real_time &&
                          this->frozen_until[message.to] <= this->real_time;
      if (!is_due) {
        ++i;
        continue;
      }
      this->messages.erase(this->messages.begin() +
                           static_cast<std::ptrdiff_t>(i));
      this->Deliver(message);
    }
  }

  void Step() {
    this->real_time += milliseconds(1 + this->Pick(60));
    if (this->Pick(20) == 0) this->Accept();
    if (this->Pick(60) == 0) this->is_partitioned = !this->is_partitioned;
    if (this->Pick(4) == 0) this->Confirm();
    if (this->Pick(50) == 0) {
      this->frozen_until[this->Pick(kNumHolders + 1)] =
          this->real_time + milliseconds(this->Pick(8000));
    }
    if (this->Pick(150) == 0) this->Restart(this->Pick(kNumHolders));
    this->DeliverDue();
    for (size_t i = 0; i < kNumHolders; ++i) {
      if (this->frozen_until[i] > this->real_time) continue;
      for (OutgoingPoll& send :
           OnTimer(this->holders[i], this->clocks[i].Read(this->real_time))) {
        this->Send(
            {.to = send.to.port, .from = i, .poll = std::move(send.poll)});
      }
    }
  }

  // MinAllowedRevision returns the lowest revision that a holder may act on
  // now.
  Revision MinAllowedRevision() const {
    const TimePoint now = this->clocks[kNumHolders].Read(this->real_time);
    uint64_t revision = 0;
    while (revision < this->accepted.size() &&
           now - this->accepted[revision] >= InForceAfter(Parameters())) {
      ++revision;
    }
    return Revision(revision);
  }
};

TEST_CASE("no holder acts on a stale revision or reverts to an older one") {
  uint64_t num_with_lease = 0;
  uint64_t num_without_lease = 0;
  CHECK(rc::check("lease bound", [&] {
    Fleet fleet(*rc::gen::arbitrary<uint64_t>());
    Revision previous[kNumHolders];
    BootId boots[kNumHolders];
    for (int step = 0; step < 1500; ++step) {
      fleet.Step();
      const Revision min_revision = fleet.MinAllowedRevision();
      for (size_t i = 0; i < kNumHolders; ++i) {
        const Holder& holder = fleet.holders[i];
        const Revision revision = holder.history.configuration.revision;
        const bool has_lease =
            MayAct(holder, fleet.clocks[i].Read(fleet.real_time));
        ++(has_lease ? num_with_lease : num_without_lease);
        if (has_lease) RC_ASSERT(revision >= min_revision);
        if (boots[i] == holder.options.self.boot) {
          RC_ASSERT(revision >= previous[i]);
        }
        previous[i] = revision;
        boots[i] = holder.options.self.boot;
      }
    }
  }));
  // The property is tested only if both cases occur often.
  CHECK(num_with_lease > 1000);
  CHECK(num_without_lease > 1000);
}

}  // namespace
}  // namespace samphirebank::lease
