// Scripted failure scenarios, one for each safety rule of the consensus core.
#include "samphirebank/consensus/consensus.h"

#include <doctest/doctest.h>

#include "samphirebank/net/net.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

MemberId MakeId(size_t i) {
  return {.instance = InstanceId("c" + std::to_string(i)),
          .storage = StorageId(100 + i)};
}

// Group runs members with instant disks over a reliable network. The members in
// `isolated` neither send nor receive messages; the disks of those in `full`
// take nothing.
struct Group {
  TimePoint now{};
  std::vector<State> members{};
  std::set<size_t> isolated{};
  std::set<size_t> full{};
  std::deque<Message> network{};
  std::vector<ProposalResponse> responses{};
  std::vector<Confirmation> confirmations{};
  uint64_t sent_snapshot_bytes = 0;
  size_t max_message_bytes = 0;

  explicit Group(size_t size, size_t voters) {
    std::set<MemberId> initial_voters;
    for (size_t i = 0; i < size; ++i) {
      members.push_back(Start({.self = MakeId(i),
                               .seed = i + 1,
                               .peers = {InstanceId("c0"), InstanceId("c1")}},
                              {}, now));
      if (i < voters) initial_voters.insert(MakeId(i));
    }
    Deliver(0, Bootstrap{.voters = initial_voters});
    AdvanceTime(seconds(5));
  }

  // Deliver passes one event to member `i` and delivers all resulting messages.
  void Deliver(size_t i, const Event& event) {
    Handle(i, event);
    while (!network.empty()) {
      const Message message = std::move(network.front());
      network.pop_front();
      for (size_t to = 0; to < members.size(); ++to) {
        const MemberId& self = members[to].options.self;
        if (self.instance == message.to.instance) Handle(to, Received{message});
      }
    }
  }

  void Handle(size_t i, const Event& event) {
    if (isolated.contains(i) && std::holds_alternative<Received>(event)) return;
    Actions actions = Step(members[i], event, now);
    for (Message& message : actions.messages) {
      if (isolated.contains(i)) continue;
      RecordMessage(message);
      network.push_back(std::move(message));
    }
    responses.insert(responses.end(), actions.proposal_responses.begin(),
                     actions.proposal_responses.end());
    confirmations.insert(confirmations.end(), actions.confirmations.begin(),
                         actions.confirmations.end());
    if (!actions.persist) return;
    if (full.contains(i)) return Handle(i, StorageFull{.full = true});
    Handle(i, Persisted{actions.persist->ticket});
  }

  // MakeRoom frees the disk of member `i`, which then takes all that waited.
  void MakeRoom(size_t i) {
    full.erase(i);
    Deliver(i, StorageFull{.full = false});
    Deliver(i, Persisted{members[i].last_ticket});
  }

  void RecordMessage(const Message& message) {
    const size_t size = wire::Encode(message).payload.size();
    max_message_bytes = std::max(max_message_bytes, size);
    if (const auto* chunk = std::get_if<SnapshotChunk>(&message.body)) {
      sent_snapshot_bytes += chunk->data.size();
    }
  }

  void AdvanceTime(Duration span) {
    for (const TimePoint end = now + span; now < end; now += milliseconds(20)) {
      for (size_t i = 0; i < members.size(); ++i) Deliver(i, Tick{});
    }
  }

  size_t Leader() const {
    for (size_t i = 0; i < members.size(); ++i) {
      if (members[i].role == Role::kLeader && !isolated.contains(i)) return i;
    }
    FAIL("no leader");
    return 0;
  }

  Outcome Propose(size_t i, std::string command) {
    responses.clear();
    Deliver(i, consensus::Propose{.tag = ProposalTag(1),
                                  .commands = {std::move(command)}});
    return responses.empty() ? Outcome::kUnknown : responses.back().outcome;
  }

  Outcome ChangeMembership(size_t i, const MembershipChange& change) {
    responses.clear();
    Deliver(i, ProposeMembership{.tag = ProposalTag(2), .change = change});
    return responses.empty() ? Outcome::kUnknown : responses.back().outcome;
  }
};

Message MakeMessage(const State& member, Term term, Body body,
                    size_t from = 1) {
  return {.from = MakeId(from),
          .to = member.options.self,
          .term = term,
          .body = std::move(body)};
}

