// Drives whole members, with their disks, through faults, and compares what
// they deliver and answer with one naive copy of the log.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <random>

#include "samphirebank/consensus/consensus.h"
#include "samphirebank/storage/internal/memory_files.h"
#include "samphirebank/storage/storage.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::consensus {
namespace {

using std::chrono::milliseconds;
using storage::internal::MemoryFiles;

constexpr uint64_t kStartDisk = 100;

// Node is one instance with its disk and its state machine: a list of entries.
struct Node {
  MemoryFiles files{};
  std::unique_ptr<storage::Storage> disk{};
  State state{};
  std::vector<Entry> applied{};
  bool up = false;
  bool reachable = true;
  double clock_rate = 1;
  uint64_t next_disk = 0;

  MemberId id() const { return this->state.options.self; }
};

// Asked is a proposal or a round that waits for its answer.
struct Asked {
  std::string command{};
  LogIndex floor{};  // what had been answered as committed before
};

enum class FaultKind : uint8_t {
  kCrash,
  kCrashInDisk,
  kLoseDisk,
  kIsolate,
  kHeal,
  kFillDisk,
  kFreeDisk,
};

struct Fault {
  FaultKind kind = FaultKind::kCrash;
  size_t node = 0;
  uint64_t after_steps = 0;
};

struct Fleet {
  std::mt19937_64 random;
  std::vector<Node> nodes;
  std::vector<Message> network{};
  Duration elapsed{};
  std::vector<Entry> truth{};  // truth[i] has index i + 1
  std::map<Term, MemberId> leaders{};
  std::map<uint64_t, Asked> asked{};
  std::set<std::string> refused{};
  LogIndex floor{};
  uint64_t next_tag = 1;
  size_t committed_answers = 0;
  size_t confirmed_rounds = 0;

  Fleet(size_t size, uint64_t seed) : random(seed), nodes(size) {
    std::set<MemberId> voters;
    for (size_t i = 0; i < size; ++i) {
      this->nodes[i].next_disk = kStartDisk * (i + 1);
      this->nodes[i].clock_rate =
          0.9 + 0.2 * static_cast<double>(i) / static_cast<double>(size);
      this->Boot(i);
      voters.insert(this->nodes[i].id());
    }
    this->Event(0, Bootstrap{.voters = voters});
  }

  uint64_t Below(uint64_t limit) { return this->random() % limit; }

  InstanceId NameOf(size_t i) const {
    return InstanceId("c" + std::to_string(i));
  }

