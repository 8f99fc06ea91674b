// File: fair_shares_fleet.h
//
// The fleet that fair_shares_test plays in simulated time: gateways of unequal
// size, engines, and organisations whose callers come again when refused.
#ifndef SAMPHIREBANK_ADMISSION_FAIR_SHARES_FLEET_H_
#define SAMPHIREBANK_ADMISSION_FAIR_SHARES_FLEET_H_

#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "samphirebank/admission/admission.h"
#include "samphirebank/dispatch/dispatch.h"
#include "samphirebank/fleetload/fleetload.h"

namespace samphirebank::admission {

inline constexpr Duration kStep = std::chrono::milliseconds(5);
inline constexpr Duration kReportInterval = std::chrono::milliseconds(100);
inline constexpr Duration kSlot = std::chrono::milliseconds(500);
inline constexpr size_t kSlotsOfWindow = 12;  // six seconds
inline constexpr size_t kSlots = 60;
inline constexpr size_t kWarmUpSlots = 8;
inline constexpr size_t kGateways = 80;
inline constexpr size_t kEngines = 24;
inline constexpr size_t kOrganisations = 30;
inline constexpr int64_t kMostTokens = 5'250;  // of a prompt
inline constexpr double kTokensPerMs = 55.0;   // of an engine
inline constexpr Duration kLatencyTarget = std::chrono::milliseconds(800);
inline const TimePoint kStart{std::chrono::seconds(1000)};

// Change multiplies the demand of one organisation for a while.
struct Change {
  size_t organisation = 0;
  Duration from{};  // since kStart
  Duration until{};
  double factor = 1.0;
};

// Design says which decisions are played.
struct Design {
  bool standings = false;
  bool ceiling = false;
  // Demand is what is admitted and, with a short memory, what is refused, also
  // by an overloaded gateway; else what is asked where no gateway is
  // overloaded.
  bool refused_is_demand = false;
};

// Scenario is one load. Rates are in tokens a second.
struct Scenario {
  std::string name;
  double usual_demand = 0;  // of all organisations
  double skew = 2.0;        // the demand falls with this power of the rank
  double stated_capacity = 0;
  double slow_speed = 1.0;  // of a third of the engines
  size_t eightfold = 1;
  size_t twelvefold = 2;
  // Sums of reports are 1 to oldest_intervals report intervals old, the same
  // at each gateway, and arrive with this chance; the older they are.
  int oldest_intervals = 4;
  uint64_t arriving_tenths = 7;
  int max_attempts = 3;
  std::vector<Change> changes{};
  // Organisations whose callers come through one gateway.
  std::vector<size_t> through_one{};
  // Organisations with a latency target of kLongTarget.
  std::vector<size_t> patient{};
  // Requests a second that the processor of a gateway serves; 0: all. Others
  // are refused at once, which takes kRefusalCost of a request.
  double gateway_capacity = 0;
};
inline constexpr double kRefusalCost = 0.2;
inline constexpr Duration kLongTarget = std::chrono::milliseconds(2000);

// Prompt waits at an engine until it is read.
struct Prompt {
  size_t organisation = 0;
  size_t gateway = 0;
  int attempt = 0;
  uint64_t part = 0;
  Duration estimate{};
  Duration left{};
};

struct Engine {
  std::deque<Prompt> waiting{};
  double speed = 1.0;
  std::map<uint64_t, bool> cached{};
};

// Told is the load of one gateway, or the sum over several.
struct Told {
  std::vector<double> backlog_s = std::vector<double>(kEngines);
  std::vector<ServiceRates> rates = std::vector<ServiceRates>(kOrganisations);

