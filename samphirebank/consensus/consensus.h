// File: consensus.h
//
// The decisions of a replicated log of the Raft family: election with
// pre-vote and check-quorum, pipelined replication, joint membership changes,
// snapshot transfer and leadership confirmation. No I/O: `Step` takes an event
// and the present time, changes a plain `State` and returns what to do.
//
// The caller carries out `Actions` in this order: enqueue `persist`, send
// `messages`, `restore` the state machine, apply `committed`, then pass on
// `proposal_responses` and `confirmation_responses`. Messages that promise
// something durable are held back inside `State` until `Persisted` confirms the
// ticket they depend on.
//
// Thread rules: a State belongs to one thread.
//
// Example:
//
//   State state = Start({.self = member, .seed = 7}, storage.recovered(), now);
//   Actions actions = Step(state, Propose{.tag = tag, .commands = {"x"}}, now);
//   if (actions.persist) storage.Enqueue(std::move(*actions.persist));
//   for (const Message& message : actions.messages) Send(message);
#ifndef SAMPHIREBANK_CONSENSUS_CONSENSUS_H_
#define SAMPHIREBANK_CONSENSUS_CONSENSUS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "samphirebank/base/base.h"

namespace samphirebank::wire {
enum class Kind : uint16_t;
}  // namespace samphirebank::wire

namespace samphirebank::consensus {

// StorageId is drawn at random when a data folder is created. 0 is none.
using StorageId = StrongNumber<struct StorageIdTag, uint64_t>;
// Ticket numbers the Persist actions of one run.
using Ticket = StrongNumber<struct TicketTag, uint64_t>;
// ProposalTag is chosen by the proposer and returned with the answer.
using ProposalTag = StrongNumber<struct ProposalTagTag, uint64_t>;
// ConfirmationTag is chosen by the asker and returned with the round's answer.
using ConfirmationTag = StrongNumber<struct ConfirmationTagTag, uint64_t>;

// kMaxCommandBytes is the largest command that Propose takes.
inline constexpr size_t kMaxCommandBytes = 256 << 10;
// kMaxEntriesBytes caps the entries of one append message, and
// kMaxChunkBytes the piece of a snapshot in one message.
inline constexpr size_t kMaxEntriesBytes = 256 << 10;
inline constexpr size_t kMaxChunkBytes = 64 << 10;

// MemberId names one data folder of one instance. An instance that lost its
// folder comes back as another member.
struct MemberId {
  InstanceId instance{};
  StorageId storage{};

  friend auto operator<=>(const MemberId&, const MemberId&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(instance, storage);
  }
};

// Membership says who takes part. While `outgoing` is not empty, every
// decision needs a majority of `voters` and a majority of `outgoing`.
struct Membership {
  std::set<MemberId> voters{};
  std::set<MemberId> outgoing{};
  std::set<MemberId> learners{};

  friend bool operator==(const Membership&, const Membership&) = default;

  // IsVoter says whether `member` has a vote in either set.
  bool IsVoter(const MemberId& member) const {
    return voters.contains(member) || outgoing.contains(member);
  }
  // Contains says whether `member` gets the log.
  bool Contains(const MemberId& member) const {
    return IsVoter(member) || learners.contains(member);
  }

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(voters, outgoing, learners);
  }
};

// EntryKind says what an entry holds.
enum class EntryKind : uint8_t {
  kNoOp,        // a leader took office
  kCommand,     // a proposed command
  kMembership,  // an encoded Membership
};

// Entry is one position of the log.
struct Entry {
  LogIndex index{};
  Term term{};
  EntryKind kind = EntryKind::kNoOp;
  std::string payload{};

  friend bool operator==(const Entry&, const Entry&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(index, term, kind, payload);
  }
};

// HardState is what a member must not forget besides its log.
struct HardState {
  Term term{};
  MemberId voted_for{};  // storage 0: nobody in this term

  friend bool operator==(const HardState&, const HardState&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(term, voted_for);
  }
};

// SnapshotMetadata describes a snapshot.
struct SnapshotMetadata {
  LogIndex index{};  // the last entry that it includes
  Term term{};       // that entry's term
  Membership membership{};
  uint64_t size = 0;      // bytes of data
  uint64_t checksum = 0;  // xxhash of the data

  friend bool operator==(const SnapshotMetadata&,
                         const SnapshotMetadata&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(index, term, membership, size, checksum);
  }
};

