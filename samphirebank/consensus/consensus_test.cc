// One scripted failure for each protection of the core.
#include "samphirebank/consensus/consensus.h"

#include <doctest/doctest.h>

#include "samphirebank/net/net.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

MemberId Name(size_t i) {
  return {.instance = InstanceId("c" + std::to_string(i)),
          .storage = StorageId(100 + i)};
}

// Group drives members whose disks are instant, over a network that is whole
// but for the members in `cut`.
struct Group {
  TimePoint now{};
  std::vector<State> members{};
  std::set<size_t> cut{};
  std::deque<Message> network{};
  std::vector<ProposalResponse> answers{};
  std::vector<ConfirmationResponse> rounds{};
  uint64_t snapshot_bytes = 0;
  size_t largest_message = 0;

  explicit Group(size_t size, size_t voters) {
    std::set<MemberId> founding;
    for (size_t i = 0; i < size; ++i) {
      members.push_back(Start({.self = Name(i),
                               .seed = i + 1,
                               .peers = {InstanceId("c0"), InstanceId("c1")}},
                              {}, now));
      if (i < voters) founding.insert(Name(i));
    }
    Do(0, Bootstrap{.voters = founding});
    Pass(seconds(5));
  }

  // Do takes in one event and everything that follows from it at once.
  void Do(size_t i, const Event& event) {
    Post(i, event);
    while (!network.empty()) {
      const Message message = std::move(network.front());
      network.pop_front();
      for (size_t to = 0; to < members.size(); ++to) {
        const MemberId& self = members[to].options.self;
        if (self.instance == message.to.instance) Post(to, Received{message});
      }
    }
  }

  void Post(size_t i, const Event& event) {
    if (cut.contains(i) && std::holds_alternative<Received>(event)) return;
    Actions actions = Step(members[i], event, now);
    for (Message& message : actions.messages) {
      if (cut.contains(i)) continue;
      Measure(message);
      network.push_back(std::move(message));
    }
    answers.insert(answers.end(), actions.proposal_responses.begin(),
                   actions.proposal_responses.end());
    rounds.insert(rounds.end(), actions.confirmation_responses.begin(),
                  actions.confirmation_responses.end());
    if (actions.persist) Post(i, Persisted{actions.persist->ticket});
  }

  void Measure(const Message& message) {
    const size_t size = wire::Encode(message).payload.size();
    largest_message = std::max(largest_message, size);
    if (const auto* chunk = std::get_if<SnapshotChunk>(&message.body)) {
      snapshot_bytes += chunk->data.size();
    }
  }

  void Pass(Duration span) {
    for (const TimePoint end = now + span; now < end; now += milliseconds(20)) {
      for (size_t i = 0; i < members.size(); ++i) Do(i, Tick{});
    }
  }

  size_t Leader() const {
    for (size_t i = 0; i < members.size(); ++i) {
      if (members[i].role == Role::kLeader && !cut.contains(i)) return i;
    }
    FAIL("no leader");
    return 0;
  }

  Outcome Propose(size_t i, std::string command) {
    answers.clear();
    Do(i, consensus::Propose{.tag = ProposalTag(1),
                             .commands = {std::move(command)}});
    return answers.empty() ? Outcome::kUnknown : answers.back().outcome;
  }

  Outcome Change(size_t i, const MembershipChange& change) {
    answers.clear();
    Do(i, ProposeMembership{.tag = ProposalTag(2), .change = change});
    return answers.empty() ? Outcome::kUnknown : answers.back().outcome;
  }
};

Message To(const State& member, Term term, Body body, size_t from = 1) {
  return {.from = Name(from),
          .to = member.options.self,
          .term = term,
          .body = std::move(body)};
}

TEST_CASE("a leader that is cut off steps down and confirms nothing") {
  Group group(3, 3);
  const size_t old = group.Leader();
  group.cut.insert(old);
  group.Do(old, ConfirmLeadership{ConfirmationTag(1)});
  CHECK(group.rounds.empty());
  group.Pass(seconds(4));
  CHECK(group.members[old].role != Role::kLeader);
  REQUIRE(group.rounds.size() == 1);
  CHECK(!group.rounds[0].confirmed);
  const size_t fresh = group.Leader();
  CHECK(group.Propose(fresh, "x") == Outcome::kCommitted);
  CHECK(group.Propose(old, "y") == Outcome::kNotLeader);
  const Term term = group.members[fresh].hard_state.term;
  group.cut.clear();
  group.Pass(seconds(4));
  // Thanks to the pre-vote its return forced no election.
  CHECK(group.members[fresh].hard_state.term == term);
  CHECK(group.members[fresh].role == Role::kLeader);
}

