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

constexpr Duration kDiskFullRetryInterval = milliseconds(100);
// A proposal is decided within this time unless a quorum of the voters or their
// disks is lost.
constexpr Duration kProposalTimeout = std::chrono::seconds(2);
constexpr Duration kMaintenanceInterval = milliseconds(200);

TimePoint Now() { return std::chrono::steady_clock::now(); }

uint64_t RandomNonZero() {
  uint64_t number = 0;
  while (number == 0) randombytes_buf(&number, sizeof(number));
  return number;
}

// ErrorOf returns the error of `action`, or nullopt if it succeeds.
template <typename Action>
std::optional<storage::Error> ErrorOf(Action action) {
  return wire::leaf::try_handle_all(
      [&]() -> wire::leaf::result<std::optional<storage::Error>> {
        BOOST_LEAF_CHECK(action());
        return std::optional<storage::Error>();
      },
      [](const storage::Error& error) { return std::optional(error); },
      [] {
        return std::optional(
            storage::Error{.detail = "the data folder cannot be used"});
      });
}

ProposalResult ToProposalResult(consensus::Outcome outcome) {
  switch (outcome) {
    case consensus::Outcome::kCommitted:
      return ProposalResult::kCommitted;
    case consensus::Outcome::kNotLeader:
      return ProposalResult::kNotLeader;
    case consensus::Outcome::kStorageFull:
      return ProposalResult::kDiskFull;
    case consensus::Outcome::kUnknown:
      return ProposalResult::kUnknown;
    default:
      return ProposalResult::kRefused;
  }
}

void LogMembershipChange(const consensus::MembershipChange& change) {
  switch (change.kind) {
    case consensus::ChangeKind::kAddLearner:
      break;  // not logged: a learner has no vote
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

Member::Member(Options member_options, Hooks member_hooks)
    : options(std::move(member_options)), hooks(std::move(member_hooks)) {
  if (const auto error = this->OpenStorage()) {
    throw std::runtime_error(error->ToText());
  }
  this->ScheduleTick();
}

void Member::ScheduleTick() {
  this->hooks.run_after(this->options.tick_interval, [this] {
    this->Tick();
    this->ScheduleTick();
  });
}

void Member::Tick() {
  if (!this->disk) return;
  const TimePoint now = Now();
  this->TryBootstrap();
  this->Step(consensus::Tick{});
  this->ExpireProposals(now);
  if (now >= this->next_maintenance) {
    this->next_maintenance = now + kMaintenanceInterval;
    this->MaintainMembership(now);
  }
  this->ContinueDeparture(now);
}

std::optional<storage::Error> Member::OpenStorage() {
  auto error = ErrorOf([this] { return this->TryOpenStorage(); });
  if (error && error->kind != storage::ErrorKind::kFull) return error;
  this->SetDiskFull(error.has_value());
  if (!error) {
    this->Recover();
    return std::nullopt;
  }
  this->hooks.run_after(kDiskFullRetryInterval, [this] {
    if (const auto later = this->OpenStorage()) {
      this->hooks.on_failure(later->ToText());
    }
  });
  return std::nullopt;
}

wire::leaf::result<void> Member::TryOpenStorage() {
  if (!this->files) {
    BOOST_LEAF_ASSIGN(this->files,
                      storage::OpenFolder(this->options.data_folder));
  }
  BOOST_LEAF_ASSIGN(
      this->disk,
      storage::Storage::Open(
          *this->files,
          {.instance = this->options.self,
           .new_storage_id = consensus::StorageId(RandomNonZero())}));
  return {};
}

bool Member::SetDiskFull(bool full) {
  if (this->disk_full == full) return false;
  this->disk_full = full;
  events::Log({.number = full ? events::Number::kDiskFull
                              : events::Number::kDiskWritable});
  return true;
}

void Member::Recover() {
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
    this->applied_index = recovered.snapshot->metadata.index;
  }
  consensus::Options consensus_options{
      .self = this->disk->self(),
      .seed = RandomNonZero(),
      .election_timeout = this->options.election_timeout,
      .leaderless_election_timeout = this->options.leaderless_election_timeout,
      .announce_interval = this->options.announce_interval};
  for (const InstanceId& peer : this->options.peers) {
    if (peer != this->options.self) consensus_options.peers.push_back(peer);
  }
  this->state = consensus::Start(std::move(consensus_options),
                                 std::move(recovered), Now());
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
    this->applied_index = actions.restore->metadata.index;
    events::Log({.number = events::Number::kSnapshotInstalled});
  }
  this->Apply(actions.committed);
  if (actions.leadership) {
    this->NoteLeadership(*actions.leadership);
    this->hooks.on_leadership();
  }
  for (const consensus::ProposalResponse& response :
       actions.proposal_responses) {
    this->HandleProposalResponse(response);
  }
  for (const consensus::Confirmation& result : actions.confirmations) {
    auto found = this->pending_confirmations.extract(result.tag);
    if (!found.empty()) found.mapped()(result.confirmed, result.started_at);
  }
  if (actions.take_snapshot) {
    this->hooks.run_after(Duration(0), [this] { this->TakeSnapshot(); });
  }
}

