#include "samphirebank/router/internal/quotas.h"

#include "samphirebank/lease/lease.h"
#include "samphirebank/quota/quota.h"
#include "samphirebank/router/internal/peers.h"
#include "samphirebank/scheduler/scheduler.h"

namespace samphirebank::router {
namespace {

// FindHolder returns a pool's scheduler assignment if it has this epoch.
const contracts::SchedulerAssignment* FindHolder(const Router& router,
                                                 const PoolId& pool,
                                                 Epoch epoch) {
  const auto& pools = router.holder.history.configuration.pools;
  const auto found = pools.find(pool);
  if (found == pools.end()) return nullptr;
  const contracts::SchedulerAssignment& assignment = found->second.value;
  return assignment.epoch == epoch ? &assignment : nullptr;
}

bool IsOwn(const Router& router,
           const contracts::SchedulerAssignment& assignment) {
  return assignment.holder == router.settings.identity.instance;
}

void SendAsk(Router& router, const sharing::QuotaRequest& ask, TimePoint now) {
  const auto* const holder = FindHolder(router, ask.to.pool, ask.to.epoch);
  if (holder == nullptr) return;
  if (IsOwn(router, *holder)) {
    OnQuotaAsk(router, ask, now);
  } else {
    SendMessage(router, holder->address, ask);
  }
}

// RefreshDuties brings the coordinators up to the configuration. One whose
// assignment was made to an earlier run of this instance has no scheduler here
// and gets a new epoch soon.
void RefreshDuties(Router& router, TimePoint now) {
  router.quotas.options.configuration_lease =
      lease::InForceAfter(router.holder.options.parameters);
  quota::Refresh(router.quotas, router.settings.identity.instance,
                 router.holder.history.configuration, now);
}

}  // namespace

void PumpQuotas(Router& router, TimePoint now) {
  if (!lease::MayAct(router.holder, now)) return;
  RefreshDuties(router, now);
  for (auto& [pool, state] : router.schedulers) {
    for (const auto& ask : scheduler::BuildQuotaRequests(state, now)) {
      SendAsk(router, ask, now);
    }
  }
}

void OnQuotaAsk(Router& router, const sharing::QuotaRequest& ask,
                TimePoint now) {
  if (!lease::MayAct(router.holder, now)) return;
  RefreshDuties(router, now);
  const auto* const asker = FindHolder(router, ask.pool, ask.epoch);
  quota::Coordinator* const coordinator = quota::Find(router.quotas, ask.to);
  if (asker == nullptr || coordinator == nullptr) return;
  const auto grant = quota::OnQuotaRequest(
      *coordinator, ask, router.holder.history.configuration, now);
  if (!grant) return;
  if (IsOwn(router, *asker)) {
    OnQuotaGrant(router, *grant, now);
  } else {
    SendMessage(router, asker->address, *grant);
  }
}

void OnQuotaGrant(Router& router, const sharing::QuotaGrant& grant,
                  TimePoint now) {
  const auto found = router.schedulers.find(grant.pool);
  if (found == router.schedulers.end()) return;
  scheduler::OnQuotaGrant(found->second, grant, now);
}

}  // namespace samphirebank::router
