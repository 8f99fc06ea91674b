#include "samphirebank/admission/fair_shares_fleet.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace samphirebank::admission {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

bool Contains(const std::vector<size_t>& numbers, size_t number) {
  return std::ranges::find(numbers, number) != numbers.end();
}

}  // namespace

Figures SumOf(const std::vector<Figures>& slots, size_t first, size_t count) {
  Figures sum;
  for (size_t i = first; i < first + count; ++i) {
    sum.asked += slots[i].asked;
    sum.served += slots[i].served;
    sum.refused += slots[i].refused;
  }
  return sum;
}

bool IsBackloggedIn(const std::vector<Figures>& slots, size_t first) {
  for (size_t i = first; i < first + kSlotsOfWindow; i += 2) {
    if (slots[i].refused + slots[i + 1].refused == 0) return false;
  }
  return true;
}

Fleet::Fleet(const Scenario& given, const Design& chosen, uint64_t seed)
    : scenario(given),
      design(chosen),
      arrivals(seed),
      random(seed + 1),
      gateways(kGateways),
      engines(kEngines),
      figures(kOrganisations, std::vector<Figures>(kSlots)) {
  for (size_t i = 0; i < kEngines; ++i) {
    this->candidates.push_back(
        {.id = TargetId("t" + std::to_string(i)), .slots = 64});
    if (i % 3 == 0) this->engines[i].speed = this->scenario.slow_speed;
  }
  std::vector<double> weights;
  std::uniform_int_distribution<int> age(1, this->scenario.oldest_intervals);
  for (Gateway& gateway : this->gateways) {
    gateway.report_age = age(this->arrivals) * kReportInterval;
    const bool large = weights.size() % 10 == 0;
    weights.push_back(large ? 5.0 : 0.5 + 0.1 * (weights.size() % 10));
  }
  this->gateway_of =
      std::discrete_distribution<size_t>(weights.begin(), weights.end());
  this->SetDemands();
}

void Fleet::Run() {
  for (this->now = kStart; this->now < kStart + kSlots * kSlot;
       this->now += kStep) {
    this->ReadPrompts();
    this->RunProcessors();
    this->Wake();
    for (size_t i = 0; i < kOrganisations; ++i) this->Arrive(i);
    this->Retry();
    if ((this->now - kStart) % kReportInterval == Duration::zero()) {
      this->Report();
    }
  }
}

void Fleet::SetDemands() {
  double sum = 0;
  for (size_t i = 0; i < kOrganisations; ++i) {
    this->demands.push_back(std::pow(i + 1.0, -this->scenario.skew));
    sum += this->demands.back();
  }
  for (double& demand : this->demands) {
    demand *= this->scenario.usual_demand / sum;
  }
  this->demands[this->scenario.eightfold] *= 8;
  this->demands[this->scenario.twelvefold] *= 12;
}

bool Fleet::IsFrozen(size_t number) const {
  if (number % 10 != 3) return false;
  const Duration since = this->now - kStart - seconds(5 + number / 10);
  return since >= Duration::zero() && since < milliseconds(1500);
}

double Fleet::DemandOf(size_t organisation) const {
  double demand = this->demands[organisation];
  for (const Change& change : this->scenario.changes) {
    const Duration since = this->now - kStart;
    const bool applies = change.organisation == organisation &&
                         since >= change.from && since < change.until;
    if (applies) demand *= change.factor;
  }
  return demand;
}

size_t Fleet::DrawGateway(size_t organisation, std::mt19937_64& source) {
  const bool one = Contains(this->scenario.through_one, organisation);
  const size_t drawn = one ? 0 : this->gateway_of(source);
  return (drawn + organisation * 7) % kGateways;
}

bool Fleet::Serves(Gateway& gateway) const {
  if (this->scenario.gateway_capacity <= 0) return true;
  const bool serves = gateway.processor_left >= 1;
  gateway.processor_left -= serves ? 1 : kRefusalCost;
  return serves;
}

double Fleet::DemandAt(const Gateway& gateway, size_t organisation) const {
  if (!this->design.refused_is_demand) {
    return fleetload::Rate(gateway.asked[organisation], this->now);
  }
  return fleetload::Rate(gateway.admitted[organisation], this->now) +
         fleetload::Rate(gateway.refused[organisation], this->now);
}

void Fleet::AccruePaces(Gateway& gateway) const {
  for (size_t i = 0; i < kOrganisations; ++i) {
    const double here = fleetload::Rate(gateway.asked[i], this->now);
    const double all = here + gateway.others.rates[i].demand;
    const double part = all > 0 ? here / all : 1.0;
    Accrue({}, gateway.paces[i], gateway.ceiling * part, this->now);
  }
}

