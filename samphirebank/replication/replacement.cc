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

constexpr Duration kReplaceRetryInterval = std::chrono::milliseconds(200);
constexpr Duration kReplaceTimeout = std::chrono::seconds(60);

TimePoint Now() { return std::chrono::steady_clock::now(); }

// ShouldRetry returns whether a refused membership change may succeed later.
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
  this->pending_changes[tag] = std::move(done);
  this->Step(consensus::ProposeMembership{.tag = tag, .change = change});
}

void Member::Replace(const InstanceId& instance, ReplaceDone done) {
  if (!this->leads()) return done("this instance does not lead");
  const auto& voters =
      consensus::CurrentMembership(this->state).membership.voters;
  const auto voter = std::ranges::find(voters, instance, &MemberId::instance);
  if (voter == voters.end()) return done("the instance has no vote");
  const auto announced = this->state.announced.find(instance);
  if (announced == this->state.announced.end() || announced->second == *voter) {
    return done(
        "the instance has not announced a new data folder; start it with an "
        "empty one");
  }
  this->AddAsLearner(std::make_shared<Replacement>(
      Replacement{.old_member = *voter,
                  .new_member = announced->second,
                  .deadline = Now() + kReplaceTimeout,
                  .done = std::move(done)}));
}

void Member::AddAsLearner(const std::shared_ptr<Replacement>& replacement) {
  const auto& current = consensus::CurrentMembership(this->state);
  if (current.membership.learners.contains(replacement->new_member)) {
    return this->ReplaceVoter(replacement);
  }
  this->ChangeMembership(
      {.kind = consensus::ChangeKind::kAddLearner,
       .member = replacement->new_member},
      [this, replacement](consensus::Outcome outcome) {
        if (outcome == consensus::Outcome::kCommitted) {
          return this->ReplaceVoter(replacement);
        }
        if (!ShouldRetry(outcome) || Now() > replacement->deadline) {
          return replacement->done(FailureText(outcome));
        }
        this->hooks.run_after(kReplaceRetryInterval, [this, replacement] {
          this->AddAsLearner(replacement);
        });
      });
}

void Member::ReplaceVoter(const std::shared_ptr<Replacement>& replacement) {
  this->ChangeMembership(
      {.kind = consensus::ChangeKind::kReplace,
       .member = replacement->old_member,
       .replacement = replacement->new_member},
      [this, replacement](consensus::Outcome outcome) {
        if (outcome == consensus::Outcome::kCommitted) {
          events::Log({.number = events::Number::kMemberAdded,
                       .peer = replacement->new_member.instance});
          return replacement->done("");
        }
        if (!ShouldRetry(outcome) || Now() > replacement->deadline) {
          return replacement->done(FailureText(outcome));
        }
        this->hooks.run_after(kReplaceRetryInterval, [this, replacement] {
          this->ReplaceVoter(replacement);
        });
      });
}

}  // namespace samphirebank::replication
