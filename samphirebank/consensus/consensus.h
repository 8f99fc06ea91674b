// File: consensus.h
//
// A Raft implementation as a pure state machine: elections with pre-vote and
// check-quorum, pipelined log replication, joint membership changes, snapshot
// transfer and leadership confirmation. It performs no I/O: `Step` takes an
// event and the current time, updates a plain `State` and returns the
// `Actions` that the caller must carry out.
//
// The caller carries out `Actions` in this order: enqueue `persist`, send
// `messages`, `restore` the state machine, apply `committed`, then pass on
// `proposal_responses` and `confirmations`. Messages that depend on a durable
// write, such as a granted vote, are held back inside `State` until `Persisted`
// confirms that write's ticket.
//
// Thread safety: a State must be used by one thread only.
//
// Example:
//
//   State state = Start({.self = member, .seed = 7}, recovered, now);
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

// StorageId identifies a data folder. It is chosen at random when the folder is
// created; 0 means none.
using StorageId = StrongNumber<struct StorageIdTag, uint64_t>;
// Ticket numbers the Persist actions of one run in ascending order.
using Ticket = StrongNumber<struct TicketTag, uint64_t>;
// ProposalTag is chosen by the proposer and returned in the ProposalResponse.
using ProposalTag = StrongNumber<struct ProposalTagTag, uint64_t>;
// ConfirmationTag is chosen by the requester and returned in the Confirmation.
using ConfirmationTag = StrongNumber<struct ConfirmationTagTag, uint64_t>;

// kMaxCommandBytes is the maximum size of a proposed command.
inline constexpr size_t kMaxCommandBytes = 256 << 10;
// kMaxEntriesBytes limits the total size of the entries in one AppendRequest;
// a single larger entry is sent alone. kMaxChunkBytes limits the snapshot data
// in one SnapshotChunk.
inline constexpr size_t kMaxEntriesBytes = 256 << 10;
inline constexpr size_t kMaxChunkBytes = 64 << 10;

// MemberId identifies one data folder of one instance. An instance that loses
// its data folder returns as a different member.
struct MemberId {
  InstanceId instance{};
  StorageId storage{};

  friend auto operator<=>(const MemberId&, const MemberId&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(instance, storage);
  }
};

// Membership lists the members of the group. While `outgoing` is not empty, the
// membership is joint: elections, commits and leadership confirmations need a
// majority of `voters` and a majority of `outgoing`.
struct Membership {
  std::set<MemberId> voters{};
  std::set<MemberId> outgoing{};
  std::set<MemberId> learners{};

  friend bool operator==(const Membership&, const Membership&) = default;

  // IsVoter reports whether `member` is in `voters` or `outgoing`.
  bool IsVoter(const MemberId& member) const {
    return voters.contains(member) || outgoing.contains(member);
  }
  // Contains reports whether `member` is a voter or a learner.
  bool Contains(const MemberId& member) const {
    return IsVoter(member) || learners.contains(member);
  }

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(voters, outgoing, learners);
  }
};

// EntryKind is the type of a log entry's payload.
enum class EntryKind : uint8_t {
  kNoOp,        // empty; the first entry of a new leader
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

// HardState is the state that, besides the log, must survive a restart.
struct HardState {
  Term term{};
  MemberId voted_for{};  // storage 0: no vote given in this term

  friend bool operator==(const HardState&, const HardState&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(term, voted_for);
  }
};

// SnapshotMetadata describes a snapshot without its data.
struct SnapshotMetadata {
  LogIndex index{};  // the last entry included in the snapshot
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

// Snapshot is the serialized state machine as of `metadata.index`; `data` is
// never null.
struct Snapshot {
  SnapshotMetadata metadata{};
  std::shared_ptr<const std::string> data = std::make_shared<std::string>();
};

// Recovered is the durable state that a member reads at its start.
struct Recovered {
  HardState hard_state{};
  std::optional<Snapshot> snapshot{};
  std::vector<Entry> entries{};  // those after the snapshot, without gaps
};

// Persist requests a durable write. Writes must be made in ticket order; one
// fsync may cover several. With a `snapshot`, the snapshot, the hard state and
// the entries replace all stored data. Without one, each entry replaces the
// stored entries of the same and of higher indexes.
struct Persist {
  Ticket ticket{};
  std::optional<HardState> hard_state{};
  std::vector<Entry> entries{};
  std::optional<Snapshot> snapshot{};
};

// Messages between members.

// Announce is sent to Options::peers by a member that is not part of the
// membership it knows. It makes the identity of its data folder known, so that
// it can be added.
struct Announce {
  template <typename Archive>
  void serialize(Archive&) {}  // NOLINT: the name cereal calls
};

// VoteRequest requests a vote in the message's term. A pre-vote only queries
// whether the vote would be granted; the reply is not binding.
struct VoteRequest {
  bool pre_vote = false;
  LogIndex last_index{};
  Term last_term{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(pre_vote, last_index, last_term);
  }
};

// VoteReply is the response to a VoteRequest.
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
  uint64_t round = 0;  // the latest leadership confirmation round

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(previous_index, previous_term, entries, commit_index, round);
  }
};

