// What a gateway tells of its load, and what it is told of all others'.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "samphirebank/events/events.h"
#include "samphirebank/gateway/internal/server.h"
#include "samphirebank/process/process.h"

namespace samphirebank::gateway {
namespace {

using process::Now;
using std::chrono::milliseconds;

// Rates below it, in tokens a second, are not told and forgotten.
constexpr double kLeastRate = 1.0;
// Organisations that were refused are logged once in this period, at most so
// many of them.
constexpr Duration kAccountPeriod = std::chrono::seconds(1);
constexpr size_t kMostAccountsLogged = 10;

uint32_t Whole(double rate) {
  return static_cast<uint32_t>(std::lround(std::max(rate, 0.0)));
}

}  // namespace

void Server::NoteArrival(const OrganisationId& organisation, Tokens tokens) {
  accounting::RecordAsked(this->accounts, organisation, tokens);
  fleetload::Add(this->usage[organisation].asked,
                 static_cast<double>(tokens.value), Now());
}

void Server::NoteAdmitted(const OrganisationId& organisation, Tokens tokens) {
  const auto amount = static_cast<double>(tokens.value);
  Usage& use = this->usage[organisation];
  fleetload::Add(use.admitted, amount, Now());
  admission::Spend(use.pace, amount);
  accounting::RecordAdmitted(this->accounts, organisation, tokens);
}

void Server::NoteRefused(const OrganisationId& organisation,
                         accounting::Refusal reason, Tokens tokens) {
  accounting::RecordRefused(this->accounts, organisation, reason, tokens);
  this->metrics.refused_by_reason[static_cast<size_t>(reason)]->Add(1);
  if (tokens == Tokens(0)) return;
  fleetload::Add(this->usage[organisation].refused,
                 static_cast<double>(tokens.value), Now());
}

void Server::NoteAdmission(admission::Decision decision) {
  if (decision == admission::Decision::kRefusedAhead) {
    this->metrics.refused_ahead.Add(1);
  }
  if (decision == admission::Decision::kAdmittedBehind) {
    this->metrics.admitted_behind.Add(1);
  }
}

void Server::ReportLoad(TimePoint now) {
  std::erase_if(this->usage, [now](const auto& item) {
    return DemandOf(item.second, now) < kLeastRate;
  });
  this->RefreshLevel(now);
  this->AccruePaces(now);
  const auto to = follow::NearestResponsive(this->follower, now);
  if (!to) return;
  fleetload::LoadReport report;
  for (const auto& [target, record] : this->targets_book.targets) {
    const auto waits =
        std::chrono::duration_cast<milliseconds>(record.prefill_backlog)
            .count();
    if (waits <= 0) continue;
    report.load.targets.push_back({.target = fleetload::HashId(target.value),
                                   .prefill_ms = static_cast<uint32_t>(waits)});
  }
  for (const auto& [organisation, used] : this->usage) {
    report.load.organisations.push_back(
        {.organisation = fleetload::HashId(organisation.value),
         .demand = Whole(DemandOf(used, now)),
         .admitted = Whole(fleetload::Rate(used.admitted, now))});
  }
  this->peers->Send(this->PeerAddress(*to), wire::Encode(report));
  this->ReportEvidence(this->PeerAddress(*to), now);
  this->AskForTokens(this->PeerAddress(*to), now);
}

std::string Server::AccountText(const accounting::Entry& entry,
                                TimePoint now) const {
  const Share share = this->ShareOf(entry.organisation, now);
  return accounting::ToText(entry.account) + "; fleet: admitted " +
         std::to_string(Whole(share.used)) + " tokens/s, nominal share " +
         std::to_string(share.levels.nominal) + ", standing " +
         std::to_string(share.standing.ratio) + "; shed fraction " +
         std::to_string(this->shedding.refused_fraction);
}

void Server::LogAccounts(TimePoint now) {
  if (now - this->accounts_logged_at < kAccountPeriod) return;
  this->accounts_logged_at = now;
  std::optional<Duration> age;
  if (this->others_told_at) age = now - *this->others_told_at;
  for (const accounting::Entry& entry :
       accounting::TakeMostRefused(this->accounts, kMostAccountsLogged)) {
    events::Log({.number = events::Number::kOrganisationRefused,
                 .organisation = entry.organisation,
                 .tokens = entry.account.asked.tokens,
                 .duration = age,
                 .count = static_cast<int64_t>(
                     accounting::RefusedOf(entry.account).requests),
                 .detail = this->AccountText(entry, now)});
  }
}

void Server::TakeLoadSum(const fleetload::Load& load, TimePoint now) {
  this->others_told_at = now;
  std::unordered_map<fleetload::IdHash, Duration> waits;
  for (const fleetload::TargetBacklog& work : load.targets) {
    waits[work.target] = milliseconds(work.prefill_ms);
  }
  for (const auto& [target, entry] : this->directory.entries) {
    const auto found = waits.find(fleetload::HashId(target.value));
    const Duration wait = found == waits.end() ? Duration() : found->second;
    const bool known = this->targets_book.targets.contains(target);
    if (known || wait > Duration()) {
      this->targets_book.targets[target].peer_prefill_backlog = wait;
    }
  }
  this->others_usage.clear();
  for (const fleetload::OrganisationRates& use : load.organisations) {
    this->others_usage[use.organisation] = use;
  }
  this->RefreshLevel(now);
}

bool Server::IsTold(TimePoint now) const {
  return this->others_told_at &&
         now - *this->others_told_at < fleetload::kLoadReportTtl;
}

// Without news of the others they are taken to be like this one.
double Server::GatewaysAlike(TimePoint now) const {
  return this->IsTold(now) ? 1.0
                           : std::max<uint32_t>(this->follower.num_gateways, 1);
}

double Server::DemandOf(const Usage& use, TimePoint now) {
  return fleetload::Rate(use.admitted, now) + fleetload::Rate(use.refused, now);
}

void Server::GuessOthers(TimePoint now) {
  const double others = this->GatewaysAlike(now) - 1.0;
  this->others_usage.clear();
  for (auto& [target, record] : this->targets_book.targets) {
    record.peer_prefill_backlog =
        std::chrono::duration_cast<Duration>(record.prefill_backlog * others);
  }
}

void Server::RefreshLevel(TimePoint now) {
  if (!this->IsTold(now)) this->GuessOthers(now);
  const double alike = this->GatewaysAlike(now);
  admission::RatesByOrganisation rates;
  for (const auto& [organisation, used] : this->usage) {
    admission::ServiceRates& sum = rates[fleetload::HashId(organisation.value)];
    sum.demand += alike * DemandOf(used, now);
    sum.admitted += alike * fleetload::Rate(used.admitted, now);
  }
  for (const auto& [organisation, use] : this->others_usage) {
    admission::ServiceRates& sum = rates[organisation];
    sum.demand += use.demand;
    sum.admitted += use.admitted;
  }
  this->RefreshStandings(rates, now);
  double admitted = 0.0;  // tokens a second, by all
  std::vector<double> asks;
  asks.reserve(rates.size());
  for (const auto& [organisation, rate] : rates) {
    asks.push_back(rate.demand);
    admitted += rate.admitted;
  }
  const double stated = this->StatedCapacity();
  this->levels = {
      .nominal = fleetload::MaxMinFairShare(asks, stated),
      .current = fleetload::MaxMinFairShare(
          std::move(asks), admission::CurrentCapacity(stated, admitted))};
}

void Server::RefreshStandings(const admission::RatesByOrganisation& rates,
                              TimePoint now) {
  // Without reports the rates of the others are a guess.
  const bool told = this->IsTold(now);
  this->standings = told ? admission::ComputeStandings(this->admission, rates)
                         : admission::Standings{};
  this->ceiling = told ? admission::ComputeCeiling(this->admission, rates)
                       : std::numeric_limits<double>::infinity();
  this->metrics.organisations_held_back.Set(
      static_cast<double>(admission::NumHeldBack(this->standings)));
}

double Server::StatedCapacity() const {
  const bool known = this->table != nullptr &&
                     this->table->table.limits.tokens_per_second > Tokens(0);
  if (!known) return std::numeric_limits<double>::infinity();
  return static_cast<double>(this->table->table.limits.tokens_per_second.value);
}

double Server::PartOf(const OrganisationId& organisation, double here) const {
  const auto others =
      this->others_usage.find(fleetload::HashId(organisation.value));
  const bool only_here = others == this->others_usage.end();
  const double all = here + (only_here ? 0.0 : others->second.demand);
  return all > 0.0 ? here / all : 1.0;
}

void Server::AccruePaces(TimePoint now) {
  for (auto& [organisation, use] : this->usage) {
    const double here = fleetload::Rate(use.asked, now);
    const double part = this->PartOf(organisation, here);
    admission::Accrue(this->admission, use.pace, this->ceiling * part, now);
  }
}

Share Server::ShareOf(const OrganisationId& organisation, TimePoint now) const {
  const fleetload::IdHash hash = fleetload::HashId(organisation.value);
  Share share{.levels = this->levels,
              .standing = admission::StandingOf(this->standings, hash)};
  const double alike = this->GatewaysAlike(now);
  const auto own = this->usage.find(organisation);
  if (own != this->usage.end()) {
    share.used = alike * fleetload::Rate(own->second.admitted, now);
    share.over_ceiling = admission::IsOverCeiling(own->second.pace);
  }
  const auto others = this->others_usage.find(hash);
  if (others != this->others_usage.end()) {
    share.used += others->second.admitted;
  }
  return share;
}

}  // namespace samphirebank::gateway
