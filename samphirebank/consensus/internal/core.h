// File: core.h
//
// Declarations shared by the sources of consensus: the context of one Step and
// the functions that the sources call in each other.
//
// Example:
//
//   Context context{.state = state, .now = now};
//   HandlePropose(context, event);
//   FinishStep(context);
//   return std::move(context.actions);
#ifndef SAMPHIREBANK_CONSENSUS_INTERNAL_CORE_H_
#define SAMPHIREBANK_CONSENSUS_INTERNAL_CORE_H_

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "samphirebank/consensus/consensus.h"

namespace samphirebank::consensus::internal {

// Context holds the inputs and the results of one Step.
struct Context {
  State& state;
  TimePoint now{};
  Actions actions{};
  // Messages to be sent once all changes of this step are durable.
  std::vector<Message> deferred_messages{};
  bool hard_state_changed = false;
  bool snapshot_changed = false;
  // Entries from this index on were added or replaced in this step.
  std::optional<LogIndex> first_changed_index{};
};

// HasQuorum reports whether the members that satisfy `predicate` form a
// quorum.
template <typename Predicate>
bool HasQuorum(const Membership& membership, Predicate predicate) {
  auto majority = [&](const std::set<MemberId>& set) {
    auto count = std::count_if(set.begin(), set.end(), predicate);
    return 2 * static_cast<size_t>(count) > set.size();
  };
  return majority(membership.voters) &&
         (membership.outgoing.empty() || majority(membership.outgoing));
}

// Messages (messages.cc).

// Send adds a message to the actions of this step.
void Send(Context& context, const MemberId& to, Body body);
// SendWhenDurable holds a message back until this step's changes are durable.
void SendWhenDurable(Context& context, const MemberId& to, Body body);
// FinishStep turns the changes of a step into its Persist action, and sends or
// holds back the messages that depend on it.
void FinishStep(Context& context);
// HandlePersisted sends the messages whose writes are durable now.
void HandlePersisted(Context& context, const Persisted& event);

// The log (log.cc).

// TermAt returns the term of the entry at `index`, which may be in
// `state.entries` or at `state.base_index`; otherwise nullopt.
std::optional<Term> TermAt(const State& state, LogIndex index);
// EntryAt returns the entry at `index`, which must be in `state.entries`.
const Entry& EntryAt(const State& state, LogIndex index);
// LastTerm returns the term of the last entry.
Term LastTerm(const State& state);
// AppendEntry appends an entry to the log.
void AppendEntry(Context& context, Entry entry);
// TruncateFrom removes the entries from `index` on; none of them may be
// committed.
void TruncateFrom(Context& context, LogIndex index);
// DropEntriesThrough removes the entries up to `index` from memory.
void DropEntriesThrough(State& state, LogIndex index);
// EncodeMembership returns the payload of a kMembership entry.
std::string EncodeMembership(const Membership& membership);
// AdvanceCommit raises the commit index to `index` and returns the entries up
// to it in the actions.
void AdvanceCommit(Context& context, LogIndex index);

// Elections (election.cc).

// NextRandom returns a pseudo-random number and advances `random_state`.
uint64_t NextRandom(State& state);
// ResetElectionDeadline sets the election deadline to a random time between one
// and two timeouts from now.
void ResetElectionDeadline(Context& context);
// BecomeFollower makes this member a follower in `term`, which is the current
// or a later one.
void BecomeFollower(Context& context, Term term,
                    std::optional<MemberId> leader);
// ElectionTick starts a pre-vote if the election deadline has passed.
void ElectionTick(Context& context);
// HandleResignation forgets the leader that resigned, and starts an election if
// this member is its successor.
void HandleResignation(Context& context, const Message& message,
                       const Resignation& resignation);
// HasLiveLeader reports whether this member leads, or received a message from
// the leader within the election timeout.
bool HasLiveLeader(const Context& context);
void HandleVoteRequest(Context& context, const Message& message,
                       const VoteRequest& request);
void HandleVoteReply(Context& context, const Message& message,
                     const VoteReply& reply);

// The leader (leader.cc, replication.cc).

// BecomeLeader appends the no-op of the term and starts to replicate.
void BecomeLeader(Context& context);
// LeaderTick steps down if no quorum has replied within the election timeout,
// or if the disk is full and other members have room. Otherwise it resends
// stalled messages, and sends heartbeats if they are due.
void LeaderTick(Context& context);
// UpdateTrackedMembers adds and removes Progress records so that there is one
// for each other member of the current membership.
void UpdateTrackedMembers(Context& context);
// Replicate sends each member the entries or the snapshot chunk due for it.
void Replicate(Context& context);
void SendHeartbeats(Context& context);
void HandleAppendReply(Context& context, const Message& message,
                       const AppendReply& reply);
// TryCommit commits the entries that are durable on a quorum.
void TryCommit(Context& context);
// RecordReply records a reply from the member `from` and returns its Progress;
// nullptr if this member does not lead or does not replicate to `from`.
Progress* RecordReply(Context& context, const MemberId& from, uint64_t round);

// The follower (follower.cc).

void HandleAppendRequest(Context& context, const Message& message,
                         const AppendRequest& request);
void HandleStorageFull(Context& context, const StorageFull& event);

// Proposals (proposals.cc).

void HandlePropose(Context& context, const Propose& event);
// RespondToProposal adds a response without log indexes.
void RespondToProposal(Context& context, ProposalTag tag, Outcome outcome);
// ResolvePendingProposals responds to the proposals whose outcome is known.
void ResolvePendingProposals(Context& context);

// Membership changes (membership.cc).

void HandleProposeMembership(Context& context, const ProposeMembership& event);
void HandleBootstrap(Context& context, const Bootstrap& event);
// AdvanceMembershipChange ends the joint phase once the joint membership is
// committed, and steps down once a committed membership excludes this member
// from the voters.
void AdvanceMembershipChange(Context& context);

// Leadership confirmation (rounds.cc).

void HandleConfirmLeadership(Context& context, const ConfirmLeadership& event);
// AdvanceConfirmations responds to the current round if a quorum acknowledged
// it, and starts the next round if requests are waiting.
void AdvanceConfirmations(Context& context);
// FailConfirmations responds to all requests that leadership is not confirmed.
void FailConfirmations(Context& context);

// Snapshots (snapshot.cc, transfer.cc).

void HandleSnapshotTaken(Context& context, const SnapshotTaken& event);
void HandleSnapshotChunk(Context& context, const Message& message,
                         const SnapshotChunk& chunk);
void HandleSnapshotReply(Context& context, const Message& message,
                         const SnapshotReply& reply);
// TransferSnapshot sends the next snapshot chunk to a member if it is due, and
// starts the transfer if necessary.
void TransferSnapshot(Context& context, const MemberId& member,
                      Progress& progress);
// Checksum returns the XXH3 hash of `data`.
uint64_t Checksum(const std::string& data);

}  // namespace samphirebank::consensus::internal

#endif  // SAMPHIREBANK_CONSENSUS_INTERNAL_CORE_H_
