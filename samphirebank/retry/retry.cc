#include "samphirebank/retry/retry.h"

#include <algorithm>

namespace samphirebank::retry {
namespace {

constexpr uint32_t kMaxDoublings = 20;

// Mix hashes a seed to 64 bits with the finaliser of SplitMix64.
uint64_t Mix(uint64_t seed) {
  seed += 0x9e3779b97f4a7c15;
  seed = (seed ^ (seed >> 30)) * 0xbf58476d1ce4e5b9;
  seed = (seed ^ (seed >> 27)) * 0x94d049bb133111eb;
  return seed ^ (seed >> 31);
}

template <typename Id>
int64_t Balance(const std::unordered_map<Id, int64_t>& balances, const Id& id,
                const Options& options) {
  const auto found = balances.find(id);
  return found == balances.end() ? options.initial_milli : found->second;
}

// Store sets a balance. If the map is full, a balance above the initial one is
// not stored, and one below it evicts another entry, which thereby returns to
// its initial balance.
template <typename Id>
void Store(std::unordered_map<Id, int64_t>& balances, const Id& id,
           int64_t balance, const Options& options) {
  if (balance == options.initial_milli) {
    balances.erase(id);
    return;
  }
  if (!balances.contains(id) && balances.size() >= options.max_budgets) {
    if (balance > options.initial_milli) return;
    balances.erase(balances.begin());
  }
  balances[id] = balance;
}

template <typename Id>
void Deposit(std::unordered_map<Id, int64_t>& balances, const Id& id,
             const Options& options) {
  const int64_t balance =
      Balance(balances, id, options) + options.deposit_milli;
  Store(balances, id, std::min(balance, options.max_balance_milli), options);
}

template <typename Id>
void Withdraw(std::unordered_map<Id, int64_t>& balances, const Id& id,
              const Options& options) {
  Store(balances, id, Balance(balances, id, options) - kCostMilli, options);
}

}  // namespace

void RecordSuccess(Budgets& budgets, const OrganisationId& organisation,
                   const ServiceId& service) {
  Deposit(budgets.organisations_milli, organisation, budgets.options);
  Deposit(budgets.services_milli, service, budgets.options);
}

Duration Backoff(const Options& options, uint32_t attempt, uint64_t seed) {
  const uint32_t doublings = std::min(attempt - 1, kMaxDoublings);
  const Duration max_delay = std::min(
      options.max_delay, options.base_delay * (int64_t{1} << doublings));
  const uint64_t random = Mix(seed ^ Mix(attempt));
  const uint64_t span = static_cast<uint64_t>(max_delay.count()) + 1;
  return Duration(static_cast<int64_t>(random % span));
}

std::optional<Duration> TryRetry(Budgets& budgets, const Attempt& attempt,
                                 TimePoint now) {
  const Options& options = budgets.options;
  if (attempt.attempt >= options.max_attempts) return std::nullopt;
  if (Balance(budgets.organisations_milli, attempt.organisation, options) <
      kCostMilli) {
    return std::nullopt;
  }
  if (Balance(budgets.services_milli, attempt.service, options) < kCostMilli) {
    return std::nullopt;
  }
  const Duration delay = Backoff(options, attempt.attempt, attempt.seed);
  if (now + delay >= attempt.deadline) return std::nullopt;
  Withdraw(budgets.organisations_milli, attempt.organisation, options);
  Withdraw(budgets.services_milli, attempt.service, options);
  return delay;
}

}  // namespace samphirebank::retry
