// File: server.h
//
// The gateway's shell: what its sessions and exchanges share, and how it
// follows the coordinators.
#ifndef SAMPHIREBANK_GATEWAY_INTERNAL_SERVER_H_
#define SAMPHIREBANK_GATEWAY_INTERNAL_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "samphirebank/accounting/accounting.h"
#include "samphirebank/admission/admission.h"
#include "samphirebank/dialect/dialect.h"
#include "samphirebank/directory/directory.h"
#include "samphirebank/dispatch/dispatch.h"
#include "samphirebank/drain/drain.h"
#include "samphirebank/fleetload/fleetload.h"
#include "samphirebank/follow/follow.h"
#include "samphirebank/forwarding/forwarding.h"
#include "samphirebank/gateway/internal/metrics.h"
#include "samphirebank/gateway/internal/target_pool.h"
#include "samphirebank/link/link.h"
#include "samphirebank/memory/memory.h"
#include "samphirebank/origins/origins.h"
#include "samphirebank/process/process.h"
#include "samphirebank/quarantine/quarantine.h"
#include "samphirebank/ratelimit/ratelimit.h"
#include "samphirebank/residency/residency.h"
#include "samphirebank/rotation/rotation.h"
#include "samphirebank/routes/routes.h"
#include "samphirebank/settings/settings.h"
#include "samphirebank/shedding/shedding.h"
#include "samphirebank/signoff/signoff.h"
#include "samphirebank/warmup/warmup.h"
#include "samphirebank/web/web.h"

namespace samphirebank::gateway {

class Exchange;
class Session;

// TargetFilter says which targets of a service may get a request.
struct TargetFilter {
  residency::AllowedRegions regions{};
  // Set where a stream goes on: what began it.
  std::optional<origins::Software> software{};
};

// ChosenTarget is where a request goes.
struct ChosenTarget {
  TargetId id{};
  net::SocketAddress address{};
  Duration wait{};       // before its prompt is read
  Duration mean_wait{};  // at all targets of the service
  Duration again{};      // reading of what is cached at another target
  bool at_home = false;  // where its parts are likely to be cached
  Duration reading{};    // of its prompt, by the model of dispatch
  dispatch::Prediction prediction{};
  int64_t run_started_at_ms = 0;
  origins::Software software{};
  bool in_other_region = false;  // than this instance
};

// Share is how an organisation stands, in tokens a second over the fleet.
struct Share {
  double used = 0.0;
  bool over_ceiling = false;  // see admission
  admission::FairShares levels{};
  admission::Standing standing{};
};

// Server is one gateway. It belongs to the loop's thread.
class Server {
 public:
  // Throws std::runtime_error if an address cannot be bound.
  Server(boost::asio::io_context& event_loop,
         const settings::GatewaySettings& given,
         const dialect::Dialect& adapter);

  // BeginShutdown takes the instance out of rotation, lets running requests
  // end, and calls `done`.
  void BeginShutdown(std::function<void()> done);