// Snapshot is the state machine at one index; `data` is never null.
struct Snapshot {
  SnapshotMetadata metadata{};
  std::shared_ptr<const std::string> data = std::make_shared<std::string>();
};

// Recovered is what a member finds on its disk.
struct Recovered {
  HardState hard_state{};
  std::optional<Snapshot> snapshot{};
  std::vector<Entry> entries{};  // the ones after the snapshot, without gaps
};

// Persist asks for a durable write. Tickets are written in order, and one
// sync may serve several. With `snapshot`, the snapshot, the hard state and
// the entries replace all that was stored; else an entry replaces stored
// entries of the same and higher index.
struct Persist {
  Ticket ticket{};
  std::optional<HardState> hard_state{};
  std::vector<Entry> entries{};
  std::optional<Snapshot> snapshot{};
};

// Messages between members.

// Announce is sent by a member that knows no membership with itself in it.
struct Announce {
  template <typename Archive>
  void serialize(Archive&) {}  // NOLINT: the name cereal calls
};

// VoteRequest asks for a vote in the message's term; a pre-vote asks whether
// the member would give one and binds nobody.
struct VoteRequest {
  bool pre_vote = false;
  LogIndex last_index{};
  Term last_term{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(pre_vote, last_index, last_term);
  }
};

// VoteReply answers a VoteRequest.
struct VoteReply {
  bool pre_vote = false;
  bool granted = false;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(pre_vote, granted);
  }
};

// AppendRequest replicates entries; without entries it is a heartbeat.
struct AppendRequest {
  LogIndex previous_index{};
  Term previous_term{};
  std::vector<Entry> entries{};
  LogIndex commit_index{};
  uint64_t round = 0;  // the newest leadership confirmation round

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(previous_index, previous_term, entries, commit_index, round);
  }
};

// AppendReply answers an AppendRequest.
struct AppendReply {
  bool accepted = false;
  LogIndex match{};  // accepted: stored up to here; else: where to try next
  uint64_t round = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(accepted, match, round);
  }
};

// SnapshotChunk carries the piece of a snapshot that starts at `offset`.
struct SnapshotChunk {
  SnapshotMetadata metadata{};
  uint64_t offset = 0;
  std::string data{};
  uint64_t round = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(metadata, offset, data, round);
  }
};

// SnapshotReply says how much of a snapshot a member holds.
struct SnapshotReply {
  LogIndex index{};
  uint64_t received = 0;
  uint64_t round = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(index, received, round);
  }
};

using Body = std::variant<Announce, VoteRequest, VoteReply, AppendRequest,
                          AppendReply, SnapshotChunk, SnapshotReply>;

// Message goes from one member to another. It may be lost, doubled, delayed
// and reordered.
struct Message {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(1);  // kConsensus

  MemberId from{};
  MemberId to{};  // storage 0: whatever folder the instance has
  Term term{};
  Body body{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(from, to, term, body);
  }
};

// Events.

// Tick lets time pass; send one every few tens of milliseconds.
struct Tick {};

// Received is a message from the network.
struct Received {
  Message message{};
};

// Persisted confirms that all tickets up to this one are durable.
struct Persisted {
  Ticket ticket{};
};

// StorageFull tells whether the disk takes further writes. While it is full,
// proposals are refused and the member does not stand for election.
struct StorageFull {
  bool full = false;
};

// Propose asks to append commands as consecutive entries. One ProposalResponse
// follows; when this member loses office meanwhile, not before the log decides
// what stands at these entries, which may take as long as it is cut off.
struct Propose {
  ProposalTag tag{};
  std::vector<std::string> commands{};
};

// ConfirmLeadership asks whether this member leads now. One
// ConfirmationResponse follows. Requests that come during a round share the
// next one.
struct ConfirmLeadership {
  ConfirmationTag tag{};
};

// ChangeKind says how a membership is to change.
enum class ChangeKind : uint8_t {
  kAddLearner,     // `member` gets the log without a vote, in place of an
                   // earlier learner of the same instance
  kRemoveLearner,  // `member` gets it no longer
  kPromote,        // the learner `member` gets a vote
  kRemoveVoter,    // `member` loses its vote and leaves
  kReplace,        // the learner `replacement` takes the vote of `member`
};

// MembershipChange is one change. `expected_index` is the index of the
// membership entry that the proposer saw; 0 takes any.
struct MembershipChange {
  ChangeKind kind = ChangeKind::kAddLearner;
  MemberId member{};
  MemberId replacement{};
  LogIndex expected_index{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(kind, member, replacement, expected_index);
  }
};