void Member::NoteLeadership(const consensus::LeadershipChange& change) {
  if (change.is_self) {
    this->leader_since = Now();
  } else if (change.leader) {
    this->previous_leader = change.leader;
  }
}

void Member::Apply(const std::vector<consensus::Entry>& entries) {
  for (const consensus::Entry& entry : entries) {
    this->applied_index = entry.index;
    if (entry.kind != consensus::EntryKind::kCommand) continue;
    this->hooks.apply(entry.index, entry.payload);
  }
}

void Member::HandleProposalResponse(
    const consensus::ProposalResponse& response) {
  auto change = this->pending_changes.extract(response.tag);
  if (!change.empty()) return change.mapped()(response.outcome);
  auto proposal = this->pending_proposals.extract(response.tag);
  if (proposal.empty()) return;
  proposal.mapped().done(ToProposalResult(response.outcome),
                         response.last_index);
}

void Member::ExpireProposals(TimePoint now) {
  // Tags and deadlines increase together, so the first proposal expires first.
  while (!this->pending_proposals.empty() &&
         this->pending_proposals.begin()->second.deadline <= now) {
    auto oldest =
        this->pending_proposals.extract(this->pending_proposals.begin());
    oldest.mapped().done(ProposalResult::kUnknown, LogIndex());
  }
}

void Member::ScheduleFlush(Duration delay) {
  if (this->flush_scheduled) return;
  this->flush_scheduled = true;
  this->hooks.run_after(delay, [this] { this->Flush(); });
}

void Member::Flush() {
  this->flush_scheduled = false;
  storage::FlushResult flushed;
  const auto error = ErrorOf([&]() -> wire::leaf::result<void> {
    BOOST_LEAF_ASSIGN(flushed, this->disk->Flush());
    return {};
  });
  if (error) return this->hooks.on_failure(error->ToText());
  if (this->SetDiskFull(flushed.disk_full)) {
    this->Step(consensus::StorageFull{.full = flushed.disk_full});
  }
  if (flushed.disk_full) this->ScheduleFlush(kDiskFullRetryInterval);
  this->Step(consensus::Persisted{.ticket = flushed.synced});
}

void Member::TakeSnapshot() {
  const TimePoint begin = Now();
  auto data = std::make_shared<const std::string>(this->hooks.snapshot());
  events::Log({.number = events::Number::kSnapshotWritten,
               .bytes = Bytes(static_cast<int64_t>(data->size())),
               .duration = Now() - begin});
  this->Step(consensus::SnapshotTaken{.index = this->applied_index,
                                      .data = std::move(data)});
}

void Member::TryBootstrap() {
  if (this->options.initial_voters.empty()) return;
  const auto& current = consensus::CurrentMembership(this->state);
  if (!current.membership.voters.empty()) return;
  std::set<MemberId> voters;
  for (const InstanceId& voter : this->options.initial_voters) {
    if (voter == this->options.self) {
      voters.insert(this->state.options.self);
      continue;
    }
    const auto found = this->state.announced.find(voter);
    if (found == this->state.announced.end()) return;
    voters.insert(found->second);
  }
  this->Step(consensus::Bootstrap{.voters = std::move(voters)});
}