  // What sessions and exchanges use.
  boost::asio::io_context& loop() { return this->event_loop; }
  const dialect::Dialect& dialect() const { return this->adapter; }
  std::shared_ptr<const routes::RouteIndex> index() const {
    return this->table;
  }
  routes::CallerLimits limits() const;
  bool draining() const { return this->shutdown_at.has_value(); }
  // takes_callers says whether the balancer may send new connections. Those
  // that are open stay: their callers would all go to one other instance.
  bool takes_callers() const {
    return this->table != nullptr && !this->draining() &&
           !this->rotation.is_out;
  }
  // KeepsCaller says whether a connection is kept after the answer that begins
  // now.
  bool KeepsCaller(TimePoint now);
  // busy_clock and ReadPeers are for whoever runs the loop; see
  // process::RunToEnd.
  process::BusyClock& busy_clock() { return this->busy; }
  void ReadPeers();
  // ShouldShed says whether a request of an organisation is refused at once
  // because this instance is overloaded.
  bool ShouldShed(const OrganisationId& organisation, uint64_t seed,
                  TimePoint now) const;
  Duration ShedRetryAfter(uint64_t seed) const {
    return shedding::RetryAfter(this->shedding.options, seed);
  }
  void NoteExchangeBegun() { ++this->exchanges; }
  void NoteExchangeEnded() { --this->exchanges; }
  // IsLate says whether what is read now may have waited in the kernel for
  // long.
  bool IsLate(TimePoint now) const;
  // takes_requests says whether a request that is read now is accepted, or
  // comes too late in a shutdown.
  bool takes_requests(TimePoint now) const;
  dispatch::TargetTracker& book() { return this->targets_book; }
  TargetPool& pool() { return this->connections; }
  // What is held of the callers' requests; see memory.
  const std::shared_ptr<memory::Budget>& budget() const {
    return this->held_budget;
  }
  bool has_budget() const {
    return this->held_budget->options.high_mark > Bytes(0);
  }
  OrganisationId OrganisationOf(web::Request head) const;
  void Forget(Session& session);
  // ResumeAtTick pauses reading from a target until the next tick.
  void ResumeAtTick(const std::shared_ptr<web::Connection>& source);

  // ReadyCount is how many targets of a service take new work.
  size_t ReadyCount(const ServiceId& service) const;
  // The functions below consider the targets of a service that `filter` allows.
  //
  // HasOtherTarget says whether there is one that was not tried.
  bool HasOtherTarget(const ServiceId& service, const TargetFilter& filter,
                      const std::set<TargetId>& tried, TimePoint now) const;
  // PauseLeft is how long all of them want no request; empty if one takes work.
  std::optional<Duration> PauseLeft(const ServiceId& service,
                                    const TargetFilter& filter,
                                    TimePoint now) const;
  std::optional<ChosenTarget> ChooseTarget(const ServiceId& service,
                                           const TargetFilter& filter,
                                           const dispatch::RequestProfile& work,
                                           TimePoint now);
  // MaySend says whether a request may still be sent to a run of a target that
  // was chosen for it.
  bool MaySend(const TargetId& target, int64_t run_started_at_ms,
               const TargetFilter& filter, TimePoint now) const;
  // The limits of cold targets and of those that state one; see warmup and
  // ratelimit.
  //
  // HasColdTarget says whether a ready target needs a token since it is cold.
  bool HasColdTarget(const ServiceId& service, const TargetFilter& filter,
                     TimePoint now) const;
  // HasRateLimitedTarget says whether one does since it states a rate limit.
  bool HasRateLimitedTarget(const ServiceId& service,
                            const TargetFilter& filter) const;
  // NoteStatedLimit records the rate limit that an answer of a target's run
  // names; empty if it names none.
  void NoteStatedLimit(const TargetId& target, int64_t run_started_at_ms,
                       std::optional<double> requests_per_second);
  // TakeToken reserves the right to send a request to a target; empty if the
  // target needs none.
  std::optional<warmup::Token> TakeToken(const TargetId& target, TimePoint now);
  void ReturnToken(const warmup::Token& token);
  // IsHeldBack says whether a target needs a token that is missing or has
  // expired.
  bool IsHeldBack(const TargetId& target,
                  const std::optional<warmup::Token>& token,
                  TimePoint now) const;
  // What an organisation asks for and gets; see fleetload and accounting.
  //
  // NoteArrival records a request before it is decided whether to shed it.
  void NoteArrival(const OrganisationId& organisation, Tokens tokens);
  void NoteAdmitted(const OrganisationId& organisation, Tokens tokens);
  // NoteRefused counts `tokens` as demand: zero if the request is not allowed.
  void NoteRefused(const OrganisationId& organisation,
                   accounting::Refusal reason, Tokens tokens);
  Share ShareOf(const OrganisationId& organisation, TimePoint now) const;
  const admission::Options& admission_options() const {
    return this->admission;
  }
  // Which software began the streams that callers take up; see origins.
  //
  // NoteOrigin records what began a stream whose first event goes out now.
  void NoteOrigin(const origins::Origin& origin);
  // IsInStep says whether the targets' versions are known well enough for a
  // stream to go on; see follow.
  bool IsInStep(TimePoint now) const {
    return follow::IsInStep(this->follower, now);
  }
  // LookUpOrigin calls OnOrigin of `exchange`: at once if the stream began
  // here, else when a coordinator has told its origin or none has in time.
  void LookUpOrigin(const std::shared_ptr<Exchange>& exchange,
                    origins::StreamKey stream, TimePoint now);
  // What is known of prompt parts that crash targets; see quarantine.
  std::optional<Duration> QuarantineLeft(
      const std::vector<quarantine::PartId>& parts, TimePoint now) const;
  bool IsSuspect(const std::vector<quarantine::PartId>& parts,
                 TimePoint now) const;
  bool IsWatched(quarantine::PartId part) const {
    return quarantine::IsWatched(this->quarantine, part);
  }
  void NoteAnswered(const std::vector<quarantine::PartId>& parts);
  void NoteDoubt(quarantine::Doubt doubt);
  // NoteAlive records that a run answered a request that was sent at `sent_at`.
  void NoteAlive(quarantine::RunHash run, TimePoint sent_at);
  // NotePieceFrom records that a piece of an answer was read from a run.
  void NotePieceFrom(quarantine::RunHash run, TimePoint read_at);
  // NoteCrash records that a target ended under a prompt whose answer had the
  // age `age`; see quarantine.
  void NoteCrash(const std::vector<quarantine::PartId>& parts,
                 const TargetId& target, quarantine::RunHash run, Duration age);
  // LoadText says what is known of a target's load, and how old that is.
  std::string LoadText(const TargetId& target, TimePoint now) const;
  // NoteFirstEvent learns from an answer that has begun; see costs.
  void NoteFirstEvent(const ServiceId& service, const TargetId& target,
                      const dispatch::Prediction& prediction, Duration elapsed,
                      TimePoint now);
  void NoteSendEnd(const TargetId& target, dispatch::HealthResult ending);
  // NoteLeaving records that a run of a target said that it leaves.
  void NoteLeaving(const TargetId& target, int64_t run_started_at_ms);
  void NoteUnreachable(const TargetId& target,
                       const net::SocketAddress& address);
  void NoteServiceRequest(const ServiceId& service);
  bool MayRepeat(const ServiceId& service, TimePoint now) const;
  void NoteRepeat(const ServiceId& service);

