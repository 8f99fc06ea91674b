// File: server.h
//
// The control instance's shell: it joins the loop, the replicated log and the
// decisions of contracts, claims, lease and assignment.
#ifndef SAMPHIREBANK_CONTROL_INTERNAL_SERVER_H_
#define SAMPHIREBANK_CONTROL_INTERNAL_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "samphirebank/assignment/assignment.h"
#include "samphirebank/control/internal/in_force.h"
#include "samphirebank/control/internal/metrics.h"
#include "samphirebank/control/internal/operator_api.h"
#include "samphirebank/control/internal/replicated_state.h"
#include "samphirebank/lease/lease.h"
#include "samphirebank/net/net.h"
#include "samphirebank/replication/replication.h"
#include "samphirebank/settings/settings.h"
#include "samphirebank/wire/wire.h"

namespace samphirebank::control {

// Server is one control instance. It belongs to the loop's thread.
class Server {
 public:
  // Throws std::runtime_error if a port cannot be bound or the data folder
  // cannot be used.
  Server(net::Loop& event_loop, const settings::ControlSettings& given);

  // Stop ends the loop once all operator calls have their responses, at the
  // latest after some seconds. Until then the instance serves as before.
  void Stop();

  // failed says whether the instance had to stop.
  bool failed() const { return this->has_failed; }

 private:
  // Set-up.
  replication::Options ReplicationOptions() const;
  replication::Hooks MakeHooks();
  void OpenPorts();
  void StartTimers();

  // Replicated log.
  // ProposalDone receives the result; `applied` has a value for kCommitted,
  // unless so much was applied since that the result is no longer kept.
  using ProposalDone =
      std::function<void(ProposalResult result, const Applied& applied)>;
  void Propose(std::string entry, ProposalDone done);
  void ApplyOne(LogIndex index, const std::string& entry);
  void Restore(const std::string& bytes);
  void OnLeadership();
  void Fail(const std::string& reason);

  // Peers.
  void OnPacket(const net::SocketAddress& from, std::string_view message);
  void OnConfigPoll(const wire::Packet& packet);
  void OnConfigUpdate(const wire::Packet& packet);
  void OnPoolRequest(const wire::Opened& opened);
  void OnClaimRequest(const wire::Opened& opened);
  void ProposeClaim(const claims::Command& command);
  void SendTo(const net::SocketAddress& to, wire::Packet packet);
  void SendToMember(const InstanceId& instance, const wire::Packet& packet);
  // ForwardToLeader passes a packet on; does nothing without another leader.
  void ForwardToLeader(const wire::Packet& packet);
  bool IsMember(const InstanceId& instance) const;
  std::optional<net::SocketAddress> LeaderOperator() const;

  // Timers.
  void PollLeader();
  void ConfirmLease();
  void AssignPools();
  void WatchInstances();

  // Operators.
  void OnRequest(const std::shared_ptr<net::ServerStream>& stream);
  void Handle(const std::shared_ptr<net::ServerStream>& stream,
              const std::string& body);
  void StepStop();
  net::Response MetricsText();
  net::Response Ready() const;
  void Write(const std::shared_ptr<net::ServerStream>& stream,
             const OperatorCall& call);
  void FinishWrite(const std::shared_ptr<net::ServerStream>& stream,
                   const OperatorCall& call,
                   const contracts::CommandResult& outcome);
  void Read(const std::shared_ptr<net::ServerStream>& stream,
            const OperatorCall& call);
  net::Response ReadReply(const OperatorCall& call) const;

  net::Loop& loop;
  settings::ControlSettings settings;
  BootId boot;
  wire::Sealer sealer;
  wire::Opener opener;
  ReplicatedState state;
  lease::Holder holder;  // of the history it has only the revision
  InForceClock in_force;
  lease::Registry registry;
  lease::PieceLimit pieces;
  assignment::RequestedPools wanted;
  std::unique_ptr<net::PeerSocket> peers;
  std::unique_ptr<replication::Replication> replication;
  std::map<LogIndex, Applied> results;  // of the newest applied entries
  uint16_t operator_port = 0;
  bool led = false;
  TimePoint leads_since;
  TimePoint last_claim;  // this leader's newest claims entry
  uint64_t own_changes = 0;
  bool has_failed = false;
  // Calls that may not have their response yet.
  std::vector<std::weak_ptr<net::ServerStream>> open_calls;
  std::optional<TimePoint> stop_deadline;  // set by Stop
  Metrics metrics;
};

}  // namespace samphirebank::control

#endif  // SAMPHIREBANK_CONTROL_INTERNAL_SERVER_H_
