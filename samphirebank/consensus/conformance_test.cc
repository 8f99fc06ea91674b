// Runs complete members with their storage under random faults, and checks the
// committed entries and the responses against one reference log.
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

constexpr uint64_t kStorageIdBase = 100;

// Node is one instance with its disk and its state machine, which is the list
// of committed entries.
struct Node {
  MemoryFiles files{};
  std::unique_ptr<storage::Storage> disk{};
  State state{};
  std::vector<Entry> applied{};
  bool is_running = false;
  bool is_connected = true;
  double clock_rate = 1;
  uint64_t storage_id = 0;

  MemberId id() const { return this->state.options.self; }
};

// PendingRequest is a proposal or a leadership confirmation without a response
// yet.
struct PendingRequest {
  std::string command{};
  // The last index that a response had reported as committed when the request
  // was made.
  LogIndex commit_floor{};
};

enum class FaultKind : uint8_t {
  kCrash,
  kCrashOnWrite,
  kLoseDisk,
  kIsolate,
  kReconnect,
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
  std::vector<Entry> reference_log{};  // reference_log[i] has index i + 1
  std::map<Term, MemberId> leaders{};
  std::map<uint64_t, PendingRequest> pending_requests{};
  std::set<std::string> refused_commands{};
  LogIndex commit_floor{};
  uint64_t next_tag = 1;
  size_t num_committed = 0;
  size_t num_confirmed = 0;

  Fleet(size_t size, uint64_t seed) : random(seed), nodes(size) {
    std::set<MemberId> voters;
    for (size_t i = 0; i < size; ++i) {
      this->nodes[i].storage_id = kStorageIdBase * (i + 1);
      this->nodes[i].clock_rate =
          0.9 + 0.2 * static_cast<double>(i) / static_cast<double>(size);
      this->Boot(i);
      voters.insert(this->nodes[i].id());
    }
    this->StepNode(0, Bootstrap{.voters = voters});
  }

  uint64_t RandomBelow(uint64_t limit) { return this->random() % limit; }

