#include "samphirebank/measure/internal/account.h"

#include <algorithm>

namespace samphirebank::measure::internal {
namespace {

// kWarmUp is the start of a run that is not measured.
constexpr TimePoint kWarmUp{std::chrono::seconds(5)};
// kBusyShare is the share of busy slots under which a fleet counts as idling.
constexpr double kBusyShare = 0.9;

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

// UpdateSpans takes one organisation's service into the spans of its pairs.
void UpdateSpans(const Account& account, GapMeter& meter, size_t changed) {
  const size_t count = account.weights.size();
  for (size_t other = 0; other < count; ++other) {
    if (other == changed) continue;
    const size_t a = std::min(changed, other);
    const size_t b = std::max(changed, other);
    GapMeter::Span& span = meter.spans[a * count + b];
    const bool both = account.waiting[a] > 0 && account.waiting[b] > 0;
    const double difference = meter.service[a] - meter.service[b];
    if (!both) {
      span.open = false;
      continue;
    }
    if (!span.open) {
      span = {.open = true, .low = difference, .high = difference};
    }
    span.low = std::min(span.low, difference);
    span.high = std::max(span.high, difference);
    meter.largest = std::max(meter.largest, span.high - span.low);
  }
}

void EndHunger(Account& account, uint32_t organisation, TimePoint now) {
  const Duration hunger = now - account.hungry_since[organisation];
  if (now >= kWarmUp) {
    account.starvation = std::max(account.starvation, Seconds(hunger));
  }
  account.hungry_since[organisation] = now;
}

double Quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto position =
      static_cast<int64_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + position, values.end());
  return values[static_cast<size_t>(position)];
}

}  // namespace

Account Open(const Workload& workload) {
  Account account;
  const size_t count = workload.organisations.size();
  for (const OrganisationLoad& load : workload.organisations) {
    account.weights.push_back(std::max<uint32_t>(1, load.contract.weight));
  }
  account.waiting.assign(count, 0);
  account.hungry_since.assign(count, TimePoint());
  account.service.assign(count, 0);
  for (GapMeter* meter : {&account.began, &account.received}) {
    meter->service.assign(count, 0);
    meter->spans.assign(count * count, {});
  }
  return account;
}

void OnWaiting(Account& account, uint32_t organisation, TimePoint now) {
  if (account.waiting[organisation] == 0) {
    account.hungry_since[organisation] = now;
  }
  account.waiting[organisation] += 1;
  account.total_waiting += 1;
  if (account.waiting[organisation] == 1) {
    UpdateSpans(account, account.began, organisation);
    UpdateSpans(account, account.received, organisation);
  }
}

void OnGone(Account& account, uint32_t organisation, TimePoint now) {
  account.waiting[organisation] -= 1;
  account.total_waiting -= 1;
  if (account.waiting[organisation] > 0) return;
  EndHunger(account, organisation, now);
  UpdateSpans(account, account.began, organisation);
  UpdateSpans(account, account.received, organisation);
}

void OnBegan(Account& account, const Request& request, TimePoint now) {
  const uint32_t organisation = request.organisation;
  EndHunger(account, organisation, now);
  account.service[organisation] += request.cost;
  account.began.service[organisation] +=
      static_cast<double>(request.cost) / account.weights[organisation];
  // The span that ends with this request still contains it.
  UpdateSpans(account, account.began, organisation);
  if (now >= kWarmUp) account.waits.push_back(Seconds(now - request.at));
  OnGone(account, organisation, now);
}

void OnReceived(Account& account, const std::vector<double>& tokens) {
  for (size_t i = 0; i < tokens.size(); ++i) {
    account.received.service[i] = tokens[i] / account.weights[i];
  }
  for (size_t i = 0; i < tokens.size(); ++i) {
    UpdateSpans(account, account.received, i);
  }
}

void OnSlots(Account& account, double busy, double slots, Duration span,
             TimePoint now) {
  if (now < kWarmUp) return;
  const bool idle = account.total_waiting > 0 && busy < kBusyShare * slots;
  if (idle && !account.idling) account.idle_since = now - span;
  account.idling = idle;
  if (idle) {
    account.longest_idle =
        std::max(account.longest_idle, Seconds(now - account.idle_since));
  }
  if (account.total_waiting == 0) return;
  account.slot_seconds += slots * Seconds(span);
  account.busy_seconds += busy * Seconds(span);
}

void Close(Account& account, Result& result, TimePoint now) {
  for (uint32_t i = 0; i < account.waiting.size(); ++i) {
    if (account.waiting[i] > 0) EndHunger(account, i, now);
  }
  result.gap = account.received.largest;
  result.begun_gap = account.began.largest;
  if (account.slot_seconds > 0) {
    result.utilisation = account.busy_seconds / account.slot_seconds;
  }
  result.starvation = account.starvation;
  result.longest_idle = account.longest_idle;
  result.started = account.waits.size();
  result.service = account.service;
  result.wait_p50 = Quantile(account.waits, 0.5);
  result.wait_p95 = Quantile(account.waits, 0.95);
}

}  // namespace samphirebank::measure::internal