// AppendReply is the response to an AppendRequest, to the SnapshotChunk that
// completes a snapshot, and to one whose snapshot this member no longer needs.
struct AppendReply {
  bool accepted = false;
  // If accepted, the log matches the leader's up to this index and is durable;
  // otherwise a hint: the index at which the leader should probe next. A
  // member whose disk has room again sends one without a request.
  LogIndex match_index{};
  uint64_t round = 0;  // copied from the request

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(accepted, match_index, round);
  }
};

// SnapshotChunk carries the part of a snapshot's data that starts at `offset`,
// in bytes.
struct SnapshotChunk {
  SnapshotMetadata metadata{};
  uint64_t offset = 0;
  std::string data{};
  uint64_t round = 0;  // the latest leadership confirmation round

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(metadata, offset, data, round);
  }
};

// SnapshotReply acknowledges the data received so far of the snapshot at
// `index`.
struct SnapshotReply {
  LogIndex index{};
  uint64_t received_bytes = 0;
  uint64_t round = 0;  // copied from the chunk

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(index, received_bytes, round);
  }
};

// Resignation is sent to all members by a leader that steps down, so that they
// elect another one without waiting for the election timeout. `successor` has
// the whole committed log and starts an election at once.
struct Resignation {
  MemberId successor{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(successor);
  }
};

// Body is the content of a Message.
using Body =
    std::variant<Announce, VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotChunk, SnapshotReply, Resignation>;

// Message is sent from one member to another. The network may lose, duplicate,
// delay and reorder messages.
struct Message {
  static constexpr wire::Kind kKind = static_cast<wire::Kind>(1);  // kConsensus

  MemberId from{};
  MemberId to{};  // storage 0: any data folder of the instance
  Term term{};
  Body body{};

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(from, to, term, body);
  }
};

// Events.

// Tick drives all timeouts; the caller should pass one every few tens of
// milliseconds.
struct Tick {};

// Received passes in a message from the network.
struct Received {
  Message message{};
};

// Persisted confirms that all writes up to and including `ticket` are durable.
struct Persisted {
  Ticket ticket{};
};

// StorageFull reports whether the disk is full. While it is, proposals are
// refused and the member does not start elections. A leader resigns once a
// quorum has committed an entry that its own disk could not take. A follower
// that has room again requests the entries that it had to refuse.
struct StorageFull {
  bool full = false;
};

// Propose requests that commands be appended as consecutive entries. Exactly
// one ProposalResponse follows. If this member loses leadership before the
// entries are committed, it responds once it knows which entries were committed
// at their indexes. A partitioned member learns this only after the partition
// heals.
struct Propose {
  ProposalTag tag{};
  std::vector<std::string> commands{};
};

// ConfirmLeadership requests a check that this member is still the leader.
// Exactly one Confirmation follows. Requests that arrive during a confirmation
// round share the next round.
struct ConfirmLeadership {
  ConfirmationTag tag{};
};

// ChangeKind is the type of a membership change.
enum class ChangeKind : uint8_t {
  kAddLearner,     // adds `member` without a vote, in place of an earlier
                   // learner of the same instance
  kRemoveLearner,  // removes the learner `member`
  kPromote,        // makes the learner `member` a voter
  kRemoveVoter,    // removes the voter `member`
  kReplace,        // removes the voter `member` and makes the learner
                   // `replacement` a voter
};

// MembershipChange describes one change. `expected_index` is the index of the
// membership entry that the change is based on; if another one is current, the
// change is refused with kStale. 0 skips this check.
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

// ProposeMembership requests a membership change. Exactly one ProposalResponse
// follows. kCommitted is returned once the joint phase is over, so that only
// the new voters count, and an added voter has stored the resulting membership.
struct ProposeMembership {
  ProposalTag tag{};
  MembershipChange change{};
};

// SnapshotTaken passes in the serialized state machine as of `index`, which
// must not exceed the last index returned in Actions::committed. It is ignored
// unless it is newer than the current snapshot.
struct SnapshotTaken {
  LogIndex index{};
  std::shared_ptr<const std::string> data{};
};

// Bootstrap creates a group with these voters. It must be passed to exactly one
// of them, once; a member that has a term, a vote or log entries ignores it.
struct Bootstrap {
  std::set<MemberId> voters{};
};