void Fleet::Arrive(size_t organisation) {
  const auto tokens = static_cast<double>(TokensOf(organisation));
  const double mean =
      this->DemandOf(organisation) / tokens * Seconds(kStep).count();
  const int count = std::poisson_distribution<int>(mean)(this->arrivals);
  for (int i = 0; i < count; ++i) {
    const size_t gateway = this->DrawGateway(organisation, this->arrivals);
    const uint64_t part = 1 + organisation * 8 + this->arrivals() % 8;
    this->At(organisation).asked += tokens;
    this->Offer(
        {.organisation = organisation, .gateway = gateway, .part = part});
  }
}

void Fleet::Retry() {
  while (!this->retries.empty() && this->retries.begin()->first <= this->now) {
    const Prompt prompt = this->retries.begin()->second;
    this->retries.erase(this->retries.begin());
    this->Offer(prompt);
  }
}

void Fleet::Wake() {
  for (size_t i = 0; i < kGateways; ++i) {
    if (this->gateways[i].held.empty() || this->IsFrozen(i)) continue;
    const std::vector<Prompt> held = std::move(this->gateways[i].held);
    this->gateways[i].held.clear();
    for (const Prompt& prompt : held) this->Offer(prompt);
  }
}

double Fleet::Alike(const Gateway& gateway, TimePoint now) {
  const bool told =
      gateway.told_at && now - *gateway.told_at < fleetload::kLoadReportTtl;
  return told ? 1.0 : static_cast<double>(kGateways);
}

void Fleet::Offer(Prompt prompt) {
  Gateway& gateway = this->gateways[prompt.gateway];
  if (this->IsFrozen(prompt.gateway)) {
    gateway.held.push_back(prompt);
    return;
  }
  const size_t organisation = prompt.organisation;
  const int64_t shared = SharedTokens(organisation);
  const auto tokens = static_cast<double>(TokensOf(organisation));
  const bool is_shed = !this->Serves(gateway);
  if (!is_shed || this->design.refused_is_demand) {
    fleetload::Add(gateway.asked[organisation], tokens, this->now);
  }
  if (is_shed) return this->Refuse(prompt, 0);
  const dispatch::RequestProfile profile{
      .shared = {{.id = prompt.part, .tokens = Tokens(shared)}},
      .unique_tokens = Tokens(TokensOf(organisation) - shared),
      .seed = this->random()};
  const auto choice =
      dispatch::Choose(gateway.tracker, this->candidates, profile, this->now);
  const double used =
      Alike(gateway, this->now) *
          fleetload::Rate(gateway.admitted[organisation], this->now) +
      gateway.others.rates[organisation].admitted;
  Pace& pace = gateway.paces[organisation];
  const bool is_patient = Contains(this->scenario.patient, organisation);
  const Decision decision = Decide(
      {}, {.latency_target = is_patient ? kLongTarget : kLatencyTarget,
           .wait = choice->wait + choice->duplicate_prefill_time,
           .mean_wait = choice->mean_wait,
           .used = used,
           .fair_shares = gateway.levels,
           .standing = StandingOf(gateway.standings,
                                  static_cast<fleetload::IdHash>(organisation)),
           .over_ceiling = IsOverCeiling(pace),
           .draw = Draw(this->random())});
  this->refused_ahead += decision == Decision::kRefusedAhead ? 1 : 0;
  this->admitted_behind += decision == Decision::kAdmittedBehind ? 1 : 0;
  if (!IsAdmitted(decision)) return this->Refuse(prompt, used);
  fleetload::Add(gateway.admitted[organisation], tokens, this->now);
  Spend(pace, tokens);
  this->At(organisation).served += tokens;
  dispatch::RecordSent(gateway.tracker, this->candidates[choice->index].id,
                       profile, choice->prefill_time, this->now);
  prompt.estimate = choice->prefill_time;
  this->Enqueue(choice->index, prompt);
}

void Fleet::Refuse(Prompt prompt, double used) {
  ++this->At(prompt.organisation).refused;
  fleetload::Add(this->gateways[prompt.gateway].refused[prompt.organisation],
                 static_cast<double>(TokensOf(prompt.organisation)), this->now);
  if (++prompt.attempt >= this->scenario.max_attempts) return;
  const Duration delay = RetryAfter(
      {}, used, this->gateways[prompt.gateway].levels.nominal, this->random());
  prompt.gateway = this->DrawGateway(prompt.organisation, this->random);
  this->retries.emplace(this->now + delay, prompt);
}

void Fleet::Enqueue(size_t number, Prompt prompt) {
  Engine& engine = this->engines[number];
  const bool cached = !engine.cached.try_emplace(prompt.part, true).second;
  const int64_t shared = cached ? SharedTokens(prompt.organisation) : 0;
  const auto read = static_cast<double>(TokensOf(prompt.organisation) - shared);
  prompt.left =
      duration_cast<Duration>(std::chrono::duration<double, std::milli>(
          read / kTokensPerMs / engine.speed));
  engine.waiting.push_back(prompt);
}