TEST_CASE("a round counts only answers to what was sent after it began") {
  Group group(3, 3);
  const size_t leader = group.Leader();
  State& state = group.members[leader];
  const uint64_t before = state.round;
  Actions started =
      Step(state, ConfirmLeadership{ConfirmationTag(1)}, group.now);
  CHECK(started.confirmation_responses.empty());
  const size_t other = leader == 0 ? 1 : 0;
  const auto answer = [&](uint64_t round) {
    return Step(
        state,
        Received{To(state, state.hard_state.term,
                    AppendReply{.accepted = true, .round = round}, other)},
        group.now + seconds(1));
  };
  CHECK(answer(before).confirmation_responses.empty());
  const Actions done = answer(before + 1);
  REQUIRE(done.confirmation_responses.size() == 1);
  CHECK(done.confirmation_responses[0].confirmed);
  CHECK(done.confirmation_responses[0].started_at == group.now);
}

TEST_CASE("an entry of an earlier term is not committed by counting") {
  // Member 0 has an entry of term 1 and wins term 3; member 1 may hold an
  // entry of term 2 that would replace it.
  const Entry founding{.index = LogIndex(1),
                       .term = Term(1),
                       .kind = EntryKind::kMembership,
                       .payload = wire::EncodeFields(
                           Membership{.voters = {Name(0), Name(1), Name(2)}})};
  const Entry old{.index = LogIndex(2), .term = Term(1)};
  State state =
      Start({.self = Name(0)},
            {.hard_state = {.term = Term(2)}, .entries = {founding, old}}, {});
  const TimePoint late = TimePoint(seconds(10));
  Step(state, Tick{}, late);
  Actions stand =
      Step(state,
           Received{To(state, Term(3),
                       VoteReply{.pre_vote = true, .granted = true}, 2)},
           late);
  Step(state, Persisted{stand.persist->ticket}, late);
  Actions won = Step(
      state, Received{To(state, Term(3), VoteReply{.granted = true}, 2)}, late);
  REQUIRE(state.role == Role::kLeader);
  const auto holds = [&](uint64_t index) {
    AppendReply reply{.accepted = true, .match = LogIndex(index)};
    return Step(state, Received{To(state, Term(3), reply, 2)}, late);
  };
  CHECK(holds(2).committed.empty());
  Step(state, Persisted{won.persist->ticket}, late);
  CHECK(holds(3).committed.size() == 3);
}

// RestartedOfThree is one of three voters that has just started again.
State RestartedOfThree() {
  const Entry founding{.index = LogIndex(1),
                       .term = Term(1),
                       .kind = EntryKind::kMembership,
                       .payload = wire::EncodeFields(
                           Membership{.voters = {Name(0), Name(1), Name(2)}})};
  return Start({.self = Name(0),
                .election_timeout = milliseconds(1000),
                .leaderless_election_timeout = milliseconds(400)},
               {.hard_state = {.term = Term(1)}, .entries = {founding}}, {});
}

TEST_CASE("a member that knows no leader stands sooner than one that did") {
  State state = RestartedOfThree();
  const auto stands_at = [&](int64_t ms) {
    return !Step(state, Tick{}, TimePoint(milliseconds(ms))).messages.empty();
  };
  CHECK_FALSE(stands_at(399));
  CHECK(stands_at(800));
  // Nor does it wait longer when nobody hears it.
  CHECK_FALSE(stands_at(1199));
  CHECK(stands_at(1600));
  // One that heard a leader waits for that one's heartbeats.
  const TimePoint heard(milliseconds(1700));
  Step(state, Received{To(state, Term(1), AppendRequest{})}, heard);
  CHECK_FALSE(stands_at(2699));
  CHECK(stands_at(3700));
}

