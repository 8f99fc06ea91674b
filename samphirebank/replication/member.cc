#include "samphirebank/replication/internal/member.h"

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

namespace samphirebank::replication {
namespace {

using consensus::MemberId;
using std::chrono::milliseconds;

constexpr Duration kFullRetry = milliseconds(500);
// A proposal is decided by then, unless a quorum or its disks are lost.
constexpr Duration kDecisionLimit = std::chrono::seconds(2);
constexpr Duration kUpkeepPeriod = milliseconds(200);

TimePoint Now() { return std::chrono::steady_clock::now(); }

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

void LogChange(const consensus::MembershipChange& change) {
  switch (change.kind) {
    case consensus::ChangeKind::kAddLearner:
      break;  // it counts only with a vote
    case consensus::ChangeKind::kPromote:
      events::Log({.number = events::Number::kMemberAdded,
                   .peer = change.member.instance});
      break;
    case consensus::ChangeKind::kReplace:
      events::Log({.number = events::Number::kMemberAdded,
                   .peer = change.replacement.instance,
                   .detail = "in place of " + change.member.instance.value});
      break;
    default:
      events::Log({.number = events::Number::kMemberRemoved,
                   .peer = change.member.instance});
  }
}

}  // namespace

Member::Member(Options given, Hooks shell)
    : options(std::move(given)), hooks(std::move(shell)) {
  this->OpenStorage();
  this->StartTicking();
}

void Member::StartTicking() {
  this->hooks.after(this->options.tick, [this] {
    this->Tick();
    this->StartTicking();
  });
}

void Member::Tick() {
  const TimePoint now = Now();
  this->TryBootstrap();
  this->Step(consensus::Tick{});
  this->GiveUpProposals(now);
  this->KeepUpMembership(now);
}

void Member::OpenStorage() {
  const InstanceId& self = this->options.self;
  this->files = ValueOrThrow(
      [&] { return storage::OpenFolder(this->options.data_folder); });
  this->disk = ValueOrThrow([&] {
    return storage::Storage::Open(
        *this->files, {.instance = self,
                       .new_storage_id = consensus::StorageId(RandomNumber())});
  });
  const storage::RecoveryReport& report = this->disk->report();
  events::Log({.number = events::Number::kLogRecovered,
               .duration = report.duration,
               .count = static_cast<int64_t>(report.replayed_entries)});
  if (report.torn_bytes.value > 0) {
    events::Log({.number = events::Number::kTornTailDropped,
                 .bytes = report.torn_bytes,
                 .detail = report.torn_file});
  }
  consensus::Recovered recovered = this->disk->TakeRecovered();
  if (recovered.snapshot) {
    this->hooks.restore(*recovered.snapshot->data);
    this->applied = recovered.snapshot->metadata.index;
  }
  consensus::Options member{
      .self = this->disk->self(),
      .seed = RandomNumber(),
      .election_timeout = this->options.election_timeout,
      .leaderless_election_timeout = this->options.vacancy_timeout,
      .announce_interval = this->options.announce_interval};
  for (const InstanceId& peer : this->options.peers) {
    if (peer != self) member.peers.push_back(peer);
  }
  this->state =
      consensus::Start(std::move(member), std::move(recovered), Now());
}

void Member::Step(const consensus::Event& event) {
  this->Perform(consensus::Step(this->state, event, Now()));
}

void Member::Perform(consensus::Actions actions) {
  if (actions.persist) {
    this->disk->Enqueue(std::move(*actions.persist));
    this->ScheduleFlush(Duration(0));
  }
  for (const consensus::Message& message : actions.messages) {
    this->hooks.send(message.to.instance, wire::Encode(message));
  }
  if (actions.restore) {
    this->hooks.restore(*actions.restore->data);
    this->applied = actions.restore->metadata.index;
    events::Log({.number = events::Number::kSnapshotInstalled});
  }
  this->Apply(actions.committed);
  if (actions.leadership) {
    if (actions.leadership->is_self) this->leads_since = Now();
    this->hooks.on_leadership();
  }
  for (const consensus::ProposalResponse& answer : actions.proposal_responses) {
    this->Answer(answer);
  }
  for (const consensus::ConfirmationResponse& round :
       actions.confirmation_responses) {
    auto found = this->rounds.extract(round.tag);
    if (!found.empty()) found.mapped()(round.confirmed, round.started_at);
  }
  if (actions.take_snapshot) {
    this->hooks.after(Duration(0), [this] { this->TakeSnapshot(); });
  }
}

void Member::Apply(const std::vector<consensus::Entry>& entries) {
  for (const consensus::Entry& entry : entries) {
    this->applied = entry.index;
    if (entry.kind != consensus::EntryKind::kCommand) continue;
    this->hooks.apply(entry.index, entry.payload);
  }
}

void Member::Answer(const consensus::ProposalResponse& answer) {
  auto change = this->changes.extract(answer.tag);
  if (!change.empty()) return change.mapped()(answer.outcome);
  auto proposal = this->proposals.extract(answer.tag);
  if (proposal.empty()) return;
  proposal.mapped().done(ResultOf(answer.outcome), answer.last_index);
}

void Member::GiveUpProposals(TimePoint now) {
  while (!this->proposals.empty() &&
         this->proposals.begin()->second.give_up <= now) {
    auto oldest = this->proposals.extract(this->proposals.begin());
    oldest.mapped().done(ProposalResult::kUnknown, LogIndex());
  }
}

void Member::ScheduleFlush(Duration delay) {
  if (this->flush_scheduled) return;
  this->flush_scheduled = true;
  this->hooks.after(delay, [this] { this->Flush(); });
}

void Member::Flush() {
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
  if (flushed->disk_full != this->disk_full) {
    this->disk_full = flushed->disk_full;
    events::Log({.number = flushed->disk_full ? events::Number::kDiskFull
                                              : events::Number::kDiskWritable});
    this->Step(consensus::StorageFull{.full = flushed->disk_full});
  }
  if (flushed->disk_full) this->ScheduleFlush(kFullRetry);
  this->Step(consensus::Persisted{.ticket = flushed->synced});
}

void Member::TakeSnapshot() {
  const TimePoint begin = Now();
  auto data = std::make_shared<const std::string>(this->hooks.snapshot());
  events::Log({.number = events::Number::kSnapshotWritten,
               .bytes = Bytes(static_cast<int64_t>(data->size())),
               .duration = Now() - begin});
  this->Step(consensus::SnapshotTaken{.index = this->applied,
                                      .data = std::move(data)});
}

void Member::TryBootstrap() {
  if (this->options.founders.empty()) return;
  const auto& current = consensus::CurrentMembership(this->state);
  if (!current.membership.voters.empty()) return;
  std::set<MemberId> voters;
  for (const InstanceId& founder : this->options.founders) {
    if (founder == this->options.self) {
      voters.insert(this->state.options.self);
      continue;
    }
    const auto found = this->state.announced.find(founder);
    if (found == this->state.announced.end()) return;
    voters.insert(found->second);
  }
  this->Step(consensus::Bootstrap{.voters = std::move(voters)});
}

void Member::KeepUpMembership(TimePoint now) {
  if (this->options.voters_wanted == 0 || now < this->next_upkeep) return;
  this->next_upkeep = now + kUpkeepPeriod;
  if (!this->leads() || this->changing) return;
  const auto change = PlanUpkeep(
      {.membership = consensus::CurrentMembership(this->state).membership,
       .self = this->state.options.self,
       .heard = this->heard,
       .leads_since = this->leads_since},
      {.voters_wanted = this->options.voters_wanted}, now);
  if (!change) return;
  this->changing = true;
  this->ChangeMembership(*change, [this, change](consensus::Outcome outcome) {
    this->changing = false;
    if (outcome != consensus::Outcome::kCommitted) return;
    LogChange(*change);
  });
}

void Member::Propose(std::vector<std::string> entries, ProposalDone done) {
  const consensus::ProposalTag tag(this->next_tag++);
  this->proposals[tag] = {.done = std::move(done),
                          .give_up = Now() + kDecisionLimit};
  this->Step(consensus::Propose{.tag = tag, .commands = std::move(entries)});
}

void Member::Confirm(RoundDone done) {
  const consensus::ConfirmationTag tag(this->next_tag++);
  this->rounds[tag] = std::move(done);
  this->Step(consensus::ConfirmLeadership{.tag = tag});
}

void Member::OnMessage(const wire::Opened& opened) {
  auto message = wire::leaf::try_handle_all(
      [&]() -> wire::leaf::result<std::optional<consensus::Message>> {
        BOOST_LEAF_AUTO(decoded,
                        wire::Decode<consensus::Message>(opened.packet));
        return std::optional<consensus::Message>(std::move(decoded));
      },
      [] { return std::optional<consensus::Message>(); });
  if (!message || message->from.instance != opened.from) return;
  this->heard[message->from] = Now();
  this->Step(consensus::Received{.message = std::move(*message)});
}

std::vector<Voter> Member::voters() const {
  std::vector<Voter> voters;
  for (const MemberId& member :
       consensus::CurrentMembership(this->state).membership.voters) {
    voters.push_back(
        {.instance = member.instance, .storage = member.storage.value});
  }
  return voters;
}

std::vector<InstanceId> Member::members() const {
  const consensus::Membership& membership =
      consensus::CurrentMembership(this->state).membership;
  std::vector<InstanceId> members;
  for (const auto* set :
       {&membership.voters, &membership.outgoing, &membership.learners}) {
    for (const MemberId& member : *set) members.push_back(member.instance);
  }
  return members;
}

void Member::AddPeers(const std::vector<InstanceId>& more) {
  std::vector<InstanceId>& peers = this->state.options.peers;
  for (const InstanceId& peer : more) {
    const bool known = peer == this->options.self ||
                       std::ranges::find(peers, peer) != peers.end();
    if (!known) peers.push_back(peer);
  }
}

std::unique_ptr<Replication> MakeReplication(Options options, Hooks hooks) {
  return std::make_unique<Member>(std::move(options), std::move(hooks));
}

}  // namespace samphirebank::replication