// ProposeMembership asks for a change. One ProposalResponse follows; kCommitted
// comes when the new voters alone decide and a new voter holds the change.
struct ProposeMembership {
  ProposalTag tag{};
  MembershipChange change{};
};

// SnapshotTaken hands in the state machine as of `index`, which is at most
// the newest entry that was delivered; an older one than the last is ignored.
struct SnapshotTaken {
  LogIndex index{};
  std::shared_ptr<const std::string> data{};
};

// Bootstrap founds a fleet with these voters. It is to be given to one member
// once; it does nothing on a member that ever held a log or a vote.
struct Bootstrap {
  std::set<MemberId> voters{};
};

using Event = std::variant<Tick, Received, Persisted, StorageFull, Propose,
                           ConfirmLeadership, ProposeMembership, SnapshotTaken,
                           Bootstrap>;

// Outcome says what became of a proposal.
enum class Outcome : uint8_t {
  kCommitted,         // durable on a quorum and delivered
  kNotLeader,         // not taken; ask `leader`
  kSuperseded,        // other entries took its place; it will never run
  kUnknown,           // all, some or none of it may have been committed
  kBusy,              // not taken; too many are in flight
  kStorageFull,       // not taken; the disk is full
  kTooLarge,          // not taken; a command exceeds kMaxCommandBytes
  kNotReady,          // change not taken; the leader's no-op is not committed
  kChangeInProgress,  // change not taken; another one is not finished
  kStale,             // change not taken; `expected_index` is out of date
  kNotCaughtUp,       // change not taken; the learner lags
  kInvalid,           // change not taken; it does not fit the membership
};

// ProposalResponse answers Propose and ProposeMembership.
struct ProposalResponse {
  ProposalTag tag{};
  Outcome outcome = Outcome::kUnknown;
  LogIndex first_index{};  // of the entries, if they were taken
  LogIndex last_index{};
  std::optional<MemberId> leader{};  // the leader as far as it is known
};

// ConfirmationResponse answers ConfirmLeadership. When confirmed, no other
// member had committed anything by `started_at` that is missing at
// `commit_index`, and all entries up to `commit_index` have been delivered.
struct ConfirmationResponse {
  ConfirmationTag tag{};
  bool confirmed = false;
  TimePoint started_at{};  // this member's clock
  LogIndex commit_index{};
  Term term{};
};

// LeadershipChange reports a new view of who leads.
struct LeadershipChange {
  Term term{};
  std::optional<MemberId> leader{};
  bool is_self = false;
};

// Actions is what the caller is to do, in the order of the fields.
struct Actions {
  std::optional<Persist> persist{};
  std::vector<Message> messages{};
  std::optional<Snapshot> restore{};
  std::vector<Entry> committed{};
  std::vector<ProposalResponse> proposal_responses{};
  std::vector<ConfirmationResponse> confirmation_responses{};
  std::optional<LeadershipChange> leadership{};
  bool take_snapshot = false;  // the log is long: send SnapshotTaken
};

// Options of a member.
struct Options {
  MemberId self{};
  uint64_t seed = 1;  // differs between members and runs
  // peers are the instances that an unknown member announces itself to.
  std::vector<InstanceId> peers{};
  Duration heartbeat_interval = std::chrono::milliseconds(300);
  // A member stands for election after one to two election timeouts without
  // a leader; a leader steps down after one without a quorum.
  Duration election_timeout = std::chrono::milliseconds(1000);
  // The same while it knows no leader, as after its start: longer than a live
  // leader's heartbeat takes to come. It doubles with each election lost, up to
  // the one above, for disks or links too slow for it.
  Duration leaderless_election_timeout = std::chrono::milliseconds(1000);
  Duration resend_timeout = std::chrono::milliseconds(400);
  Duration announce_interval = std::chrono::seconds(2);
  uint32_t max_inflight_appends = 16;      // per member
  uint32_t max_pending_proposals = 4096;   // Propose events not answered
  uint32_t snapshot_entries = 10'000;      // a snapshot is due after so many
  Bytes snapshot_bytes = Bytes(16 << 20);  // or after so many bytes of entries
  uint32_t trailing_entries = 2'000;       // kept behind a snapshot
  uint32_t catch_up_lag = 100;             // entries a promoted learner may lag
  uint32_t max_snapshot_transfers = 2;     // at the same time
  Bytes snapshot_rate = Bytes(512 << 10);  // per second, of all transfers
};