TEST_CASE("a partitioned leader steps down and confirms no leadership") {
  Group group(3, 3);
  const size_t old_leader = group.Leader();
  group.isolated.insert(old_leader);
  group.Deliver(old_leader, ConfirmLeadership{ConfirmationTag(1)});
  CHECK(group.confirmations.empty());
  group.AdvanceTime(seconds(4));
  CHECK(group.members[old_leader].role != Role::kLeader);
  REQUIRE(group.confirmations.size() == 1);
  CHECK(!group.confirmations[0].confirmed);
  const size_t new_leader = group.Leader();
  CHECK(group.Propose(new_leader, "x") == Outcome::kCommitted);
  CHECK(group.Propose(old_leader, "y") == Outcome::kNotLeader);
  const Term term = group.members[new_leader].hard_state.term;
  group.isolated.clear();
  group.AdvanceTime(seconds(4));
  // Because of the pre-vote, its return forces no election.
  CHECK(group.members[new_leader].hard_state.term == term);
  CHECK(group.members[new_leader].role == Role::kLeader);
}

TEST_CASE("a round counts only replies to heartbeats sent after it began") {
  Group group(3, 3);
  const size_t leader = group.Leader();
  State& state = group.members[leader];
  const uint64_t before = state.round;
  Actions started =
      Step(state, ConfirmLeadership{ConfirmationTag(1)}, group.now);
  CHECK(started.confirmations.empty());
  const size_t other = leader == 0 ? 1 : 0;
  const auto reply = [&](uint64_t round) {
    return Step(state,
                Received{MakeMessage(
                    state, state.hard_state.term,
                    AppendReply{.accepted = true, .round = round}, other)},
                group.now + seconds(1));
  };
  CHECK(reply(before).confirmations.empty());
  const Actions done = reply(before + 1);
  REQUIRE(done.confirmations.size() == 1);
  CHECK(done.confirmations[0].confirmed);
  CHECK(done.confirmations[0].started_at == group.now);
}

TEST_CASE("an entry of an earlier term is not committed by counting replicas") {
  // Member 0 has an entry of term 1 and wins term 3; member 1 may hold an
  // entry of term 2 that would replace it.
  const Entry membership{.index = LogIndex(1),
                         .term = Term(1),
                         .kind = EntryKind::kMembership,
                         .payload = wire::EncodeFields(Membership{
                             .voters = {MakeId(0), MakeId(1), MakeId(2)}})};
  const Entry old_entry{.index = LogIndex(2), .term = Term(1)};
  State state = Start(
      {.self = MakeId(0)},
      {.hard_state = {.term = Term(2)}, .entries = {membership, old_entry}},
      {});
  const TimePoint later = TimePoint(seconds(10));
  Step(state, Tick{}, later);
  Actions campaign = Step(
      state,
      Received{MakeMessage(state, Term(3),
                           VoteReply{.pre_vote = true, .granted = true}, 2)},
      later);
  Step(state, Persisted{campaign.persist->ticket}, later);
  Actions won =
      Step(state,
           Received{MakeMessage(state, Term(3), VoteReply{.granted = true}, 2)},
           later);
  REQUIRE(state.role == Role::kLeader);
  const auto acknowledge = [&](uint64_t index) {
    AppendReply reply{.accepted = true, .match_index = LogIndex(index)};
    return Step(state, Received{MakeMessage(state, Term(3), reply, 2)}, later);
  };
  CHECK(acknowledge(2).committed.empty());
  Step(state, Persisted{won.persist->ticket}, later);
  CHECK(acknowledge(3).committed.size() == 3);
}

// RestartedVoter returns one of three voters, just after a restart.
State RestartedVoter() {
  const Entry membership{.index = LogIndex(1),
                         .term = Term(1),
                         .kind = EntryKind::kMembership,
                         .payload = wire::EncodeFields(Membership{
                             .voters = {MakeId(0), MakeId(1), MakeId(2)}})};
  return Start({.self = MakeId(0),
                .election_timeout = milliseconds(1000),
                .leaderless_election_timeout = milliseconds(400)},
               {.hard_state = {.term = Term(1)}, .entries = {membership}}, {});
}

TEST_CASE("a member starts an election sooner while it knows no leader") {
  State state = RestartedVoter();
  const auto starts_pre_vote_at = [&](int64_t ms) {
    return !Step(state, Tick{}, TimePoint(milliseconds(ms))).messages.empty();
  };
  CHECK_FALSE(starts_pre_vote_at(399));
  CHECK(starts_pre_vote_at(800));
  // The interval stays the same while no other member replies.
  CHECK_FALSE(starts_pre_vote_at(1199));
  CHECK(starts_pre_vote_at(1600));
  // After a message from a leader, it waits for the full election timeout.
  const TimePoint received_at(milliseconds(1700));
  Step(state, Received{MakeMessage(state, Term(1), AppendRequest{})},
       received_at);
  CHECK_FALSE(starts_pre_vote_at(2699));
  CHECK(starts_pre_vote_at(3700));
}