  TimePoint NowAt(const Node& node) const {
    const auto span = static_cast<double>(this->elapsed.count());
    return TimePoint(
        Duration(static_cast<int64_t>(span * node.clock_rate) + 1'000'000'000));
  }

  void Boot(size_t i) {
    Node& node = this->nodes[i];
    node.disk = this->OpenDisk(i);
    if (node.disk == nullptr) {
      node.files.LoseUnsynced(this->random());
      return;
    }
    Recovered recovered = node.disk->TakeRecovered();
    node.applied.clear();
    if (recovered.snapshot) node.applied = Unpack(*recovered.snapshot->data);
    node.state = Start({.self = node.disk->self(),
                        .seed = this->random(),
                        .heartbeat_interval = milliseconds(20),
                        .election_timeout = milliseconds(100),
                        .resend_timeout = milliseconds(40),
                        .max_inflight_appends = 4,
                        .snapshot_entries = 20,
                        .trailing_entries = 5,
                        .catch_up_lag = 5},
                       std::move(recovered), this->NowAt(node));
    node.up = true;
  }

  // OpenDisk returns nothing when the disk fails again or is full.
  std::unique_ptr<storage::Storage> OpenDisk(size_t i) {
    using Opened = std::unique_ptr<storage::Storage>;
    Node& node = this->nodes[i];
    return boost::leaf::try_handle_all(
        [&] {
          return storage::Storage::Open(
              node.files, {.instance = this->NameOf(i),
                           .new_storage = StorageId(node.next_disk),
                           .segment_size = Bytes(2000)});
        },
        [](const storage::Error& error) {
          RC_ASSERT(error.kind != storage::ErrorKind::kCorrupt);
          return Opened();
        },
        [] { return Opened(); });
  }

  static std::vector<Entry> Unpack(const std::string& data) {
    return *wire::DecodeFields<std::vector<Entry>>(data);
  }

  void Crash(size_t i) {
    Node& node = this->nodes[i];
    node.up = false;
    node.disk.reset();
    node.files.LoseUnsynced(this->random());
  }

  void Event(size_t i, const Event& event) {
    Node& node = this->nodes[i];
    if (!node.up) return;
    this->Take(i, Step(node.state, event, this->NowAt(node)));
    if (node.state.role != Role::kLeader) return;
    const auto [at, fresh] =
        this->leaders.emplace(node.state.hard_state.term, node.id());
    RC_ASSERT(at->second == node.id());
  }

  void Take(size_t i, Actions actions) {
    Node& node = this->nodes[i];
    if (actions.persist) node.disk->Enqueue(std::move(*actions.persist));
    for (Message& message : actions.messages) {
      if (node.reachable) this->network.push_back(std::move(message));
    }
    if (actions.restore) {
      node.applied = Unpack(*actions.restore->data);
      for (const Entry& entry : node.applied) this->Compare(entry);
    }
    for (Entry& entry : actions.committed) {
      RC_ASSERT(entry.index == LogIndex(node.applied.size() + 1));
      this->Compare(entry);
      node.applied.push_back(std::move(entry));
    }
    for (const ProposalResponse& answer : actions.proposal_responses)
      this->Check(answer);
    for (const ConfirmationResponse& answer : actions.confirmation_responses)
      this->Check(node, answer);
    if (!actions.take_snapshot) return;
    auto data =
        std::make_shared<const std::string>(wire::EncodeFields(node.applied));
    this->Event(i, SnapshotTaken{.index = LogIndex(node.applied.size()),
                                 .data = std::move(data)});
  }

  // Compare holds a delivered entry against the one true log.
  void Compare(const Entry& entry) {
    RC_ASSERT(entry.index.value <= this->truth.size() + 1);
    if (entry.index.value == this->truth.size() + 1) {
      this->truth.push_back(entry);
    }
    RC_ASSERT(this->truth[entry.index.value - 1] == entry);
  }

  void Check(const ProposalResponse& answer) {
    const auto found = this->asked.find(answer.tag.value);
    if (found == this->asked.end()) return;  // a membership change
    const Asked question = found->second;
    this->asked.erase(found);
    if (answer.outcome == Outcome::kCommitted) {
      const Entry& entry = this->truth[answer.first_index.value - 1];
      RC_ASSERT(entry.payload == question.command);
      RC_ASSERT(answer.first_index > question.floor);
      this->floor = std::max(this->floor, answer.last_index);
      ++this->committed_answers;
    } else if (answer.outcome != Outcome::kUnknown) {
      this->refused.insert(question.command);
    }
  }

  void Check(const Node& node, const ConfirmationResponse& answer) {
    const LogIndex asked_floor = this->asked[answer.tag.value].floor;
    this->asked.erase(answer.tag.value);
    if (!answer.confirmed) return;
    RC_ASSERT(answer.commit_index >= asked_floor);
    RC_ASSERT(node.applied.size() >= answer.commit_index.value);
    ++this->confirmed_rounds;
  }

  void Propose(size_t i) {
    const uint64_t tag = this->next_tag++;
    const std::string command = "command " + std::to_string(tag);
    this->asked[tag] = {.command = command, .floor = this->floor};
    this->Event(
        i, consensus::Propose{.tag = ProposalTag(tag), .commands = {command}});
  }

  void Confirm(size_t i) {
    const uint64_t tag = this->next_tag++;
    this->asked[tag] = {.floor = this->floor};
    this->Event(i, ConfirmLeadership{.tag = ConfirmationTag(tag)});
  }

  void Flush(size_t i) {
    Node& node = this->nodes[i];
    if (!node.up || !node.disk->pending()) return;
    auto flushed = node.disk->Flush();
    if (!flushed) {
      this->Crash(i);
      return;
    }
    this->Event(i, StorageFull{.full = flushed->full});
    this->Event(i, Persisted{.ticket = flushed->synced});
  }

  void Deliver(bool faulty) {
    if (this->network.empty()) return;
    const size_t at = this->Below(this->network.size());
    const Message message = this->network[at];
    const uint64_t chance = this->Below(20);
    if (!faulty || chance != 0) {  // else it is delivered twice
      this->network[at] = std::move(this->network.back());
      this->network.pop_back();
    }
    if (faulty && chance == 1) return;  // lost
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->NameOf(i) != message.to.instance) continue;
      if (!this->nodes[i].reachable) return;
      this->Event(i, Received{*wire::Decode<Message>(wire::Encode(message))});
    }
  }

  // Repair does what an operator would for instances with a new disk.
  void Repair() {
    for (size_t leader = 0; leader < this->nodes.size(); ++leader) {
      if (this->nodes[leader].state.role != Role::kLeader) continue;
      for (const Node& node : this->nodes) this->RepairAt(leader, node.id());
    }
  }

  void RepairAt(size_t leader, const MemberId& id) {
    const Membership membership =
        CurrentMembership(this->nodes[leader].state).membership;
    if (membership.IsVoter(id)) return;
    MembershipChange change{.kind = ChangeKind::kAddLearner, .member = id};
    if (membership.learners.contains(id)) {
      auto old = std::find_if(
          membership.voters.begin(), membership.voters.end(),
          [&](const MemberId& m) { return m.instance == id.instance; });
      if (old == membership.voters.end()) return;
      change = {
          .kind = ChangeKind::kReplace, .member = *old, .replacement = id};
    }
    this->Event(leader,
                ProposeMembership{.tag = ProposalTag(0), .change = change});
  }