// Role of a member.
enum class Role : uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

// SnapshotTransfer is a snapshot on its way to one member.
struct SnapshotTransfer {
  Snapshot snapshot{};
  uint64_t received = 0;  // bytes that the member confirmed
  bool waiting = false;   // a chunk is not answered yet
  TimePoint sent_at{};
};

// Progress is the leader's view of one other member.
struct Progress {
  LogIndex match{};                 // stored there for certain
  LogIndex next{};                  // the next to send
  bool probing = true;              // one message at a time until one matches
  std::deque<LogIndex> inflight{};  // where the unanswered messages end
  TimePoint last_reply{};
  TimePoint last_advance{};  // when match grew or inflight began
  uint64_t round = 0;        // the newest round that it answered
  std::optional<SnapshotTransfer> transfer{};
};

// IndexedMembership is a membership with the index of its entry.
struct IndexedMembership {
  LogIndex index{};
  Membership membership{};
};

// HeldMessage waits for a ticket.
struct HeldMessage {
  Ticket ticket{};
  Message message{};
};

// UnsyncedAppend is a Persist whose entries end at `last_index`.
struct UnsyncedAppend {
  Ticket ticket{};
  LogIndex last_index{};
};

// PendingProposal waits for its entries to be committed.
struct PendingProposal {
  ProposalTag tag{};
  Term term{};
  LogIndex first_index{};
  LogIndex last_index{};
  bool joint = false;    // the change that leaves the joint phase follows
  MemberId new_voter{};  // must hold last_index too; storage 0: nobody
};

// PendingRound is one leadership confirmation round.
struct PendingRound {
  std::vector<ConfirmationTag> tags{};
  TimePoint started_at{};
  LogIndex commit_index{};
};

// State is all that a member knows. Read it freely; only Step changes it.
struct State {
  Options options{};
  uint64_t random = 0;

  // Durable, with what is on its way to the disk.
  HardState hard_state{};
  Snapshot snapshot{};          // metadata.index 0: none
  std::deque<Entry> entries{};  // follows `base_index`
  LogIndex base_index{};        // the entry before the first one kept
  Term base_term{};
  std::vector<IndexedMembership> memberships{};  // oldest first, at least one

  // The way to the disk.
  Ticket last_ticket{};
  Ticket synced_ticket{};
  Ticket hard_state_ticket{};  // the one with the present hard state
  LogIndex synced_index{};
  std::deque<UnsyncedAppend> unsynced{};
  std::deque<HeldMessage> held{};
  bool storage_full = false;

  // Volatile.
  Role role = Role::kFollower;
  std::optional<MemberId> leader{};
  LogIndex commit_index{};
  TimePoint election_deadline{};
  TimePoint pre_vote_at{};      // when this member last asked for one
  uint32_t lost_elections = 0;  // in a row, that this member stood for
  TimePoint leader_seen{};
  TimePoint next_heartbeat{};
  TimePoint next_announce{};
  std::set<MemberId> votes{};
  std::map<InstanceId, MemberId> announced{};
  std::optional<SnapshotMetadata> incoming{};
  std::string incoming_data{};
  bool snapshot_asked = false;
  Bytes bytes_since_snapshot{};

  // As a leader.
  std::map<MemberId, Progress> progress{};
  LogIndex no_op_index{};
  std::vector<PendingProposal> pending{};
  uint64_t round = 0;
  std::optional<PendingRound> current_round{};
  std::vector<ConfirmationTag> waiting_rounds{};
  TimePoint transfer_allowed_at{};
};

// Start returns the state of a member that starts at `now`.
State Start(Options options, Recovered recovered, TimePoint now);

// Step takes one event in.
Actions Step(State& state, const Event& event, TimePoint now);

// CurrentMembership is the newest in the log, committed or not, with its
// index; empty on a member that joined no fleet yet.
const IndexedMembership& CurrentMembership(const State& state);

// LastIndex is the index of the newest entry.
LogIndex LastIndex(const State& state);

// DecodeMembership reads the payload of a kMembership entry; nothing if it is
// malformed.
std::optional<Membership> DecodeMembership(const std::string& payload);

}  // namespace samphirebank::consensus

#endif  // SAMPHIREBANK_CONSENSUS_CONSENSUS_H_