  void NoteRequest() { this->metrics.requests.Add(1); }
  void NoteConnect() { this->metrics.connects.Add(1); }
  void NoteBrokenOff(bool begun) {
    (begun ? this->metrics.broken_begun : this->metrics.broken_unbegun).Add(1);
  }
  void NoteRefusedForResidency() { this->metrics.refused_for_residency.Add(1); }
  void NoteRefusedForMemory() { this->metrics.refused_for_memory.Add(1); }
  void NoteRefusedForWarmup() { this->metrics.refused_for_warmup.Add(1); }
  void NoteRefusedForRateLimit() {
    this->metrics.refused_for_rate_limit.Add(1);
  }
  void NoteRefusedForOrigin() { this->metrics.refused_for_origin.Add(1); }
  void NoteAdmission(admission::Decision decision);
  void NoteTokenUsed() { this->metrics.warmup_tokens_used.Add(1); }
  void NoteChosenAgain() { this->metrics.chosen_again.Add(1); }
  void NoteSentToOtherRegion() { this->metrics.sent_to_other_region.Add(1); }
  void NoteUnreadable(int status);
  void NoteGivenUpUnread() { this->metrics.given_up_unread.Add(1); }
  void NoteOutcome(Outcome outcome, Duration latency);

 private:
  // What this gateway's callers ask, are admitted and are refused.
  struct Usage {
    fleetload::RateMeter asked{};
    fleetload::RateMeter admitted{};
    fleetload::RateMeter refused{.time_constant =
                                     fleetload::kRefusedTimeConstant};
    admission::Pace pace{};
  };