TEST_CASE("consecutive lost elections back off up to the election timeout") {
  State state = RestartedVoter();
  TimePoint now{};
  const auto lose_election = [&] {
    const TimePoint begin = now;
    const Term before = state.hard_state.term;
    while (state.hard_state.term == before) {
      now += milliseconds(1);
      Step(state, Tick{}, now);
      if (state.role != Role::kPreCandidate) continue;
      const VoteReply granted{.pre_vote = true, .granted = true};
      Step(state, Received{MakeMessage(state, before.Next(), granted)}, now);
    }
    return now - begin;
  };
  const auto is_between = [](Duration span, int64_t low, int64_t high) {
    return span >= milliseconds(low) && span <= milliseconds(high + 1);
  };
  CHECK(is_between(lose_election(), 400, 800));
  CHECK(is_between(lose_election(), 400, 800));
  CHECK(is_between(lose_election(), 400, 800));
  CHECK(is_between(lose_election(), 800, 1600));
  for (int i = 0; i < 5; ++i) CHECK(is_between(lose_election(), 1000, 2000));
}

TEST_CASE("a data folder votes once a term, only for an up-to-date log") {
  Group group(3, 3);
  const size_t leader = group.Leader();
  State state = group.members[leader == 2 ? 1 : 2];
  const size_t other = leader == 0 ? 1 : 0;
  const TimePoint later = group.now + seconds(10);
  const Term next = state.hard_state.term.Next();
  const VoteRequest up_to_date{.last_index = LastIndex(state),
                               .last_term = state.hard_state.term};
  Message to_old_folder = MakeMessage(state, next, up_to_date, leader);
  to_old_folder.to.storage = StorageId(999);
  Step(state, Received{to_old_folder}, later);
  CHECK(state.hard_state.term < next);
  const auto request_vote = [&](const VoteRequest& request, size_t from) {
    Actions actions =
        Step(state, Received{MakeMessage(state, next, request, from)}, later);
    CHECK(actions.messages.empty());  // no reply before the fsync
    actions = Step(state, Persisted{state.last_ticket}, later);
    REQUIRE(actions.messages.size() == 1);
    return std::get<VoteReply>(actions.messages[0].body).granted;
  };
  CHECK(
      !request_vote({.last_index = LogIndex(1), .last_term = Term(1)}, other));
  CHECK(request_vote(up_to_date, leader));
  Actions second =
      Step(state, Received{MakeMessage(state, next, up_to_date, other)}, later);
  REQUIRE(second.messages.size() == 1);
  CHECK(!std::get<VoteReply>(second.messages[0].body).granted);
}

TEST_CASE("a lost member is replaced, and concurrent changes are refused") {
  Group group(4, 3);
  size_t leader = group.Leader();
  const size_t lost = leader == 2 ? 1 : 2;
  group.isolated.insert(lost);
  // The new member has announced the identity of its data folder.
  CHECK(group.members[0].announced.at(InstanceId("c3")) == MakeId(3));
  const MembershipChange replace{.kind = ChangeKind::kReplace,
                                 .member = MakeId(lost),
                                 .replacement = MakeId(3)};
  CHECK(group.ChangeMembership(leader, replace) == Outcome::kInvalid);
  State unready = group.members[leader];
  unready.no_op_index = unready.commit_index.Next();
  const MembershipChange join{.kind = ChangeKind::kAddLearner,
                              .member = MakeId(3)};
  CHECK(Step(unready, ProposeMembership{.change = join}, group.now)
            .proposal_responses[0]
            .outcome == Outcome::kNotReady);
  const LogIndex seen = CurrentMembership(group.members[leader]).index;
  group.isolated.insert(3);
  CHECK(group.ChangeMembership(leader, join) == Outcome::kCommitted);
  CHECK(group.ChangeMembership(leader, replace) == Outcome::kNotCaughtUp);
  group.isolated.erase(3);
  MembershipChange stale = replace;
  stale.expected_index = seen;
  group.AdvanceTime(seconds(2));
  leader = group.Leader();
  CHECK(group.ChangeMembership(leader, stale) == Outcome::kStale);
  // The joint phase cannot end without a majority of the old voters. Until it
  // ends, further changes are refused.
  State joint = group.members[leader];
  Step(joint, ProposeMembership{.change = replace}, group.now);
  CHECK(Step(joint, ProposeMembership{.change = replace}, group.now)
            .proposal_responses[0]
            .outcome == Outcome::kChangeInProgress);
  CHECK(CurrentMembership(joint).membership.outgoing.size() == 3);
  CHECK(group.ChangeMembership(leader, replace) == Outcome::kCommitted);
  const Membership& settled =
      CurrentMembership(group.members[leader]).membership;
  CHECK(settled.outgoing.empty());
  CHECK(settled.voters.contains(MakeId(3)));
  CHECK(!settled.voters.contains(MakeId(lost)));
  // The group survives the loss of another member right after the replacement.
  group.isolated.insert(leader);
  group.AdvanceTime(seconds(4));
  CHECK(group.Propose(group.Leader(), "x") == Outcome::kCommitted);
}

