// File: replicated_state.h
//
// The state machines that share the replicated log: contracts and claims.
#ifndef SAMPHIREBANK_CONTROL_INTERNAL_REPLICATED_STATE_H_
#define SAMPHIREBANK_CONTROL_INTERNAL_REPLICATED_STATE_H_

#include <string>
#include <string_view>
#include <variant>

#include "samphirebank/claims/claims.h"
#include "samphirebank/contracts/contracts.h"

namespace samphirebank::control {

// ReplicatedState is what the log's entries lead to.
struct ReplicatedState {
  contracts::Machine contracts;
  claims::State claims;
};

// Applied is the result of one entry; nothing for an entry that this version
// cannot read.
using Applied =
    std::variant<std::monostate, contracts::CommandResult, claims::ClaimReply>;

// ContractsEntry and ClaimsEntry return a log entry's bytes.
std::string ContractsEntry(const contracts::Command& command);
std::string ClaimsEntry(const claims::Command& command);

// ApplyEntry carries out one committed entry.
Applied ApplyEntry(ReplicatedState& state, std::string_view entry);

// EncodeState and DecodeState are the form of a snapshot. DecodeState returns
// false, and changes nothing, for malformed bytes.
std::string EncodeState(const ReplicatedState& state);
bool DecodeState(std::string_view bytes, ReplicatedState& into);

}  // namespace samphirebank::control

#endif  // SAMPHIREBANK_CONTROL_INTERNAL_REPLICATED_STATE_H_