  InstanceId InstanceAt(size_t i) const {
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
      node.files.SimulatePowerLoss(this->random());
      return;
    }
    Recovered recovered = node.disk->TakeRecovered();
    node.applied.clear();
    if (recovered.snapshot) node.applied = ParseLog(*recovered.snapshot->data);
    node.state = Start({.self = node.disk->self(),
                        .seed = this->random(),
                        .heartbeat_interval = milliseconds(20),
                        .election_timeout = milliseconds(100),
                        .resend_timeout = milliseconds(40),
                        .max_inflight_appends = 4,
                        .snapshot_entries = 20,
                        .trailing_entries = 5,
                        .max_learner_lag = 5},
                       std::move(recovered), this->NowAt(node));
    node.is_running = true;
  }

  // OpenDisk returns nullptr if the disk fails again or is full.
  std::unique_ptr<storage::Storage> OpenDisk(size_t i) {
    using Opened = std::unique_ptr<storage::Storage>;
    Node& node = this->nodes[i];
    return boost::leaf::try_handle_all(
        [&] {
          return storage::Storage::Open(
              node.files, {.instance = this->InstanceAt(i),
                           .new_storage_id = StorageId(node.storage_id),
                           .segment_size = Bytes(2000)});
        },
        [](const storage::Error& error) {
          RC_ASSERT(error.kind != storage::ErrorKind::kCorrupt);
          return Opened();
        },
        [] { return Opened(); });
  }

  static std::vector<Entry> ParseLog(const std::string& data) {
    return *wire::DecodeFields<std::vector<Entry>>(data);
  }

  void Crash(size_t i) {
    Node& node = this->nodes[i];
    node.is_running = false;
    node.disk.reset();
    node.files.SimulatePowerLoss(this->random());
  }

  void StepNode(size_t i, const Event& event) {
    Node& node = this->nodes[i];
    if (!node.is_running) return;
    this->CarryOut(i, Step(node.state, event, this->NowAt(node)));
    if (node.state.role != Role::kLeader) return;
    const auto [leader, inserted] =
        this->leaders.emplace(node.state.hard_state.term, node.id());
    RC_ASSERT(leader->second == node.id());
  }

  void CarryOut(size_t i, Actions actions) {
    Node& node = this->nodes[i];
    if (actions.persist) node.disk->Enqueue(std::move(*actions.persist));
    for (Message& message : actions.messages) {
      if (node.is_connected) this->network.push_back(std::move(message));
    }
    if (actions.restore) {
      node.applied = ParseLog(*actions.restore->data);
      for (const Entry& entry : node.applied) this->CheckEntry(entry);
    }
    for (Entry& entry : actions.committed) {
      RC_ASSERT(entry.index == LogIndex(node.applied.size() + 1));
      this->CheckEntry(entry);
      node.applied.push_back(std::move(entry));
    }
    for (const ProposalResponse& r : actions.proposal_responses) this->Check(r);
    for (const Confirmation& c : actions.confirmations) this->Check(node, c);
    if (!actions.take_snapshot) return;
    auto data =
        std::make_shared<const std::string>(wire::EncodeFields(node.applied));
    this->StepNode(i, SnapshotTaken{.index = LogIndex(node.applied.size()),
                                    .data = std::move(data)});
  }

  // CheckEntry compares a committed entry with the reference log, or appends it
  // if it is the next one.
  void CheckEntry(const Entry& entry) {
    RC_ASSERT(entry.index.value <= this->reference_log.size() + 1);
    if (entry.index.value == this->reference_log.size() + 1) {
      this->reference_log.push_back(entry);
    }
    RC_ASSERT(this->reference_log[entry.index.value - 1] == entry);
  }

  void Check(const ProposalResponse& response) {
    const auto found = this->pending_requests.find(response.tag.value);
    if (found == this->pending_requests.end()) return;  // a membership change
    const PendingRequest request = found->second;
    this->pending_requests.erase(found);
    if (response.outcome == Outcome::kCommitted) {
      const Entry& entry = this->reference_log[response.first_index.value - 1];
      RC_ASSERT(entry.payload == request.command);
      RC_ASSERT(response.first_index > request.commit_floor);
      this->commit_floor = std::max(this->commit_floor, response.last_index);
      ++this->num_committed;
    } else if (response.outcome != Outcome::kUnknown) {
      this->refused_commands.insert(request.command);
    }
  }

  void Check(const Node& node, const Confirmation& confirmation) {
    const LogIndex floor_at_request =
        this->pending_requests[confirmation.tag.value].commit_floor;
    this->pending_requests.erase(confirmation.tag.value);
    if (!confirmation.confirmed) return;
    RC_ASSERT(confirmation.commit_index >= floor_at_request);
    RC_ASSERT(node.applied.size() >= confirmation.commit_index.value);
    ++this->num_confirmed;
  }

  void Propose(size_t i) {
    const uint64_t tag = this->next_tag++;
    const std::string command = "command " + std::to_string(tag);
    this->pending_requests[tag] = {.command = command,
                                   .commit_floor = this->commit_floor};
    this->StepNode(
        i, consensus::Propose{.tag = ProposalTag(tag), .commands = {command}});
  }

  void RequestConfirmation(size_t i) {
    const uint64_t tag = this->next_tag++;
    this->pending_requests[tag] = {.commit_floor = this->commit_floor};
    this->StepNode(i, ConfirmLeadership{.tag = ConfirmationTag(tag)});
  }

  void Flush(size_t i) {
    Node& node = this->nodes[i];
    if (!node.is_running || !node.disk->has_pending_writes()) return;
    auto flushed = node.disk->Flush();
    if (!flushed) {
      this->Crash(i);
      return;
    }
    this->StepNode(i, StorageFull{.full = flushed->disk_full});
    this->StepNode(i, Persisted{.ticket = flushed->synced});
  }

  void Deliver(bool faulty) {
    if (this->network.empty()) return;
    const size_t at = this->RandomBelow(this->network.size());
    const Message message = this->network[at];
    const uint64_t chance = this->RandomBelow(20);
    if (!faulty || chance != 0) {  // else delivered twice
      this->network[at] = std::move(this->network.back());
      this->network.pop_back();
    }
    if (faulty && chance == 1) return;  // lost
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->InstanceAt(i) != message.to.instance) continue;
      if (!this->nodes[i].is_connected) return;
      this->StepNode(i,
                     Received{*wire::Decode<Message>(wire::Encode(message))});
    }
  }

  // ReplaceDisks adds the members of new disks and then replaces the lost
  // members by them, as an operator would.
  void ReplaceDisks() {
    for (size_t leader = 0; leader < this->nodes.size(); ++leader) {
      if (this->nodes[leader].state.role != Role::kLeader) continue;
      for (const Node& node : this->nodes) this->ReplaceDisk(leader, node.id());
    }
  }

  void ReplaceDisk(size_t leader, const MemberId& id) {
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
    this->StepNode(leader,
                   ProposeMembership{.tag = ProposalTag(0), .change = change});
  }

  // CanLoseDisk reports whether each voter set known to any member keeps a
  // majority of its disks without that of node `i`.
  bool CanLoseDisk(size_t i) const {
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

  void InjectFault(const Fault& fault) {
    const size_t i = fault.node % this->nodes.size();
    Node& node = this->nodes[i];
    switch (fault.kind) {
      case FaultKind::kCrash:
        if (node.is_running) this->Crash(i);
        return;
      case FaultKind::kCrashOnWrite:
        node.files.FailAfter(this->RandomBelow(12));
        return;
      case FaultKind::kLoseDisk:
        if (!this->CanLoseDisk(i)) return;
        this->Crash(i);
        node.files = MemoryFiles();
        ++node.storage_id;
        this->Boot(i);
        return;
      case FaultKind::kIsolate:
        node.is_connected = false;
        return;
      case FaultKind::kReconnect:
        for (Node& each : this->nodes) each.is_connected = true;
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
    const size_t i = this->RandomBelow(this->nodes.size());
    const uint64_t chance = this->RandomBelow(100);
    if (chance < 55) this->Deliver(faulty);
    if (chance < 20) this->StepNode(i, Tick{});
    if (chance >= 55 && chance < 85) this->Flush(i);
    if (chance >= 85 && chance < 93) this->Propose(i);
    if (chance >= 93 && chance < 97) this->RequestConfirmation(i);
    if (chance == 97) this->ReplaceDisks();
    if (chance == 98 && !this->nodes[i].is_running) this->Boot(i);
  }

  // CheckRecovery ends all faults, and checks that further proposals are
  // committed and that all nodes catch up with one log.
  void CheckRecovery() {
    for (size_t i = 0; i < this->nodes.size(); ++i) {
      this->InjectFault({.kind = FaultKind::kReconnect});
      this->InjectFault({.kind = FaultKind::kFreeDisk, .node = i});
      if (!this->nodes[i].is_running) this->Boot(i);
      this->nodes[i].files.FailAfter(UINT64_MAX);
    }
    const size_t before = this->num_committed;
    for (int step = 0; step < 8000; ++step) this->RunStep(false);
    RC_ASSERT(this->num_committed > before);
    for (const Entry& entry : this->reference_log) {
      RC_ASSERT(!this->refused_commands.contains(entry.payload));
    }
    for (const Node& node : this->nodes) {
      const Membership& known = CurrentMembership(node.state).membership;
      RC_ASSERT(known.IsVoter(node.id()));
      RC_ASSERT(known.learners.size() <= 1);
      RC_ASSERT(node.applied.size() + 100 > this->reference_log.size());
    }
  }
};

std::vector<Fault> RandomFaults() {
  return *rc::gen::container<std::vector<Fault>>(rc::gen::build<Fault>(
      rc::gen::set(
          &Fault::kind,
          rc::gen::map(rc::gen::inRange(0, 7),
                       [](int kind) { return static_cast<FaultKind>(kind); })),
      rc::gen::set(&Fault::node, rc::gen::inRange<size_t>(0, 5)),
      rc::gen::set(&Fault::after_steps, rc::gen::inRange<uint64_t>(0, 400))));
}

TEST_CASE("members agree with a reference log under random faults") {
  size_t committed = 0;
  size_t confirmed = 0;
  CHECK(rc::check("one log, no committed entry lost, correct responses", [&] {
    Fleet fleet(*rc::gen::element<size_t>(3, 4, 5),
                *rc::gen::arbitrary<uint64_t>());
    for (int step = 0; step < 1000; ++step) fleet.RunStep(true);
    for (const Fault& fault : RandomFaults()) {
      for (uint64_t i = 0; i < fault.after_steps; ++i) fleet.RunStep(true);
      fleet.InjectFault(fault);
    }
    fleet.CheckRecovery();
    committed += fleet.num_committed;
    confirmed += fleet.num_confirmed;
  }));
  CHECK(committed > 0);
  CHECK(confirmed > 0);
  MESSAGE("committed " << committed << ", confirmed rounds " << confirmed);
}

}  // namespace
}  // namespace samphirebank::consensus