  // CanLose says whether a majority of every voter set that some member
  // knows keeps its disk without node `i`.
  bool CanLose(size_t i) const {
    auto keeps = [&](const std::set<MemberId>& set) {
      auto kept = std::count_if(
          this->nodes.begin(), this->nodes.end(), [&](const Node& node) {
            return &node != &this->nodes[i] && set.contains(node.id());
          });
      return set.empty() || 2 * static_cast<size_t>(kept) > set.size();
    };
    return std::all_of(
        this->nodes.begin(), this->nodes.end(), [&](const Node& node) {
          const Membership& known = CurrentMembership(node.state).membership;
          return keeps(known.voters) && keeps(known.outgoing);
        });
  }

  void Bring(const Fault& fault) {
    const size_t i = fault.node % this->nodes.size();
    Node& node = this->nodes[i];
    switch (fault.kind) {
      case FaultKind::kCrash:
        if (node.up) this->Crash(i);
        return;
      case FaultKind::kCrashInDisk:
        node.files.FailAfter(this->Below(12));
        return;
      case FaultKind::kLoseDisk:
        if (!this->CanLose(i)) return;
        this->Crash(i);
        node.files = MemoryFiles();
        ++node.next_disk;
        this->Boot(i);
        return;
      case FaultKind::kIsolate:
        node.reachable = false;
        return;
      case FaultKind::kHeal:
        for (Node& each : this->nodes) each.reachable = true;
        return;
      case FaultKind::kFillDisk:
        node.files.SetCapacity(4000);
        return;
      case FaultKind::kFreeDisk:
        node.files.SetCapacity(UINT64_MAX);
        return;
    }
  }

  void RunStep(bool faulty) {
    this->elapsed += Duration(milliseconds(1));
    const size_t i = this->Below(this->nodes.size());
    const uint64_t chance = this->Below(100);
    if (chance < 55) this->Deliver(faulty);
    if (chance < 20) this->Event(i, Tick{});
    if (chance >= 55 && chance < 85) this->Flush(i);
    if (chance >= 85 && chance < 93) this->Propose(i);
    if (chance >= 93 && chance < 97) this->Confirm(i);
    if (chance == 97) this->Repair();
    if (chance == 98 && !this->nodes[i].up) this->Boot(i);
  }

  // Settle ends all faults and expects the fleet to agree and to go on.
  void Settle() {
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      this->Bring({.kind = FaultKind::kHeal});
      this->Bring({.kind = FaultKind::kFreeDisk, .node = i});
      if (!this->nodes[i].up) this->Boot(i);
      this->nodes[i].files.FailAfter(UINT64_MAX);
    }
    const size_t before = this->committed_answers;
    for (int step = 0; step < 8000; ++step) this->RunStep(false);
    RC_ASSERT(this->committed_answers > before);
    for (const Entry& entry : this->truth) {
      RC_ASSERT(!this->refused.contains(entry.payload));
    }
    for (const Node& node : this->nodes) {
      const Membership& known = CurrentMembership(node.state).membership;
      RC_ASSERT(known.IsVoter(node.id()));
      RC_ASSERT(known.learners.size() <= 1);
      RC_ASSERT(node.applied.size() + 100 > this->truth.size());
    }
  }
};

std::vector<Fault> AnyFaults() {
  return *rc::gen::container<std::vector<Fault>>(rc::gen::build<Fault>(
      rc::gen::set(
          &Fault::kind,
          rc::gen::map(rc::gen::inRange(0, 7),
                       [](int kind) { return static_cast<FaultKind>(kind); })),
      rc::gen::set(&Fault::node, rc::gen::inRange<size_t>(0, 5)),
      rc::gen::set(&Fault::after_steps, rc::gen::inRange<uint64_t>(0, 400))));
}

TEST_CASE("members agree with one naive copy through all faults") {
  size_t committed = 0;
  size_t confirmed = 0;
  CHECK(rc::check("one log, nothing lost, answers are true", [&] {
    Fleet fleet(*rc::gen::element<size_t>(3, 4, 5),
                *rc::gen::arbitrary<uint64_t>());
    for (int step = 0; step < 1000; ++step) fleet.RunStep(true);
    for (const Fault& fault : AnyFaults()) {
      for (uint64_t i = 0; i < fault.after_steps; ++i) fleet.RunStep(true);
      fleet.Bring(fault);
    }
    fleet.Settle();
    committed += fleet.committed_answers;
    confirmed += fleet.confirmed_rounds;
  }));
  CHECK(committed > 0);
  CHECK(confirmed > 0);
  MESSAGE("committed " << committed << ", confirmed rounds " << confirmed);
}

}  // namespace
}  // namespace samphirebank::consensus