TEST_CASE(
    "elections lost in a row come at longer intervals, to the usual one") {
  State state = RestartedOfThree();
  TimePoint now{};
  const auto lose = [&] {
    const TimePoint begin = now;
    const Term before = state.hard_state.term;
    while (state.hard_state.term == before) {
      now += milliseconds(1);
      Step(state, Tick{}, now);
      if (state.role != Role::kPreCandidate) continue;
      const VoteReply granted{.pre_vote = true, .granted = true};
      Step(state, Received{To(state, before.Next(), granted)}, now);
    }
    return now - begin;
  };
  const auto is_between = [](Duration span, int64_t low, int64_t high) {
    return span >= milliseconds(low) && span <= milliseconds(high + 1);
  };
  CHECK(is_between(lose(), 400, 800));
  CHECK(is_between(lose(), 400, 800));
  CHECK(is_between(lose(), 400, 800));
  CHECK(is_between(lose(), 800, 1600));
  for (int i = 0; i < 5; ++i) CHECK(is_between(lose(), 1000, 2000));
}

TEST_CASE("a vote goes to the same folder, once a term, to a full log") {
  Group group(3, 3);
  const size_t leader = group.Leader();
  State state = group.members[leader == 2 ? 1 : 2];
  const size_t other = leader == 0 ? 1 : 0;
  const TimePoint late = group.now + seconds(10);
  const Term next = state.hard_state.term.Next();
  const VoteRequest full{.last_index = LastIndex(state),
                         .last_term = state.hard_state.term};
  Message to_old_folder = To(state, next, full, leader);
  to_old_folder.to.storage = StorageId(999);
  Step(state, Received{to_old_folder}, late);
  CHECK(state.hard_state.term < next);
  const auto asked = [&](const VoteRequest& request, size_t from) {
    Actions actions =
        Step(state, Received{To(state, next, request, from)}, late);
    CHECK(actions.messages.empty());  // nothing before the sync
    actions = Step(state, Persisted{state.last_ticket}, late);
    REQUIRE(actions.messages.size() == 1);
    return std::get<VoteReply>(actions.messages[0].body).granted;
  };
  CHECK(!asked({.last_index = LogIndex(1), .last_term = Term(1)}, other));
  CHECK(asked(full, leader));
  Actions second = Step(state, Received{To(state, next, full, other)}, late);
  REQUIRE(second.messages.size() == 1);
  CHECK(!std::get<VoteReply>(second.messages[0].body).granted);
}

TEST_CASE("a lost member is replaced, and racing changes are refused") {
  Group group(4, 3);
  size_t leader = group.Leader();
  const size_t lost = leader == 2 ? 1 : 2;
  group.cut.insert(lost);
  // The newcomer announced itself with its folder's identity.
  CHECK(group.members[0].announced.at(InstanceId("c3")) == Name(3));
  const MembershipChange replace{.kind = ChangeKind::kReplace,
                                 .member = Name(lost),
                                 .replacement = Name(3)};
  CHECK(group.Change(leader, replace) == Outcome::kInvalid);
  State unready = group.members[leader];
  unready.no_op_index = unready.commit_index.Next();
  const MembershipChange join{.kind = ChangeKind::kAddLearner,
                              .member = Name(3)};
  CHECK(Step(unready, ProposeMembership{.change = join}, group.now)
            .proposal_responses[0]
            .outcome == Outcome::kNotReady);
  const LogIndex seen = CurrentMembership(group.members[leader]).index;
  group.cut.insert(3);
  CHECK(group.Change(leader, join) == Outcome::kCommitted);
  CHECK(group.Change(leader, replace) == Outcome::kNotCaughtUp);
  group.cut.erase(3);
  MembershipChange stale = replace;
  stale.expected_index = seen;
  group.Pass(seconds(2));
  leader = group.Leader();
  CHECK(group.Change(leader, stale) == Outcome::kStale);
  // Without the old majority the joint phase cannot begin to count.
  State joint = group.members[leader];
  Step(joint, ProposeMembership{.change = replace}, group.now);
  CHECK(Step(joint, ProposeMembership{.change = replace}, group.now)
            .proposal_responses[0]
            .outcome == Outcome::kChangeInProgress);
  CHECK(CurrentMembership(joint).membership.outgoing.size() == 3);
  CHECK(group.Change(leader, replace) == Outcome::kCommitted);
  const Membership& settled =
      CurrentMembership(group.members[leader]).membership;
  CHECK(settled.outgoing.empty());
  CHECK(settled.voters.contains(Name(3)));
  CHECK(!settled.voters.contains(Name(lost)));
  // A second one is lost right after the repair.
  group.cut.insert(leader);
  group.Pass(seconds(4));
  CHECK(group.Propose(group.Leader(), "x") == Outcome::kCommitted);
}