  void Add(const Told& other, double factor) {
    for (size_t i = 0; i < kEngines; ++i) {
      this->backlog_s[i] += factor * other.backlog_s[i];
    }
    for (size_t i = 0; i < kOrganisations; ++i) {
      this->rates[i].demand += factor * other.rates[i].demand;
      this->rates[i].admitted += factor * other.rates[i].admitted;
    }
  }
};

struct Gateway {
  dispatch::TargetTracker tracker{};
  std::vector<fleetload::RateMeter> asked =
      std::vector<fleetload::RateMeter>(kOrganisations);
  std::vector<fleetload::RateMeter> admitted =
      std::vector<fleetload::RateMeter>(kOrganisations);
  std::vector<fleetload::RateMeter> refused = std::vector<fleetload::RateMeter>(
      kOrganisations, {.time_constant = fleetload::kRefusedTimeConstant});
  Told own{};  // as last reported
  std::optional<TimePoint> reported_at{};
  Told others{};
  std::optional<TimePoint> told_at{};
  Duration report_age{};
  FairShares levels{};
  Standings standings{};
  std::vector<Pace> paces = std::vector<Pace>(kOrganisations);
  double ceiling = std::numeric_limits<double>::infinity();
  double processor_left = 0;   // in requests
  std::vector<Prompt> held{};  // while it is frozen
};

// Figures are the tokens of one organisation in one slot.
struct Figures {
  double asked = 0;  // first attempts
  double served = 0;
  uint64_t refused = 0;  // requests
};

using Slots = std::vector<std::vector<Figures>>;  // by organisation and slot

// SumOf returns the sum over `count` slots.
Figures SumOf(const std::vector<Figures>& slots, size_t first, size_t count);

// IsBackloggedIn returns whether an organisation was refused in each second of
// the window that begins at the slot `first`.
bool IsBackloggedIn(const std::vector<Figures>& slots, size_t first);

// Fleet plays one scenario.
class Fleet {
 public:
  Fleet(const Scenario& given, const Design& chosen, uint64_t seed);

  void Run();

  const Slots& result() const { return this->figures; }
  const std::vector<double>& demand() const { return this->demands; }
  double tokens_read = 0;  // by the engines
  uint64_t refused_ahead = 0;
  uint64_t admitted_behind = 0;

 private:
  void SetDemands();

  // A tenth of the gateways freeze for 1.5 s, each at another time; another
  // tenth loses all reports for 3 s, all at the same time.
  bool IsFrozen(size_t number) const;
  bool LosesReports(size_t number) const {
    const Duration since = this->now - kStart - std::chrono::seconds(14);
    return number % 10 == 5 && since >= Duration::zero() &&
           since < std::chrono::seconds(3);
  }

  static int64_t TokensOf(size_t organisation) {
    return kMostTokens - 3'750 +
           750 * static_cast<int64_t>((organisation * 5 + 1) % 6);
  }
  static int64_t SharedTokens(size_t organisation) {
    return TokensOf(organisation) / 2;
  }

  Figures& At(size_t organisation) {
    const auto slot = static_cast<size_t>((this->now - kStart) / kSlot);
    return this->figures[organisation][slot];
  }

  void Arrive(size_t organisation);
  // DemandOf returns what an organisation asks now, DemandAt what a gateway
  // tells of it; tokens per second.
  double DemandOf(size_t organisation) const;
  size_t DrawGateway(size_t organisation, std::mt19937_64& source);
  // Serves says whether the gateway's processor serves one more request.
  bool Serves(Gateway& gateway) const;
  double DemandAt(const Gateway& gateway, size_t organisation) const;
  void AccruePaces(Gateway& gateway) const;

  void Retry();

  void Wake();

  static double Alike(const Gateway& gateway, TimePoint now);

  void Offer(Prompt prompt);

  void Refuse(Prompt prompt, double used);

  void Enqueue(size_t number, Prompt prompt);

  void ReadPrompts();
  // RunProcessors gives each gateway the processor time of a step.
  void RunProcessors();

  Told OwnLoad(Gateway& gateway) const;

  // Moment holds what the coordinators know at one time.
  struct Moment {
    Told sum{};
    std::vector<Told> own = std::vector<Told>(kGateways);
  };

  void Report();

  void Tell(size_t number);

  // Refresh does what the gateway's RefreshLevel does.
  void Refresh(Gateway& gateway, const Told& own, double alike) const;

  const Scenario& scenario;
  Design design;
  std::mt19937_64 arrivals;  // the same with and without standings
  std::mt19937_64 random;
  std::discrete_distribution<size_t> gateway_of;
  TimePoint now = kStart;
  std::vector<double> demands;
  std::vector<dispatch::Candidate> candidates;
  std::vector<Gateway> gateways;
  std::vector<Engine> engines;
  std::multimap<TimePoint, Prompt> retries;
  std::deque<Moment> moments;
  Slots figures;
};

}  // namespace samphirebank::admission

#endif  // SAMPHIREBANK_ADMISSION_FAIR_SHARES_FLEET_H_
