#include "samphirebank/control/internal/consensus_replication.h"

#include <sodium.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "samphirebank/consensus/consensus.h"
#include "samphirebank/events/events.h"
#include "samphirebank/storage/storage.h"

namespace samphirebank::control {
namespace {

using consensus::MemberId;
using std::chrono::milliseconds;

constexpr Duration kTickPeriod = milliseconds(20);
// Short enough that a new leader's first lease reaches routers before the old
// leader's last one ends.
constexpr Duration kElectionTimeout = milliseconds(750);
constexpr Duration kFullRetry = milliseconds(500);
constexpr size_t kKeptResults = 8192;
// A proposal is decided by then, unless a quorum or its disks are lost.
constexpr Duration kDecisionLimit = std::chrono::seconds(2);

uint64_t RandomNumber() {
  uint64_t number = 0;
  while (number == 0) randombytes_buf(&number, sizeof(number));
  return number;
}

// ValueOrThrow turns a storage failure into an exception: without its data
// folder an instance cannot start.
template <typename Open>
auto ValueOrThrow(Open open) {
  using Value = std::decay_t<decltype(*open())>;
  std::string failure;
  auto value = wire::leaf::try_handle_all(
      [&]() -> wire::leaf::result<std::optional<Value>> {
        BOOST_LEAF_AUTO(opened, open());
        return std::optional<Value>(std::move(opened));
      },
      [&](const storage::Error& error) {
        failure = error.ToText();
        return std::optional<Value>();
      },
      [&] {
        failure = "the data folder cannot be opened";
        return std::optional<Value>();
      });
  if (!value) throw std::runtime_error(failure);
  return std::move(*value);
}

ProposalResult ResultOf(consensus::Outcome outcome) {
  switch (outcome) {
    case consensus::Outcome::kCommitted:
      return ProposalResult::kCommitted;
    case consensus::Outcome::kNotLeader:
      return ProposalResult::kNotLeader;
    case consensus::Outcome::kStorageFull:
      return ProposalResult::kFull;
    case consensus::Outcome::kUnknown:
      return ProposalResult::kUnknown;
    default:
      return ProposalResult::kRefused;
  }
}

}  // namespace

ConsensusReplication::ConsensusReplication(
    net::Loop& event_loop, const settings::ControlSettings& given,
    ReplicationHooks shell)
    : loop(event_loop), settings(given), hooks(std::move(shell)) {
  this->OpenStorage();
  this->loop.Every(kTickPeriod, [this] {
    this->TryBootstrap();
    this->Step(consensus::Tick{});
    this->GiveUpProposals(net::Loop::Now());
  });
}

void ConsensusReplication::OpenStorage() {
  const InstanceId& self = this->settings.identity.instance;
  this->files = ValueOrThrow(
      [&] { return storage::OpenFolder(this->settings.data_folder); });
  this->disk = ValueOrThrow([&] {
    return storage::Storage::Open(
        *this->files, {.instance = self,
                       .new_storage = consensus::StorageId(RandomNumber())});
  });
  const storage::RecoveryReport& report = this->disk->report();
  events::Log({.number = events::Number::kLogRecovered,
               .duration = report.took,
               .count = static_cast<int64_t>(report.entries)});
  if (report.torn_bytes.value > 0) {
    events::Log({.number = events::Number::kTornTailDropped,
                 .bytes = report.torn_bytes,
                 .detail = report.torn_file});
  }
  consensus::Recovered recovered = this->disk->TakeRecovered();
  if (recovered.snapshot) {
    this->hooks.restore(*recovered.snapshot->data);
    this->applied = recovered.snapshot->head.index;
  }
  consensus::Options options{.self = this->disk->self(),
                             .seed = RandomNumber(),
                             .election_timeout = kElectionTimeout};
  for (const settings::ControlMember& member : this->settings.members) {
    if (member.instance != self) options.peers.push_back(member.instance);
  }
  this->state = consensus::Start(std::move(options), std::move(recovered),
                                 net::Loop::Now());
}

void ConsensusReplication::Step(const consensus::Event& event) {
  this->Perform(consensus::Step(this->state, event, net::Loop::Now()));
}

void ConsensusReplication::Perform(consensus::Actions actions) {
  if (actions.persist) {
    this->disk->Enqueue(std::move(*actions.persist));
    this->ScheduleFlush(Duration(0));
  }
  for (const consensus::Message& message : actions.messages) {
    this->hooks.send(message.to.instance, wire::Encode(message));
  }
  if (actions.restore) {
    this->hooks.restore(*actions.restore->data);
    this->applied = actions.restore->head.index;
    events::Log({.number = events::Number::kSnapshotInstalled});
  }
  this->Apply(actions.committed);
  if (actions.leadership) this->hooks.on_leadership();
  for (const consensus::ProposalAnswer& answer : actions.answers) {
    this->Answer(answer);
  }
  for (const consensus::RoundAnswer& round : actions.rounds) {
    auto found = this->rounds.extract(round.tag);
    if (!found.empty()) found.mapped()(round.confirmed, round.started_at);
  }
  if (actions.take_snapshot) {
    this->loop.After(Duration(0), [this] { this->TakeSnapshot(); });
  }
}

void ConsensusReplication::Apply(const std::vector<consensus::Entry>& entries) {
  for (const consensus::Entry& entry : entries) {
    this->applied = entry.index;
    if (entry.kind != consensus::EntryKind::kCommand) continue;
    this->results[entry.index] = this->hooks.apply(entry.payload);
    if (this->results.size() > kKeptResults) {
      this->results.erase(this->results.begin());
    }
  }
}

void ConsensusReplication::Answer(const consensus::ProposalAnswer& answer) {
  auto change = this->changes.extract(answer.tag);
  if (!change.empty()) return change.mapped()(answer.outcome);
  auto proposal = this->proposals.extract(answer.tag);
  if (proposal.empty()) return;
  auto result = this->results.extract(answer.first_index);
  const bool has_result =
      answer.outcome == consensus::Outcome::kCommitted && !result.empty();
  proposal.mapped().done(ResultOf(answer.outcome),
                         has_result ? result.mapped() : Applied());
}

void ConsensusReplication::GiveUpProposals(TimePoint now) {
  while (!this->proposals.empty() &&
         this->proposals.begin()->second.give_up <= now) {
    auto oldest = this->proposals.extract(this->proposals.begin());
    oldest.mapped().done(ProposalResult::kUnknown, Applied());
  }
}

void ConsensusReplication::ScheduleFlush(Duration delay) {
  if (this->flush_scheduled) return;
  this->flush_scheduled = true;
  this->loop.After(delay, [this] { this->Flush(); });
}

void ConsensusReplication::Flush() {
  this->flush_scheduled = false;
  std::string failure;
  const auto flushed = wire::leaf::try_handle_all(
      [&]() -> wire::leaf::result<std::optional<storage::FlushResult>> {
        BOOST_LEAF_AUTO(result, this->disk->Flush());
        return std::optional<storage::FlushResult>(result);
      },
      [&](const storage::Error& error) {
        failure = error.ToText();
        return std::optional<storage::FlushResult>();
      },
      [&] {
        failure = "the disk failed";
        return std::optional<storage::FlushResult>();
      });
  if (!flushed) return this->hooks.on_failure(failure);
  if (flushed->full != this->disk_full) {
    this->disk_full = flushed->full;
    events::Log({.number = flushed->full ? events::Number::kDiskFull
                                         : events::Number::kDiskWritable});
    this->Step(consensus::StorageFull{.full = flushed->full});
  }
  if (flushed->full) this->ScheduleFlush(kFullRetry);
  this->Step(consensus::Persisted{.ticket = flushed->synced});
}

void ConsensusReplication::TakeSnapshot() {
  const TimePoint begin = net::Loop::Now();
  auto data = std::make_shared<const std::string>(this->hooks.snapshot());
  events::Log({.number = events::Number::kSnapshotWritten,
               .bytes = Bytes(static_cast<int64_t>(data->size())),
               .duration = net::Loop::Now() - begin});
  this->Step(consensus::SnapshotTaken{.index = this->applied,
                                      .data = std::move(data)});
}

void ConsensusReplication::TryBootstrap() {
  if (!this->settings.bootstrap) return;
  const auto& current = consensus::CurrentMembership(this->state);
  if (!current.membership.voters.empty()) return;
  std::set<MemberId> voters;
  for (const settings::ControlMember& member : this->settings.members) {
    if (member.instance == this->state.options.self.instance) {
      voters.insert(this->state.options.self);
      continue;
    }
    const auto found = this->state.announced.find(member.instance);
    if (found == this->state.announced.end()) return;
    voters.insert(found->second);
  }
  this->Step(consensus::Bootstrap{.voters = std::move(voters)});
}

void ConsensusReplication::Propose(std::string entry, ProposalDone done) {
  const consensus::ProposalTag tag(this->next_tag++);
  this->proposals[tag] = {.done = std::move(done),
                          .give_up = net::Loop::Now() + kDecisionLimit};
  consensus::Propose event{.tag = tag};
  event.commands.push_back(std::move(entry));
  this->Step(event);
}

void ConsensusReplication::Confirm(RoundDone done) {
  const consensus::RoundTag tag(this->next_tag++);
  this->rounds[tag] = std::move(done);
  this->Step(consensus::ConfirmLeadership{.tag = tag});
}

void ConsensusReplication::OnMessage(const wire::Opened& opened) {
  auto message = wire::leaf::try_handle_all(
      [&]() -> wire::leaf::result<std::optional<consensus::Message>> {
        BOOST_LEAF_AUTO(decoded,
                        wire::Decode<consensus::Message>(opened.packet));
        return std::optional<consensus::Message>(std::move(decoded));
      },
      [] { return std::optional<consensus::Message>(); });
  if (!message || message->from.instance != opened.from) return;
  this->Step(consensus::Received{.message = std::move(*message)});
}

std::vector<Voter> ConsensusReplication::voters() const {
  std::vector<Voter> voters;
  for (const MemberId& member :
       consensus::CurrentMembership(this->state).membership.voters) {
    voters.push_back(
        {.instance = member.instance, .storage = member.storage.value});
  }
  return voters;
}

std::unique_ptr<Replication> MakeConsensusReplication(
    net::Loop& loop, const settings::ControlSettings& settings,
    ReplicationHooks hooks) {
  return std::make_unique<ConsensusReplication>(loop, settings,
                                                std::move(hooks));
}

}  // namespace samphirebank::control