GroupView Member::View() const {
  const auto& current = consensus::CurrentMembership(this->state);
  std::map<MemberId, LogIndex> match_indexes;
  for (const auto& [member, progress] : this->state.progress) {
    match_indexes[member] = progress.match_index;
  }
  return {.membership = current.membership,
          .self = this->state.options.self,
          .last_seen = this->last_seen,
          .leader_since = this->leader_since,
          .previous_leader = this->previous_leader,
          .match_indexes = std::move(match_indexes),
          .is_settled = !this->change_in_progress &&
                        current.index <= this->state.commit_index,
          .departing = this->departing};
}

MaintenanceOptions Member::Maintenance() const {
  return {.desired_voters = this->options.desired_voters};
}

void Member::MaintainMembership(TimePoint now) {
  if (this->options.desired_voters == 0) return;
  if (!this->leads() || this->change_in_progress) return;
  const auto change =
      PlanMembershipChange(this->View(), this->Maintenance(), now);
  if (!change) return;
  this->change_in_progress = true;
  this->ChangeMembership(*change, [this, change](consensus::Outcome outcome) {
    this->change_in_progress = false;
    if (outcome != consensus::Outcome::kCommitted) return;
    LogMembershipChange(*change);
  });
}

void Member::Propose(std::vector<std::string> entries, ProposalDone done) {
  if (!this->disk) return done(ProposalResult::kDiskFull, LogIndex());
  const consensus::ProposalTag tag(this->next_tag++);
  this->pending_proposals[tag] = {.done = std::move(done),
                                  .deadline = Now() + kProposalTimeout};
  this->Step(consensus::Propose{.tag = tag, .commands = std::move(entries)});
}

void Member::Confirm(ConfirmDone done) {
  if (!this->disk) return done(false, TimePoint());
  const consensus::ConfirmationTag tag(this->next_tag++);
  this->pending_confirmations[tag] = std::move(done);
  this->Step(consensus::ConfirmLeadership{.tag = tag});
}

void Member::OnMessage(const wire::Opened& opened) {
  if (!this->disk) return;
  switch (opened.packet.kind) {
    case wire::Kind::kConsensus:
      return this->OnConsensusMessage(opened);
    case wire::Kind::kDepartRequest:
      return this->OnDepartRequest(opened);
    case wire::Kind::kDepartReply:
      return this->OnDepartReply(opened);
    default:
      return;
  }
}

void Member::OnConsensusMessage(const wire::Opened& opened) {
  auto message = wire::leaf::try_handle_all(
      [&]() -> wire::leaf::result<std::optional<consensus::Message>> {
        BOOST_LEAF_AUTO(decoded,
                        wire::Decode<consensus::Message>(opened.packet));
        return std::optional<consensus::Message>(std::move(decoded));
      },
      [] { return std::optional<consensus::Message>(); });
  if (!message || message->from.instance != opened.from) return;
  this->last_seen[message->from] = Now();
  this->Step(consensus::Received{.message = std::move(*message)});
}

std::vector<Voter> Member::voters() const {
  std::vector<Voter> voters;
  if (!this->disk) return voters;
  for (const MemberId& member :
       consensus::CurrentMembership(this->state).membership.voters) {
    voters.push_back(
        {.instance = member.instance, .storage = member.storage.value});
  }
  return voters;
}

std::vector<InstanceId> Member::members() const {
  if (!this->disk) return {};
  const consensus::Membership& membership =
      consensus::CurrentMembership(this->state).membership;
  std::vector<InstanceId> members;
  for (const auto* set :
       {&membership.voters, &membership.outgoing, &membership.learners}) {
    for (const MemberId& member : *set) members.push_back(member.instance);
  }
  return members;
}

void Member::AddPeers(const std::vector<InstanceId>& new_peers) {
  std::vector<InstanceId>& peers = this->state.options.peers;
  for (const InstanceId& peer : new_peers) {
    const bool is_known = peer == this->options.self ||
                          std::ranges::find(peers, peer) != peers.end();
    if (!is_known) peers.push_back(peer);
  }
}

std::unique_ptr<Replication> MakeReplication(Options options, Hooks hooks) {
  return std::make_unique<Member>(std::move(options), std::move(hooks));
}

}  // namespace samphirebank::replication