TEST_CASE("a snapshot is sent in chunks, at a limited rate, and resumed") {
  Group group(4, 3);
  size_t leader = group.Leader();
  constexpr size_t kSize = 400'000;
  for (int i = 0; i < 3000; ++i) group.Propose(leader, "x");
  const LogIndex index = group.members[leader].commit_index;
  for (size_t i = 0; i < 3; ++i) {
    group.AdvanceTime(milliseconds(400));
    group.Deliver(i, SnapshotTaken{.index = index,
                                   .data = std::make_shared<const std::string>(
                                       kSize, 'x')});
    CHECK(group.members[i].base_index > LogIndex(0));
  }
  group.ChangeMembership(
      leader, {.kind = ChangeKind::kAddLearner, .member = MakeId(3)});
  const TimePoint start = group.now;
  group.AdvanceTime(milliseconds(400));
  CHECK(group.sent_snapshot_bytes > 0);
  CHECK(group.sent_snapshot_bytes < kSize);
  const auto rate = group.members[leader].options.snapshot_rate.value;
  const auto allowed = rate * (group.now - start) / Duration(seconds(1));
  CHECK(group.sent_snapshot_bytes <=
        static_cast<uint64_t>(allowed) + kMaxChunkBytes);
  // The next leader resumes the transfer where the first one stopped.
  group.isolated.insert(leader);
  group.AdvanceTime(seconds(8));
  CHECK(group.members[3].commit_index >= index);
  CHECK(group.sent_snapshot_bytes <= kSize + 2 * kMaxChunkBytes);
  CHECK(group.max_message_bytes < net::kMaxPeerMessage / 2);
}

TEST_CASE("a slow disk delays acknowledgements of entries, not of heartbeats") {
  Group group(3, 3);
  const size_t leader = group.Leader();
  State follower = group.members[leader == 0 ? 1 : 0];
  const Term term = follower.hard_state.term;
  const LogIndex last = LastIndex(follower);
  const auto send = [&](std::vector<Entry> entries) {
    AppendRequest request{.previous_index = last,
                          .previous_term = term,
                          .entries = std::move(entries)};
    return Step(follower,
                Received{MakeMessage(follower, term, request, leader)},
                group.now);
  };
  const auto match_in = [](const Message& message) {
    return std::get<AppendReply>(message.body).match_index;
  };
  const Actions appended = send({{.index = last.Next(), .term = term}});
  for (const Message& message : appended.messages) {
    CHECK(match_in(message) == last);
  }
  const Actions heartbeat = send({});
  REQUIRE(heartbeat.messages.size() == 1);
  CHECK(match_in(heartbeat.messages[0]) == last);
  const Actions synced =
      Step(follower, Persisted{appended.persist->ticket}, group.now);
  REQUIRE(!synced.messages.empty());
  CHECK(match_in(synced.messages[0]) == last.Next());
}

TEST_CASE("a full disk refuses proposals while leadership is still confirmed") {
  Group group(3, 3);
  const size_t leader = group.Leader();
  for (size_t i = 0; i < 3; ++i) group.Deliver(i, StorageFull{.full = true});
  CHECK(group.Propose(leader, "x") == Outcome::kStorageFull);
  group.AdvanceTime(seconds(5));
  CHECK(group.Leader() == leader);
  group.Deliver(leader, ConfirmLeadership{ConfirmationTag(1)});
  REQUIRE(group.confirmations.size() == 1);
  CHECK(group.confirmations[0].confirmed);
  for (size_t i = 0; i < 3; ++i) group.Deliver(i, StorageFull{.full = false});
  CHECK(group.Propose(leader, "x") == Outcome::kCommitted);
  CHECK(group.Propose(leader, std::string(kMaxCommandBytes + 1, 'x')) ==
        Outcome::kTooLarge);
  CHECK(group.Propose(leader, std::string(kMaxCommandBytes, 'x')) ==
        Outcome::kCommitted);
  CHECK(group.max_message_bytes < net::kMaxPeerMessage / 2);
}

