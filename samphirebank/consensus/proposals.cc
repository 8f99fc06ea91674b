#include "samphirebank/consensus/internal/core.h"

namespace samphirebank::consensus::internal {
namespace {

std::optional<Outcome> RefusalReason(const State& state, const Propose& event) {
  if (state.role != Role::kLeader) return Outcome::kNotLeader;
  if (event.commands.empty()) return Outcome::kInvalid;
  for (const std::string& command : event.commands) {
    if (command.size() > kMaxCommandBytes) return Outcome::kTooLarge;
  }
  if (state.storage_full) return Outcome::kStorageFull;
  if (state.pending_proposals.size() >= state.options.max_pending_proposals) {
    return Outcome::kBusy;
  }
  return {};
}

// IsStillInLog reports whether the entry at `index` is that of `term`; nullopt
// if a snapshot has replaced the entry.
std::optional<bool> IsStillInLog(const State& state, LogIndex index,
                                 Term term) {
  const std::optional<Term> found = TermAt(state, index);
  if (!found) return {};
  return *found == term;
}

Outcome OutcomeOf(const State& state, const PendingProposal& proposal) {
  const Term term = proposal.term;
  const auto last = IsStillInLog(state, proposal.last_index, term);
  const auto first = IsStillInLog(state, proposal.first_index, term);
  if (!last) return Outcome::kUnknown;
  if (*last) return Outcome::kCommitted;
  const bool is_replaced = first && !*first;
  return is_replaced ? Outcome::kSuperseded : Outcome::kUnknown;
}

bool IsLeaderOf(const State& state, Term term) {
  return state.role == Role::kLeader && state.hard_state.term == term;
}

// IsDecided reports whether a response can be given, and sets `outcome` to its
// outcome.
bool IsDecided(const State& state, const PendingProposal& proposal,
               Outcome& outcome) {
  if (proposal.last_index > state.commit_index) return false;
  outcome = OutcomeOf(state, proposal);
  const bool has_more_conditions =
      proposal.is_joint || proposal.new_voter.storage != StorageId(0);
  if (!has_more_conditions || outcome != Outcome::kCommitted) return true;
  if (!IsLeaderOf(state, proposal.term)) {
    outcome = Outcome::kUnknown;
    return true;
  }
  if (proposal.is_joint) return false;
  auto found = state.progress.find(proposal.new_voter);
  if (found == state.progress.end()) return true;
  return found->second.match_index >= proposal.last_index;
}

}  // namespace

void RespondToProposal(Context& context, ProposalTag tag, Outcome outcome) {
  context.actions.proposal_responses.push_back(
      {.tag = tag, .outcome = outcome, .leader = context.state.leader});
}

void HandlePropose(Context& context, const Propose& event) {
  State& state = context.state;
  if (std::optional<Outcome> refusal = RefusalReason(state, event)) {
    RespondToProposal(context, event.tag, *refusal);
    return;
  }
  const LogIndex first = LastIndex(state).Next();
  for (const std::string& command : event.commands) {
    AppendEntry(context, {.index = LastIndex(state).Next(),
                          .term = state.hard_state.term,
                          .kind = EntryKind::kCommand,
                          .payload = command});
  }
  state.pending_proposals.push_back({.tag = event.tag,
                                     .term = state.hard_state.term,
                                     .first_index = first,
                                     .last_index = LastIndex(state)});
  Replicate(context);
}

void ResolvePendingProposals(Context& context) {
  State& state = context.state;
  std::erase_if(state.pending_proposals, [&](const PendingProposal& proposal) {
    Outcome outcome = Outcome::kUnknown;
    if (!IsDecided(state, proposal, outcome)) return false;
    context.actions.proposal_responses.push_back(
        {.tag = proposal.tag,
         .outcome = outcome,
         .first_index = proposal.first_index,
         .last_index = proposal.last_index,
         .leader = state.leader});
    return true;
  });
}

}  // namespace samphirebank::consensus::internal
