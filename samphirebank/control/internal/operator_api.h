// File: operator_api.h
//
// The operators' HTTP interface without I/O: requests to typed calls, results
// to responses.
#ifndef SAMPHIREBANK_CONTROL_INTERNAL_OPERATOR_API_H_
#define SAMPHIREBANK_CONTROL_INTERNAL_OPERATOR_API_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/base/base.h"
#include "samphirebank/contracts/contracts.h"
#include "samphirebank/lease/lease.h"
#include "samphirebank/net/net.h"
#include "samphirebank/replication/replication.h"

namespace samphirebank::control {

using replication::ProposalResult;
using replication::Voter;

// CallKind says what an operator asks for.
enum class CallKind : uint8_t {
  kRejected,  // `rejection` is the answer
  kWrite,
  kListContracts,
  kGetContract,
  kListTargets,
  kStatus,
  kReplaceMember,
};

// OperatorCall is a checked request.
struct OperatorCall {
  CallKind kind = CallKind::kRejected;
  net::Response rejection;
  contracts::Command command;   // kWrite
  bool wait_in_force = false;   // kWrite
  OrganisationId organisation;  // kGetContract
  InstanceId member;            // kReplaceMember
};

// ReadOperatorCall checks a request against the operator token and the
// interface; every fault of a document is reported in one answer.
OperatorCall ReadOperatorCall(const net::RequestHead& head,
                              const std::string& body,
                              std::string_view operator_token);

// Problem returns an application/problem+json response.
net::Response Problem(int status, std::string_view title,
                      std::string_view detail, const Findings& findings = {});

// NotLeader returns 421 with the leader's operator address, if it is known.
net::Response NotLeader(const std::optional<net::SocketAddress>& leader);

// WriteReply answers a write from its outcome: 200 with the revision, or 409
// with who won and what stands.
net::Response WriteReply(const contracts::CommandResult& outcome,
                         const contracts::Command& command,
                         const contracts::Configuration& configuration,
                         bool in_force, Duration in_force_after);

// FailedWrite answers a write that has no outcome.
net::Response FailedWrite(ProposalResult result);

// ContractList, ContractReply and TargetList render the configuration.
net::Response ContractList(const contracts::Configuration& configuration);
net::Response ContractReply(const contracts::Configuration& configuration,
                            const OrganisationId& organisation);
net::Response TargetList(const contracts::Configuration& configuration);

// StatusView is what `status` shows.
struct StatusView {
  InstanceId self;
  std::optional<InstanceId> leader;
  Term term;
  LogIndex log_index;
  std::vector<Voter> voters;
  Duration lease_left{0};
  Duration in_force_after{0};
};

// StatusReply renders the view and all instances that were heard.
net::Response StatusReply(const StatusView& view,
                          const contracts::Configuration& configuration,
                          const lease::Registry& registry, TimePoint now);

}  // namespace samphirebank::control

#endif  // SAMPHIREBANK_CONTROL_INTERNAL_OPERATOR_API_H_