  std::vector<const directory::Announcement*> TargetsWithWork(
      const ServiceId& service, const TargetFilter& filter,
      TimePoint now) const;
  std::vector<const directory::Announcement*> ReadyTargets(
      const ServiceId& service, const TargetFilter& filter) const;
  // AllowsAll says whether `filter` allows every target now.
  bool AllowsAll(const TargetFilter& filter) const;
  bool Allows(const TargetFilter& filter,
              const directory::Announcement& target) const;
  double ColdRate(const ServiceId& service) const;
  // IsColdLimited says whether a target is cold and its service has a limit.
  bool IsColdLimited(const directory::Announcement& target,
                     TimePoint now) const;
  // LimitOf returns the limit of a target, to which requests need a token;
  // empty if it has none.
  std::optional<warmup::LimitedTarget> LimitOf(
      const directory::Announcement& target, TimePoint now) const;
  // HasLimits says whether any target may be limited.
  bool HasLimits() const {
    return !this->cold_targets.entries.empty() ||
           !this->stated_limits.entries.empty();
  }
  // IsLimited says whether requests to a target need a token.
  bool IsLimited(const directory::Announcement& target, TimePoint now) const;
  // RemoveHeldBack removes the targets that need a token that is not here.
  void RemoveHeldBack(std::vector<const directory::Announcement*>* ready,
                      TimePoint now) const;
  void TakeColdReports(const follow::Update& update, TimePoint now);
  void ExpectCold(const std::vector<ZoneId>& restored, TimePoint now);
  void AskForTokens(const net::SocketAddress& coordinator, TimePoint now);
  void TakeGrant(const warmup::WarmupGrant& grant);
  bool MayUseZone(const ZoneId& zone,
                  const residency::AllowedRegions& allowed) const;
  // RegionOf returns the region of a zone; empty if the settings name none.
  std::optional<RegionId> RegionOf(const ZoneId& zone) const;
  void Listen();
  void StartTimer();
  void Tick();
  void WatchOverload(TimePoint now);
  void ResumePaused();
  void CloseSurplus();
  void WatchControl(TimePoint now);
  void ForgetTargets(TimePoint now);
  // PruneRestricted drops the targets that take work again, and those to which
  // nothing is sent in any case.
  void PruneRestricted(TimePoint now);
  void SendPolls(TimePoint now);
  void ReportLoad(TimePoint now);
  // LogAccounts logs which organisations were refused, and how they stand.
  void LogAccounts(TimePoint now);
  std::string AccountText(const accounting::Entry& entry, TimePoint now) const;
  void ReportEvidence(const net::SocketAddress& coordinator, TimePoint now);
  void JudgeParts(TimePoint now);
  // LookAtAnswers finds out which answers go on, if that matters.
  void LookAtAnswers();
  void ReportOrigins(TimePoint now);
  void AskForOrigins(const std::vector<origins::StreamKey>& streams,
                     const InstanceId& coordinator);
  void StepLookups(TimePoint now);
  void TakeOrigins(const origins::OriginReply& reply);
  void TakeLoadSum(const fleetload::Load& load, TimePoint now);
  bool IsTold(TimePoint now) const;
  double GatewaysAlike(TimePoint now) const;
  // DemandOf returns what an organisation demands here, in tokens per second:
  // what it is admitted and what it is refused, for whatever reason.
  static double DemandOf(const Usage& use, TimePoint now);
  void GuessOthers(TimePoint now);
  void RefreshLevel(TimePoint now);
  void RefreshStandings(const admission::RatesByOrganisation& rates,
                        TimePoint now);
  double StatedCapacity() const;
  // PartOf returns which part of an organisation's demand comes here, from 0 to
  // 1. `here` is what it asks here, in tokens per second.
  double PartOf(const OrganisationId& organisation, double here) const;
  // AccruePaces adds to what each organisation may be admitted below its part
  // of the ceiling; see admission.
  void AccruePaces(TimePoint now);
  void OnPacket(const wire::Opened& opened);
  bool TakePacket(const wire::Opened& opened);
  void AnswerRunQuery(const InstanceId& from, const signoff::RunQuery& query,
                      TimePoint now);
  void OnUpdate(const InstanceId& from, const follow::Update& update);
  void NoteZones(const InstanceId& from);
  void InstallTable(const wire::Opened& message, routes::RouteTable newer);
  // ArrivalText says how old a message is by its sender's clock, and for how
  // long this instance has been busy without a break.
  std::string ArrivalText(const wire::Opened& message, TimePoint now) const;
  net::SocketAddress PeerAddress(const InstanceId& instance) const;
  dispatch::Distance DistanceTo(const ZoneId& zone) const;
  ServiceId ServiceOf(const TargetId& target) const;
  forwarding::BudgetOptions BudgetOptions() const;
  drain::Options DrainOptions() const;
  // IsIdle returns whether no connection of a caller is open for a request or
  // has bytes to send.
  bool IsIdle();
  void StepShutdown(TimePoint now);
  web::Answer MetricsText();

