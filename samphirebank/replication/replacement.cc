#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "samphirebank/events/events.h"
#include "samphirebank/replication/internal/member.h"

namespace samphirebank::replication {
namespace {

using consensus::MemberId;

constexpr Duration kReplaceRetry = std::chrono::milliseconds(200);
constexpr Duration kReplaceLimit = std::chrono::seconds(60);

TimePoint Now() { return std::chrono::steady_clock::now(); }

// ShouldRetry tells whether a membership change may succeed later.
bool ShouldRetry(consensus::Outcome outcome) {
  switch (outcome) {
    case consensus::Outcome::kBusy:
    case consensus::Outcome::kNotReady:
    case consensus::Outcome::kChangeInProgress:
    case consensus::Outcome::kNotCaughtUp:
      return true;
    default:
      return false;
  }
}

std::string FailureText(consensus::Outcome outcome) {
  switch (outcome) {
    case consensus::Outcome::kNotLeader:
      return "this instance does not lead any more";
    case consensus::Outcome::kNotCaughtUp:
      return "the new data folder did not catch up in time";
    case consensus::Outcome::kChangeInProgress:
      return "another membership change is under way";
    case consensus::Outcome::kStorageFull:
      return "the disk is full";
    case consensus::Outcome::kUnknown:
      return "the outcome is unknown; look at the status";
    default:
      return "the membership does not allow it";
  }
}

}  // namespace

void Member::ChangeMembership(const consensus::MembershipChange& change,
                              MembershipDone done) {
  const consensus::ProposalTag tag(this->next_tag++);
  this->changes[tag] = std::move(done);
  this->Step(consensus::ProposeMembership{.tag = tag, .change = change});
}

void Member::Replace(const InstanceId& instance, ReplaceDone done) {
  if (!this->leads()) return done("this instance does not lead");
  const auto& voting =
      consensus::CurrentMembership(this->state).membership.voters;
  const auto lost = std::ranges::find(voting, instance, &MemberId::instance);
  if (lost == voting.end()) return done("the instance has no vote");
  const auto found = this->state.announced.find(instance);
  if (found == this->state.announced.end() || found->second == *lost) {
    return done(
        "the instance has not announced a new data folder; start it with an "
        "empty one");
  }
  this->Admit(std::make_shared<Replacement>(
      Replacement{.lost = *lost,
                  .found = found->second,
                  .give_up = Now() + kReplaceLimit,
                  .done = std::move(done)}));
}

void Member::Admit(const std::shared_ptr<Replacement>& replacement) {
  const auto& current = consensus::CurrentMembership(this->state);
  if (current.membership.learners.contains(replacement->found)) {
    return this->Swap(replacement);
  }
  this->ChangeMembership(
      {.kind = consensus::ChangeKind::kAddLearner,
       .member = replacement->found},
      [this, replacement](consensus::Outcome outcome) {
        if (outcome == consensus::Outcome::kCommitted) {
          return this->Swap(replacement);
        }
        if (!ShouldRetry(outcome) || Now() > replacement->give_up) {
          return replacement->done(FailureText(outcome));
        }
        this->hooks.run_after(
            kReplaceRetry, [this, replacement] { this->Admit(replacement); });
      });
}

void Member::Swap(const std::shared_ptr<Replacement>& replacement) {
  this->ChangeMembership(
      {.kind = consensus::ChangeKind::kReplace,
       .member = replacement->lost,
       .replacement = replacement->found},
      [this, replacement](consensus::Outcome outcome) {
        if (outcome == consensus::Outcome::kCommitted) {
          events::Log({.number = events::Number::kMemberAdded,
                       .peer = replacement->found.instance});
          return replacement->done("");
        }
        if (!ShouldRetry(outcome) || Now() > replacement->give_up) {
          return replacement->done(FailureText(outcome));
        }
        this->hooks.run_after(kReplaceRetry,
                              [this, replacement] { this->Swap(replacement); });
      });
}

}  // namespace samphirebank::replication