void Fleet::ReadPrompts() {
  for (size_t i = 0; i < kEngines; ++i) {
    Engine& engine = this->engines[i];
    Duration time = kStep;
    while (!engine.waiting.empty() && time > Duration::zero()) {
      Prompt& prompt = engine.waiting.front();
      const Duration part = std::min(time, prompt.left);
      prompt.left -= part;
      time -= part;
      if (prompt.left > Duration::zero()) break;
      dispatch::RecordPrefillDone(this->gateways[prompt.gateway].tracker,
                                  this->candidates[i].id, prompt.estimate);
      this->tokens_read += static_cast<double>(TokensOf(prompt.organisation));
      engine.waiting.pop_front();
    }
  }
}

void Fleet::RunProcessors() {
  const double capacity = this->scenario.gateway_capacity;
  constexpr Duration kLongestUnused = milliseconds(50);
  for (Gateway& gateway : this->gateways) {
    gateway.processor_left =
        std::min(gateway.processor_left + capacity * Seconds(kStep).count(),
                 capacity * Seconds(kLongestUnused).count());
  }
}

Told Fleet::OwnLoad(Gateway& gateway) const {
  Told load;
  for (size_t i = 0; i < kEngines; ++i) {
    const auto& state = gateway.tracker.targets[this->candidates[i].id];
    load.backlog_s[i] = Seconds(state.prefill_backlog).count();
  }
  for (size_t i = 0; i < kOrganisations; ++i) {
    load.rates[i] = {
        .demand = this->DemandAt(gateway, i),
        .admitted = fleetload::Rate(gateway.admitted[i], this->now)};
  }
  return load;
}

void Fleet::Report() {
  Moment moment;
  for (size_t i = 0; i < kGateways; ++i) {
    Gateway& gateway = this->gateways[i];
    if (!this->IsFrozen(i) && !this->LosesReports(i)) {
      gateway.own = this->OwnLoad(gateway);
      gateway.reported_at = this->now;
    }
    const bool fresh = gateway.reported_at && this->now - *gateway.reported_at <
                                                  fleetload::kLoadReportTtl;
    if (!fresh) continue;
    moment.own[i] = gateway.own;
    moment.sum.Add(gateway.own, 1.0);
  }
  this->moments.push_front(std::move(moment));
  constexpr size_t kMoments = 11;
  if (this->moments.size() > kMoments) this->moments.pop_back();
  for (size_t i = 0; i < kGateways; ++i) {
    if (!this->IsFrozen(i)) this->Tell(i);
  }
}

void Fleet::Tell(size_t number) {
  Gateway& gateway = this->gateways[number];
  const auto back = static_cast<size_t>(gateway.report_age / kReportInterval);
  const bool arrives = this->random() % 10 < this->scenario.arriving_tenths;
  if (arrives && !this->LosesReports(number) && back < this->moments.size()) {
    const Moment& moment = this->moments[back];
    gateway.others = moment.sum;
    gateway.others.Add(moment.own[number], -1.0);
    gateway.told_at = this->now;
  }
  const double alike = Alike(gateway, this->now);
  const Told own = this->OwnLoad(gateway);
  if (alike > 1.0) {
    gateway.others = {};
    for (size_t i = 0; i < kEngines; ++i) {
      gateway.others.backlog_s[i] = (alike - 1.0) * own.backlog_s[i];
    }
  }
  for (size_t i = 0; i < kEngines; ++i) {
    gateway.tracker.targets[this->candidates[i].id].peer_prefill_backlog =
        duration_cast<Duration>(Seconds(gateway.others.backlog_s[i]));
  }
  this->Refresh(gateway, own, alike);
}

void Fleet::Refresh(Gateway& gateway, const Told& own, double alike) const {
  RatesByOrganisation rates;
  std::vector<double> asks;
  double admitted = 0;
  for (size_t i = 0; i < kOrganisations; ++i) {
    const ServiceRates rate = {
        .demand = alike * own.rates[i].demand + gateway.others.rates[i].demand,
        .admitted =
            alike * own.rates[i].admitted + gateway.others.rates[i].admitted};
    rates[static_cast<fleetload::IdHash>(i)] = rate;
    asks.push_back(rate.demand);
    admitted += rate.admitted;
  }
  const double stated = this->scenario.stated_capacity;
  gateway.levels = {.nominal = fleetload::MaxMinFairShare(asks, stated),
                    .current = fleetload::MaxMinFairShare(
                        asks, CurrentCapacity(stated, admitted))};
  const bool used = this->design.standings && alike <= 1.0;
  gateway.standings = used ? ComputeStandings({}, rates) : Standings{};
  const bool capped = this->design.ceiling && alike <= 1.0;
  gateway.ceiling = capped ? ComputeCeiling({}, rates)
                           : std::numeric_limits<double>::infinity();
  this->AccruePaces(gateway);
}

}  // namespace samphirebank::admission