using Event = std::variant<Tick, Received, Persisted, StorageFull, Propose,
                           ConfirmLeadership, ProposeMembership, SnapshotTaken,
                           Bootstrap>;

// Outcome is the result of a proposal.
enum class Outcome : uint8_t {
  kCommitted,         // durable on a quorum and returned as committed
  kNotLeader,         // not accepted; retry at `leader`
  kSuperseded,        // replaced by other entries; it will never run
  kUnknown,           // all, some or none of it may have been committed
  kBusy,              // not accepted; too many proposals are pending
  kStorageFull,       // not accepted; the disk is full
  kTooLarge,          // not accepted; a command exceeds kMaxCommandBytes
  kNotReady,          // change refused; the leader's no-op is not committed
  kChangeInProgress,  // change refused; another one is in progress
  kStale,             // change refused; `expected_index` is out of date
  kNotCaughtUp,       // change refused; the learner lags too far behind
  kInvalid,           // refused; the change does not apply to the current
                      // membership, or the proposal has no commands
};

// ProposalResponse is the response to Propose and ProposeMembership.
struct ProposalResponse {
  ProposalTag tag{};
  Outcome outcome = Outcome::kUnknown;
  LogIndex first_index{};  // of the appended entries; 0 if there are none
  LogIndex last_index{};
  std::optional<MemberId> leader{};  // the current leader, if known
};

// Confirmation is the response to ConfirmLeadership. If confirmed, every entry
// that any leader had committed by `started_at` is at or below `commit_index`,
// and all entries up to `commit_index` have been returned in
// Actions::committed.
struct Confirmation {
  ConfirmationTag tag{};
  bool confirmed = false;
  TimePoint started_at{};  // this member's clock
  LogIndex commit_index{};
  Term term{};
};

// LeadershipChange reports that the term or the leader known to this member
// changed, or that this member became or ceased to be the leader.
struct LeadershipChange {
  Term term{};
  std::optional<MemberId> leader{};
  bool is_self = false;
};

// Actions lists what the caller must do, in the order of the fields.
struct Actions {
  std::optional<Persist> persist{};
  std::vector<Message> messages{};
  std::optional<Snapshot> restore{};
  std::vector<Entry> committed{};
  std::vector<ProposalResponse> proposal_responses{};
  std::vector<Confirmation> confirmations{};
  std::optional<LeadershipChange> leadership{};
  bool take_snapshot = false;  // a snapshot is due: pass SnapshotTaken
};

// Options configures a member.
struct Options {
  MemberId self{};
  uint64_t seed = 1;  // must differ between members and runs
  // The instances to which a member sends Announce while it is not part of the
  // membership it knows.
  std::vector<InstanceId> peers{};
  Duration heartbeat_interval = std::chrono::milliseconds(300);
  // A member starts an election after one to two election timeouts without a
  // message from a leader; a leader steps down after one election timeout
  // without replies from a quorum.
  Duration election_timeout = std::chrono::milliseconds(1000);
  // Replaces election_timeout while no leader is known, as after a start. It
  // must be longer than a live leader's heartbeat takes to arrive. From the
  // second consecutive lost election on it doubles with each, up to
  // election_timeout, because disks or links may be too slow for the initial
  // value.
  Duration leaderless_election_timeout = std::chrono::milliseconds(1000);
  // A leader resends appends and snapshot chunks after this long without
  // progress.
  Duration resend_timeout = std::chrono::milliseconds(400);
  Duration announce_interval = std::chrono::seconds(2);
  uint32_t max_inflight_appends = 16;     // per member
  uint32_t max_pending_proposals = 4096;  // proposals without a response yet
  // A snapshot is due after so many entries, or so many bytes of payload, since
  // the last one.
  uint32_t snapshot_entries = 10'000;
  Bytes snapshot_bytes = Bytes(16 << 20);
  // Entries covered by the snapshot that are kept for members that lag behind.
  uint32_t trailing_entries = 2'000;
  // The number of entries that a learner may lag behind and still be promoted.
  uint32_t max_learner_lag = 100;
  uint32_t max_snapshot_transfers = 2;     // concurrent
  Bytes snapshot_rate = Bytes(512 << 10);  // per second, all transfers together
  // A snapshot that would take longer than this at snapshot_rate is sent
  // faster, so that a member has caught up in time however large it is.
  Duration snapshot_time = std::chrono::seconds(1);
};

// Role is a member's part in elections and replication.
enum class Role : uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

// SnapshotTransfer is the state of sending a snapshot to one member.
struct SnapshotTransfer {
  Snapshot snapshot{};
  uint64_t received_bytes = 0;  // acknowledged by the member
  bool awaiting_reply = false;  // a chunk has not been acknowledged yet
  TimePoint sent_at{};
};