TEST_CASE("a snapshot is sent in chunks, at its pace, and resumed") {
  Group group(4, 3);
  size_t leader = group.Leader();
  constexpr size_t kSize = 400'000;
  for (int i = 0; i < 3000; ++i) group.Propose(leader, "x");
  const LogIndex index = group.members[leader].commit_index;
  for (size_t i = 0; i < 3; ++i) {
    group.Pass(milliseconds(400));
    group.Do(i, SnapshotTaken{
                    .index = index,
                    .data = std::make_shared<const std::string>(kSize, 'x')});
    CHECK(group.members[i].base_index > LogIndex(0));
  }
  group.Change(leader, {.kind = ChangeKind::kAddLearner, .member = Name(3)});
  const TimePoint start = group.now;
  group.Pass(milliseconds(400));
  CHECK(group.snapshot_bytes > 0);
  CHECK(group.snapshot_bytes < kSize);
  const auto rate = group.members[leader].options.snapshot_rate.value;
  const auto allowed = rate * (group.now - start) / Duration(seconds(1));
  CHECK(group.snapshot_bytes <=
        static_cast<uint64_t>(allowed) + kMaxChunkBytes);
  // Another leader goes on where the first one stopped.
  group.cut.insert(leader);
  group.Pass(seconds(8));
  CHECK(group.members[3].commit_index >= index);
  CHECK(group.snapshot_bytes <= kSize + 2 * kMaxChunkBytes);
  CHECK(group.largest_message < net::kMaxPeerMessage / 2);
}

TEST_CASE("a slow disk delays what is promised, not a heartbeat's answer") {
  Group group(3, 3);
  const size_t leader = group.Leader();
  State follower = group.members[leader == 0 ? 1 : 0];
  const Term term = follower.hard_state.term;
  const LogIndex last = LastIndex(follower);
  const auto send = [&](std::vector<Entry> entries) {
    AppendRequest request{.previous_index = last,
                          .previous_term = term,
                          .entries = std::move(entries)};
    return Step(follower, Received{To(follower, term, request, leader)},
                group.now);
  };
  const auto match_in = [](const Message& message) {
    return std::get<AppendReply>(message.body).match;
  };
  const Actions appended = send({{.index = last.Next(), .term = term}});
  for (const Message& message : appended.messages) {
    CHECK(match_in(message) == last);
  }
  const Actions beaten = send({});
  REQUIRE(beaten.messages.size() == 1);
  CHECK(match_in(beaten.messages[0]) == last);
  const Actions synced =
      Step(follower, Persisted{appended.persist->ticket}, group.now);
  REQUIRE(!synced.messages.empty());
  CHECK(match_in(synced.messages[0]) == last.Next());
}

TEST_CASE("a full disk refuses proposals while leadership is still confirmed") {
  Group group(3, 3);
  const size_t leader = group.Leader();
  for (size_t i = 0; i < 3; ++i) group.Do(i, StorageFull{.full = true});
  CHECK(group.Propose(leader, "x") == Outcome::kStorageFull);
  group.Pass(seconds(5));
  CHECK(group.Leader() == leader);
  group.Do(leader, ConfirmLeadership{ConfirmationTag(1)});
  REQUIRE(group.rounds.size() == 1);
  CHECK(group.rounds[0].confirmed);
  for (size_t i = 0; i < 3; ++i) group.Do(i, StorageFull{.full = false});
  CHECK(group.Propose(leader, "x") == Outcome::kCommitted);
  CHECK(group.Propose(leader, std::string(kMaxCommandBytes + 1, 'x')) ==
        Outcome::kTooLarge);
  CHECK(group.Propose(leader, std::string(kMaxCommandBytes, 'x')) ==
        Outcome::kCommitted);
  CHECK(group.largest_message < net::kMaxPeerMessage / 2);
}

}  // namespace
}  // namespace samphirebank::consensus
