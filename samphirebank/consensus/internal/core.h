// File: core.h
//
// What the sources of consensus share: the context of one step and the
// functions that one decision calls in another.
#ifndef SAMPHIREBANK_CONSENSUS_INTERNAL_CORE_H_
#define SAMPHIREBANK_CONSENSUS_INTERNAL_CORE_H_

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "samphirebank/consensus/consensus.h"

namespace samphirebank::consensus::internal {

// Context is one step under way.
struct Context {
  State& state;
  TimePoint now{};
  Actions actions{};
  // Messages that may leave once all that this step changes is durable.
  std::vector<Message> promises{};
  bool hard_state_changed = false;
  bool snapshot_changed = false;
  std::optional<LogIndex> first_changed{};  // entries from here on are new
};

// HasQuorum says whether the members that fulfil `predicate` can decide.
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

// Send lets a message leave at once.
void Send(Context& context, const MemberId& to, Body body);
// SendDurably lets a message leave when this step's changes are durable.
void SendDurably(Context& context, const MemberId& to, Body body);
// FinishStep turns the changes of a step into its Persist action.
void FinishStep(Context& context);
void HandlePersisted(Context& context, const Persisted& event);

// The log (log.cc).

std::optional<Term> TermAt(const State& state, LogIndex index);
const Entry& EntryAt(const State& state, LogIndex index);
Term LastTerm(const State& state);
// AppendEntry adds an entry behind the last one.
void AppendEntry(Context& context, Entry entry);
// TruncateFrom drops the entries from `index` on; none of them is committed.
void TruncateFrom(Context& context, LogIndex index);
// DropThrough forgets the entries up to `index` in memory.
void DropThrough(State& state, LogIndex index);
std::string EncodeMembership(const Membership& membership);
// AdvanceCommit delivers the entries up to `index`.
void AdvanceCommit(Context& context, LogIndex index);

// Elections (election.cc).

uint64_t NextRandom(State& state);
// ResetElectionDeadline draws it between one and two timeouts from now.
void ResetElectionDeadline(Context& context);
// BecomeFollower enters `term`, or gives up what role it has in this term.
void BecomeFollower(Context& context, Term term,
                    std::optional<MemberId> leader);
void ElectionTick(Context& context);
bool HasLiveLeader(const Context& context);
void HandleVoteRequest(Context& context, const Message& message,
                       const VoteRequest& request);
void HandleVoteReply(Context& context, const Message& message,
                     const VoteReply& reply);

// The leader (leader.cc, replication.cc).

void BecomeLeader(Context& context);
void LeaderTick(Context& context);
// FollowMembership keeps one Progress for each other member.
void FollowMembership(Context& context);
void Replicate(Context& context);
void SendHeartbeats(Context& context);
void HandleAppendReply(Context& context, const Message& message,
                       const AppendReply& reply);
// TryCommit commits what a quorum holds.
void TryCommit(Context& context);
// NoteReply records that a member answered.
Progress* NoteReply(Context& context, const MemberId& from, uint64_t round);

// The follower (follower.cc).

void HandleAppendRequest(Context& context, const Message& message,
                         const AppendRequest& request);

// Proposals (proposals.cc).

void HandlePropose(Context& context, const Propose& event);
void Answer(Context& context, ProposalTag tag, Outcome outcome);
// ResolvePending answers the proposals whose fate is known by now.
void ResolvePending(Context& context);

// Membership changes (membership.cc).

void HandleProposeMembership(Context& context, const ProposeMembership& event);
void HandleBootstrap(Context& context, const Bootstrap& event);
// ContinueMembership leaves a joint phase that is committed, and leaves
// office when this member is no voter any more.
void ContinueMembership(Context& context);

// Leadership confirmation (rounds.cc).

void HandleConfirmLeadership(Context& context, const ConfirmLeadership& event);
void AdvanceRounds(Context& context);
void FailRounds(Context& context);

// Snapshots (snapshot.cc, transfer.cc).

void HandleSnapshotTaken(Context& context, const SnapshotTaken& event);
void HandleSnapshotChunk(Context& context, const Message& message,
                         const SnapshotChunk& chunk);
void HandleSnapshotReply(Context& context, const Message& message,
                         const SnapshotReply& reply);
// TransferSnapshot sends the next chunk to a member if it is due.
void TransferSnapshot(Context& context, const MemberId& member,
                      Progress& progress);
uint64_t Checksum(const std::string& data);

}  // namespace samphirebank::consensus::internal

#endif  // SAMPHIREBANK_CONSENSUS_INTERNAL_CORE_H_