// Progress is the leader's replication state for one other member.
struct Progress {
  LogIndex match_index{};  // the last entry known to be durable there
  LogIndex next_index{};   // the next entry to send
  bool probing = true;     // one message at a time until one is accepted
  std::deque<LogIndex> inflight{};  // last indexes of unacknowledged messages
  TimePoint last_reply_at{};
  // When match_index last grew or `inflight` last became non-empty.
  TimePoint last_progress_at{};
  uint64_t acknowledged_round = 0;  // the latest confirmation round replied to
  std::optional<SnapshotTransfer> transfer{};
};

// IndexedMembership is a membership with the index of its log entry, or of the
// snapshot that it was taken from.
struct IndexedMembership {
  LogIndex index{};
  Membership membership{};
};

// HeldMessage is a message to be sent once `ticket` is durable.
struct HeldMessage {
  Ticket ticket{};
  Message message{};
};

// UnsyncedAppend is a Persist that is not yet durable; once it is, the log is
// durable up to `last_index`.
struct UnsyncedAppend {
  Ticket ticket{};
  LogIndex last_index{};
};

// PendingProposal is an accepted proposal without a response yet.
struct PendingProposal {
  ProposalTag tag{};
  Term term{};
  LogIndex first_index{};
  LogIndex last_index{};
  // The entry is a joint membership; the entry that ends the joint phase has
  // not been appended yet.
  bool is_joint = false;
  // The voter that must also have stored last_index; storage 0: none.
  MemberId new_voter{};
};

// ConfirmationRound is a leadership confirmation round in progress: a round of
// heartbeats that a quorum must acknowledge.
struct ConfirmationRound {
  std::vector<ConfirmationTag> tags{};
  TimePoint started_at{};
  LogIndex commit_index{};
};

// State is the complete state of a member. Callers may read it; apart from
// options.peers, only Step may change it.
struct State {
  Options options{};
  uint64_t random_state = 0;

  // Durable state, including writes that are not yet durable.
  HardState hard_state{};
  Snapshot snapshot{};          // metadata.index 0: none
  std::deque<Entry> entries{};  // follows `base_index`
  LogIndex base_index{};        // the entry before the first one in `entries`
  Term base_term{};
  std::vector<IndexedMembership> memberships{};  // oldest first, at least one

  // Progress of the durable writes.
  Ticket last_ticket{};
  Ticket synced_ticket{};
  Ticket hard_state_ticket{};  // the last Persist with a hard state
  LogIndex synced_index{};
  std::deque<UnsyncedAppend> unsynced_appends{};
  std::deque<HeldMessage> held_messages{};
  bool storage_full = false;

  // Volatile state.
  Role role = Role::kFollower;
  std::optional<MemberId> leader{};
  LogIndex commit_index{};
  TimePoint election_deadline{};
  TimePoint pre_vote_started_at{};  // when this member last started one
  uint32_t num_lost_elections = 0;  // consecutive ones started by this member
  TimePoint leader_last_seen{};
  TimePoint next_heartbeat{};
  TimePoint next_announce{};
  std::set<MemberId> votes{};
  std::map<InstanceId, MemberId> announced{};  // from Announce messages
  std::optional<SnapshotMetadata> incoming_snapshot{};
  std::string incoming_data{};
  bool snapshot_requested = false;
  Bytes bytes_since_snapshot{};

  // Leader state.
  std::map<MemberId, Progress> progress{};
  LogIndex no_op_index{};
  std::vector<PendingProposal> pending_proposals{};
  uint64_t round = 0;  // the latest leadership confirmation round
  std::optional<ConfirmationRound> current_round{};
  std::vector<ConfirmationTag> next_round_tags{};  // wait for the next round
  TimePoint next_chunk_at{};  // enforces Options::snapshot_rate
};

// Start returns the initial state of a member that starts at `now` with the
// `recovered` durable state.
State Start(Options options, Recovered recovered, TimePoint now);

// Step processes one event that occurs at `now`, and returns what the caller
// must do as a result.
Actions Step(State& state, const Event& event, TimePoint now);

// CurrentMembership returns the latest membership in the log, committed or not,
// with its index. It is empty on a member that is not part of a group yet.
const IndexedMembership& CurrentMembership(const State& state);

// LastIndex returns the index of the last log entry.
LogIndex LastIndex(const State& state);

// DecodeMembership decodes the payload of a kMembership entry. It returns
// nullopt if the payload is malformed.
std::optional<Membership> DecodeMembership(const std::string& payload);

}  // namespace samphirebank::consensus

#endif  // SAMPHIREBANK_CONSENSUS_CONSENSUS_H_
