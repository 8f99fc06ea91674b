// File: server.h
//
// The coordinator's shell: it joins the loop, the replicated log, the
// directory and the links to gateways and other coordinators.
#ifndef SAMPHIREBANK_COORDINATOR_INTERNAL_SERVER_H_
#define SAMPHIREBANK_COORDINATOR_INTERNAL_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "samphirebank/coordinator/internal/document.h"
#include "samphirebank/dialect/dialect.h"
#include "samphirebank/directory/directory.h"
#include "samphirebank/evacuation/evacuation.h"
#include "samphirebank/fleetload/fleetload.h"
#include "samphirebank/follow/follow.h"
#include "samphirebank/link/link.h"
#include "samphirebank/metrics/metrics.h"
#include "samphirebank/origins/origins.h"
#include "samphirebank/quarantine/quarantine.h"
#include "samphirebank/replication/replication.h"
#include "samphirebank/settings/settings.h"
#include "samphirebank/signoff/signoff.h"
#include "samphirebank/warmup/warmup.h"
#include "samphirebank/web/web.h"

namespace samphirebank::coordinator {

// Metrics of one coordinator.
struct Metrics {
  metrics::Registry registry{};
  metrics::Gauge& leads;
  metrics::Gauge& term;
  metrics::Gauge& voters;
  metrics::Gauge& table_version;
  metrics::Gauge& targets;
  metrics::Gauge& followers;
  metrics::Gauge& disk_full;
  metrics::Counter& heartbeats;
  metrics::Counter& heartbeats_refused;
  metrics::Counter& sign_offs_accepted;
  metrics::Counter& sign_offs_refused;
  metrics::Counter& tables_accepted;
  metrics::Counter& tables_refused;
  metrics::Gauge& evacuated_zones;
  metrics::Counter& zone_orders_accepted;
  metrics::Counter& zone_orders_refused;
  metrics::Counter& warmup_tokens_granted;
  metrics::Gauge& stream_origins;
  metrics::Histogram& commit_time;

  Metrics();
};

// Server is one coordinator. It belongs to the loop's thread.
class Server {
 public:
  // Throws std::runtime_error if an address cannot be bound or the data folder
  // cannot be used.
  Server(boost::asio::io_context& event_loop,
         const settings::CoordinatorSettings& given,
         const dialect::Dialect& adapter);

  // Stop hands over this instance's vote, and calls `done` once that is over
  // and all orders have their answers. Until then the instance serves as
  // before.
  void Stop(std::function<void()> done);
  // ReadPeers is for whoever runs the loop; see process::RunToEnd.
  void ReadPeers() { this->peers->ReadWaiting(); }
  // failed says whether the instance had to stop.
  bool failed() const { return this->has_failed; }

 private:
  // FollowerRecord is an instance that polls this one.
  struct FollowerRecord {
    directory::Position position{};
    routes::TableVersion table{};
    TimePoint polled_at{};
    uint64_t poll_sent_ms = 0;  // by the follower's clock
    TimePoint table_sent_at{};
    routes::TableVersion table_sent{};
    TimePoint load_sent_at{};
    bool is_gateway = true;
    bool takes_table = true;  // newer ones come from this instance
  };

  // SignOff is a target's call that waits for its decision.
  struct SignOff {
    signoff::Pending pending{};
    web::Reply reply{};
  };

  // EndedRunRecord is a run of which the other coordinators are told.
  struct EndedRunRecord {
    directory::Announcement run{};
    TimePoint told_until{};
  };

  replication::Options ReplicationOptions() const;
  replication::Hooks MakeHooks();
  void StartTimer();
  void Tick();
  // StepStop ends a Stop that has nothing to wait for any more.
  void StepStop(TimePoint now);
  void After(Duration delay, std::function<void()> action);

  // Replicated log.
  void Apply(const std::string& entry);
  void Restore(const std::string& bytes);
  // TakeDocumentSoon reads the newest document once in a turn of the loop: a
  // restarted instance applies all that its log holds in one turn.
  void TakeDocumentSoon();
  // PushUpdatesAfter sends all gateways an update after `delay`, one for all
  // that changes until then.
  void PushUpdatesAfter(Duration delay);
  void TakeDocument();
  void OnLeadership();
  void Fail(const std::string& reason);