// Guards against a group that refuses every change while a quorum has room: a
// leader whose disk was full kept the lead.
TEST_CASE("a leader whose disk is full hands over to a member that has room") {
  Group group(5, 5);
  const size_t old_leader = group.Leader();
  group.full.insert(old_leader);
  // The change that shows the full disk is accepted by the others.
  CHECK(group.Propose(old_leader, "x") == Outcome::kCommitted);
  group.AdvanceTime(milliseconds(100));
  const size_t successor = group.Leader();
  REQUIRE(successor != old_leader);
  CHECK(group.Propose(successor, "y") == Outcome::kCommitted);
  CHECK(group.Propose(old_leader, "z") == Outcome::kNotLeader);
  group.MakeRoom(old_leader);
  group.AdvanceTime(seconds(2));
  CHECK(group.members[old_leader].commit_index ==
        group.members[successor].commit_index);
  CHECK(group.Leader() == successor);
}

// Guards against the same where only a snapshot did not fit: no entry shows
// that others have room.
TEST_CASE("a leader with a full disk and nothing to commit hands over too") {
  Group group(3, 3);
  const size_t old_leader = group.Leader();
  group.full.insert(old_leader);
  group.Deliver(old_leader, StorageFull{.full = true});
  group.AdvanceTime(milliseconds(200));
  CHECK(group.Leader() != old_leader);
}

TEST_CASE("disks that are full one after another refuse no change for long") {
  Group group(3, 3);
  for (int round = 0; round < 9; ++round) {
    const size_t full = static_cast<size_t>(round) % 3;
    CAPTURE(round);
    group.full.insert(full);
    group.AdvanceTime(milliseconds(100));
    group.Propose(group.Leader(), "x");
    group.AdvanceTime(milliseconds(100));
    CHECK(group.Propose(group.Leader(), "y") == Outcome::kCommitted);
    group.AdvanceTime(seconds(3));
    group.MakeRoom(full);
    // The next disk is full at once; this member has to take part by then.
  }
}

// Guards against leases that end: without a quorum that has room, nobody else
// could lead.
TEST_CASE("a leader stays while a quorum has no room") {
  Group group(3, 3);
  const size_t leader = group.Leader();
  for (size_t i = 0; i < 3; ++i) group.full.insert(i);
  group.Propose(leader, "x");
  group.AdvanceTime(seconds(5));
  CHECK(group.Leader() == leader);
  for (size_t i = 0; i < 3; ++i) group.MakeRoom(i);
  CHECK(group.Propose(leader, "y") == Outcome::kCommitted);
}

// Guards against a change that waits for a resend timeout: where a snapshot was
// what did not fit, no held reply tells the leader that there is room again.
TEST_CASE("a follower whose disk has room again gets what it refused at once") {
  Group group(3, 3);
  const size_t leader = group.Leader();
  const size_t follower = (leader + 1) % 3;
  CHECK(group.Propose(leader, "x") == Outcome::kCommitted);
  group.AdvanceTime(milliseconds(400));
  group.full.insert(follower);
  group.Deliver(
      follower,
      SnapshotTaken{.index = group.members[follower].commit_index,
                    .data = std::make_shared<const std::string>("x")});
  CHECK(group.Propose(leader, "y") == Outcome::kCommitted);
  REQUIRE(LastIndex(group.members[follower]) <
          LastIndex(group.members[leader]));
  group.MakeRoom(follower);
  CHECK(group.members[follower].synced_index ==
        LastIndex(group.members[leader]));
}

// Guards against a voter that is missing for longer than a lost machine may
// take to catch up: the time of a transfer grew with the document.
TEST_CASE("a large snapshot reaches a member within 2 s") {
  Group group(3, 3);
  const size_t leader = group.Leader();
  const size_t follower = (leader + 1) % 3;
  constexpr size_t kSize = 5'000'000;  // that of a fleet of 340 nodes
  group.isolated.insert(follower);
  for (int i = 0; i < 3000; ++i) group.Propose(leader, "x");
  const LogIndex index = group.members[leader].commit_index;
  group.Deliver(
      leader,
      SnapshotTaken{.index = index,
                    .data = std::make_shared<const std::string>(kSize, 'x')});
  group.isolated.clear();
  group.AdvanceTime(seconds(2));
  CHECK(group.members[follower].commit_index >= index);
}

}  // namespace
}  // namespace samphirebank::consensus