  boost::asio::io_context& event_loop;
  settings::GatewaySettings settings;
  const dialect::Dialect& adapter;
  std::map<ZoneId, RegionId> regions;
  std::shared_ptr<const routes::RouteIndex> table;
  directory::Directory directory;
  follow::Follower follower;
  dispatch::TargetTracker targets_book;
  TargetPool connections;
  std::shared_ptr<memory::Budget> held_budget;
  std::vector<std::weak_ptr<web::Connection>> paused;
  std::map<ServiceId, forwarding::RepeatBudget> budgets;
  std::map<OrganisationId, Usage> usage;
  accounting::Accounts accounts;  // since accounts_logged_at
  TimePoint accounts_logged_at;
  // What other gateways told, and when.
  std::unordered_map<fleetload::IdHash, fleetload::OrganisationRates>
      others_usage;
  std::optional<TimePoint> others_told_at;
  admission::FairShares levels;
  admission::Standings standings;
  double ceiling = std::numeric_limits<double>::infinity();  // tokens/s
  admission::Options admission;
  std::set<std::shared_ptr<Session>> sessions;
  std::unique_ptr<link::Link> peers;
  std::unique_ptr<web::Listener> callers;
  std::unique_ptr<web::Server> ready_server;
  std::unique_ptr<web::Server> metrics_server;
  boost::asio::steady_timer timer;
  std::optional<TimePoint> control_lost_at;
  TimePoint started_at;
  TimePoint in_contact_since;
  rotation::Rotation rotation;
  shedding::Shedding shedding;
  quarantine::Quarantine quarantine;
  warmup::ColdTargets cold_targets;
  ratelimit::StatedLimits stated_limits;
  warmup::Allowance allowance;
  TimePoint evicted_at;  // old evidence of it
  // Lookup is a stream whose origin is being asked for.
  struct Lookup {
    std::vector<std::weak_ptr<Exchange>> waiting{};
    TimePoint begun_at{};
  };
  origins::Registry origins;  // of the streams that began here
  origins::Outbox origin_reports;
  // The run of the coordinator that has all reports.
  std::pair<InstanceId, BootId> reported_to;
  std::map<origins::StreamKey, Lookup> lookups;
  process::BusyClock busy;
  Duration last_delay{};  // at the newest tick
  size_t exchanges = 0;   // requests that are not answered to their end
  uint64_t answers_begun = 0;
  std::optional<TimePoint> shutdown_at;  // when it began
  std::function<void()> shutdown_done;
  // Connections that may still have to send the end of a response.
  std::vector<std::weak_ptr<web::Connection>> closing;
  Metrics metrics;
};

}  // namespace samphirebank::gateway

#endif  // SAMPHIREBANK_GATEWAY_INTERNAL_SERVER_H_