  // Other instances.
  net::SocketAddress PeerAddress(const InstanceId& instance) const;
  void OnPacket(const wire::Opened& opened);
  bool TakePacket(const wire::Opened& opened);
  bool TakeSums(const wire::Opened& opened);
  bool TakeOriginPacket(const wire::Opened& opened);
  void OnPoll(const InstanceId& from, const follow::Poll& poll);
  void OnUpdate(const InstanceId& from, const follow::Update& update);
  void SendUpdate(const InstanceId& to, const FollowerRecord& record);
  void SendTable(const InstanceId& to, FollowerRecord& record, TimePoint now);
  void AnswerLoad(const InstanceId& from, fleetload::Load load);
  void ShareLoad(TimePoint now);
  void AnswerWarmup(const InstanceId& from,
                    const warmup::WarmupRequest& request);
  void SendEvidence(const InstanceId& to, TimePoint now);
  void ShareEvidence(TimePoint now);
  void TakeOriginReport(const origins::OriginReport& report);
  void TakeOriginShare(const origins::OriginShare& share);
  void AnswerOriginQuery(const InstanceId& from,
                         const origins::OriginQuery& query);
  void ShareOrigins(TimePoint now);
  void PushUpdates();
  void PushTable();
  uint32_t CountGateways(TimePoint now) const;

  // Orders.
  void OnRequest(const web::Request& request, const web::Reply& reply);
  void Put(const routes::RouteTable& table, const std::string& text,
           const web::Reply& reply);
  void FinishPut(routes::TableVersion version, TimePoint begun,
                 replication::ProposalResult result, const web::Reply& reply);
  void Get(const web::Reply& reply);
  void TakeHeartbeat(const directory::Announcement& announcement,
                     const web::Reply& reply);
  // A sign-off is decided once it is known which run it ends; see signoff.
  void TakeSignOff(const TargetId& target, const web::Reply& reply);
  void AskForRun(uint64_t number, TimePoint now);
  void AnswerRunQuery(const InstanceId& from, const signoff::RunQuery& query);
  void TakeRunReport(const InstanceId& from, const signoff::RunReport& report);
  void StepSignOff(uint64_t number, TimePoint now);
  void StepSignOffs(TimePoint now);
  void EndRun(const directory::Announcement& run, TimePoint now);
  void ShareEndedRuns(TimePoint now);
  bool HasJustStarted(TimePoint now) const;
  std::set<InstanceId> OtherCoordinators(TimePoint now) const;
  void TakeZoneOrder(const dialect::ZoneOrder& asked, const std::string& path,
                     const web::Reply& reply);
  void FinishZoneOrder(const evacuation::Order& order, const std::string& path,
                       TimePoint begun, replication::ProposalResult result,
                       const web::Reply& reply);
  void RefuseZoneOrder(const evacuation::Order& order, int status,
                       const std::string& reason, const web::Reply& reply);
  void GetEvacuations(const std::string& path, const web::Reply& reply);
  // Redirect names the leader's address of `path`, or asks to come back.
  void Redirect(const std::string& path, const web::Reply& reply) const;
  bool IsCutOff(TimePoint now) const;
  web::Answer MetricsText();

  boost::asio::io_context& loop;
  settings::CoordinatorSettings settings;
  const dialect::Dialect& dialect;
  InstanceId self;  // by its IP number
  BootId boot;
  DocumentState document;
  bool document_waits = false;  // to be read
  bool updates_wait = false;    // to be pushed
  routes::RouteTable table;     // of the newest document
  directory::Directory directory;
  follow::Follower others;  // coordinators, to find the group
  std::map<InstanceId, FollowerRecord> followers;
  uint32_t num_gateways = 0;  // that follow, as of the newest tick
  fleetload::Aggregate loads;
  TimePoint load_shared_at{};  // with the other coordinators
  quarantine::Aggregate evidence;
  origins::Registry origins;  // of the streams of all gateways
  origins::Outbox origin_shares;
  warmup::Grantor grantor;
  signoff::Options sign_off_options;
  std::map<uint64_t, SignOff> sign_offs;  // by the number of their queries
  uint64_t last_query;
  std::vector<EndedRunRecord> ended_runs;
  std::unique_ptr<link::Link> peers;
  std::unique_ptr<replication::Replication> replication;
  std::unique_ptr<web::Server> control_server;
  std::unique_ptr<web::Server> metrics_server;
  boost::asio::steady_timer timer;
  TimePoint started_at;
  TimePoint leader_known_at;
  bool led = false;
  std::function<void()> stopped;  // set while Stop waits for orders
  TimePoint stop_deadline;
  bool has_failed = false;
  Metrics metrics;
};

}  // namespace samphirebank::coordinator

#endif  // SAMPHIREBANK_COORDINATOR_INTERNAL_SERVER_H_
