#include "samphirebank/soak/internal/ledger.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace samphirebank::soak {

void NoteSent(Ledger& ledger, const RequestId& id, SentRequest request,
              TimePoint now) {
  ledger.requests[id] = {.sent = std::move(request), .sent_at = now};
}

void NoteRun(Ledger& ledger, const RequestId& id, TargetRun run,
             TimePoint now) {
  const auto found = ledger.requests.find(id);
  if (found == ledger.requests.end()) {
    ledger.oddities.push_back("a target ran a request that no caller sent: " +
                              id.value);
    return;
  }
  found->second.runs.push_back({.run = std::move(run), .at = now});
}

void NoteAnswer(Ledger& ledger, const RequestId& id, CallerAnswer answer,
                TimePoint now) {
  RequestRecord& record = ledger.requests.at(id);
  if (record.answer) {
    ledger.oddities.push_back("a second answer to " + id.value);
    return;
  }
  record.answer = std::move(answer);
  record.ended_at = now;
}

uint64_t EventsOf(const RequestId& id) {
  constexpr uint64_t kLeast = 3;
  constexpr uint64_t kSpread = 8;
  return kLeast + std::hash<std::string>()(id.value) % kSpread;
}

std::string EventText(const RequestId& id, uint64_t number,
                      const directory::SoftwareVersion& software) {
  const std::string text = std::to_string(number);
  return "id: " + text + "\ndata: " + id.value + "-" + text + " by " +
         software.value + "\n\n";
}

const std::vector<directory::SoftwareVersion>& SoftwareVersions() {
  static const auto* const versions =
      new std::vector<directory::SoftwareVersion>{
          directory::SoftwareVersion("v1"), directory::SoftwareVersion("v2")};
  return *versions;
}

std::string PlainBody(const RequestId& id) { return "ran " + id.value; }

bool Disturbed(const Ledger& ledger, std::optional<size_t> gateway, Cause cause,
               TimePoint from, TimePoint until) {
  return std::ranges::any_of(ledger.disturbances, [&](const Disturbance& item) {
    const bool counts = !item.is_planned || cause == Cause::kFaultOrPlan;
    return counts && item.gateway == gateway && item.from <= until &&
           item.until >= from;
  });
}

}  // namespace samphirebank::soak
