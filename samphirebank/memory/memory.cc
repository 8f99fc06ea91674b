#include "samphirebank/memory/memory.h"

#include <algorithm>
#include <utility>

namespace samphirebank::memory {
namespace {

bool IsWaiting(const Budget& budget, const Holder& holder, TimePoint now) {
  return holder.refused_at &&
         now - *holder.refused_at < budget.options.waiting_time;
}

// EqualShare returns what each organisation that holds or waits may hold while
// another one than `asking` waits; the whole budget while none does.
int64_t EqualShare(const Budget& budget, const OrganisationId& asking,
                   TimePoint now) {
  int64_t contenders = 1;
  bool others_wait = false;
  for (const auto& [organisation, holder] : budget.holders) {
    if (organisation == asking) continue;
    const bool waits = IsWaiting(budget, holder, now);
    others_wait = others_wait || waits;
    if (waits || holder.bytes > 0) ++contenders;
  }
  const int64_t all = budget.options.high_mark.value;
  return others_wait ? all / contenders : all;
}

void EvictIdle(Budget& budget, TimePoint now) {
  std::erase_if(budget.holders, [&](const auto& item) {
    return item.second.bytes == 0 && !IsWaiting(budget, item.second, now);
  });
}

}  // namespace

Options OptionsFor(Bytes memory) {
  return {.high_mark = Bytes(memory.value * 6 / 10),
          .low_mark = Bytes(memory.value * 5 / 10)};
}

bool ShouldAdmit(const Budget& budget, const OrganisationId& organisation,
                 int64_t bytes, TimePoint now) {
  const int64_t high = budget.options.high_mark.value;
  if (high == 0) return true;
  if (budget.is_exhausted || budget.bytes + bytes > high) return false;
  const auto found = budget.holders.find(organisation);
  const int64_t held = found == budget.holders.end() ? 0 : found->second.bytes;
  return held + bytes <= EqualShare(budget, organisation, now);
}

Account::Account(std::shared_ptr<Budget> shared) : budget(std::move(shared)) {}

Account::~Account() { this->Release(); }

bool Account::Resize(const OrganisationId& organisation, Bytes held,
                     TimePoint now) {
  const int64_t added = held.value - this->bytes;
  const bool is_short = held.value <= this->budget->options.short_request.value;
  if (this->owner != organisation) {
    const int64_t counted = this->bytes;
    this->Release();
    this->owner = organisation;
    this->Set(counted);
  }
  if (added > 0 && !is_short &&
      !ShouldAdmit(*this->budget, this->owner, added, now)) {
    EvictIdle(*this->budget, now);
    this->budget->holders[this->owner].refused_at = now;
    // Below the low mark nothing is left to be released that would end the
    // exhaustion: the request alone is too large.
    const Options& options = this->budget->options;
    if (this->budget->bytes + added > options.high_mark.value &&
        this->budget->bytes > options.low_mark.value) {
      this->budget->is_exhausted = true;
    }
    return false;
  }
  this->Set(held.value);
  return true;
}

void Account::Release() { this->Set(0); }

void Account::Set(int64_t held) {
  if (held == this->bytes) return;
  Budget& all = *this->budget;
  Holder& holder = all.holders[this->owner];
  holder.bytes += held - this->bytes;
  all.bytes += held - this->bytes;
  this->bytes = held;
  if (all.bytes <= all.options.low_mark.value) all.is_exhausted = false;
  if (holder.bytes == 0 && !holder.refused_at) all.holders.erase(this->owner);
}

}  // namespace samphirebank::memory
