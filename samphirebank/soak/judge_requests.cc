// What callers and targets saw of each request.
#include <algorithm>
#include <string>

#include "samphirebank/soak/internal/judge.h"

namespace samphirebank::soak {
namespace {

bool IsPromiseNotToRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

bool IsSuccess(const CallerAnswer& answer) {
  return answer.end == CallerEnd::kAnswered && answer.status >= 200 &&
         answer.status < 300;
}

std::string WholeStream(const RequestId& id,
                        const directory::SoftwareVersion& software) {
  std::string body;
  for (uint64_t number = 1; number <= EventsOf(id); ++number) {
    body += EventText(id, number, software);
  }
  return body;
}

// IsWhole returns whether an answer brought the rest of what a target sends.
bool IsWhole(const RequestId& id, const SentRequest& sent,
             const std::string& body) {
  if (!sent.streamed) return body == PlainBody(id);
  const RequestId& stream = sent.begun_by.value_or(id);
  return std::ranges::any_of(SoftwareVersions(), [&](const auto& software) {
    return sent.received + body == WholeStream(stream, software);
  });
}

// JudgeStream judges what a caller has of a stream, whole or not: its events
// are of one version.
void JudgeStream(const RequestId& id, const RequestRecord& record,
                 Verdicts& verdicts) {
  const bool has_events =
      record.sent.streamed && record.answer && record.answer->status == 200;
  if (!has_events) return;
  const std::string text = record.sent.received + record.answer->body;
  const RequestId& stream = record.sent.begun_by.value_or(id);
  const bool fits =
      std::ranges::any_of(SoftwareVersions(), [&](const auto& software) {
        return WholeStream(stream, software).starts_with(text);
      });
  if (!fits) verdicts.Add("a stream with events of two runs: " + id.value);
}

void JudgeRuns(const RequestId& id, const RequestRecord& record,
               Verdicts& verdicts) {
  const bool once = record.sent.repetition == routes::RetryPolicy::kNever;
  if (once && record.runs.size() > 1) {
    verdicts.Add("ran more than once: " + id.value);
  }
  for (const RequestRecord::Run& item : record.runs) {
    const TargetRun& run = item.run;
    if (run.path != record.sent.target || run.body != record.sent.body) {
      verdicts.Add("ran with another path or body: " + id.value);
    }
    if (run.organisation != record.sent.organisation || run.carries_key) {
      verdicts.Add("ran for another organisation, or with the key: " +
                   id.value);
    }
    if (run.service != record.sent.service) {
      verdicts.Add("ran at a service that its route does not name: " +
                   id.value);
    }
  }
}

void JudgeAnswer(const RequestId& id, const RequestRecord& record,
                 Verdicts& verdicts) {
  if (!record.answer) return;
  const CallerAnswer& answer = *record.answer;
  if (IsSuccess(answer)) {
    if (!answer.sealed) verdicts.Add("a success of our own: " + id.value);
    if (record.runs.empty()) verdicts.Add("answered but not run: " + id.value);
    if (!IsWhole(id, record.sent, answer.body)) {
      verdicts.Add("a wrong or short body that looks whole: " + id.value);
    }
  }
  const bool promised =
      answer.end == CallerEnd::kAnswered && IsPromiseNotToRun(answer.status);
  const bool repeatable = record.sent.repetition != routes::RetryPolicy::kNever;
  if (promised && !repeatable && !record.runs.empty()) {
    verdicts.Add("said not to have run, but ran: " + id.value);
  }
  const bool denied = answer.end == CallerEnd::kAnswered &&
                      (answer.status == 400 || answer.status == 401 ||
                       answer.status == 403 || answer.status == 404);
  if (denied) {
    verdicts.Add("denied with " + std::to_string(answer.status) +
                 " though it is allowed: " + id.value);
  }
}

// A gateway that no fault touched answers what it has passed on, whatever the
// target does and also while it shuts down. Links to targets count as targets.
void JudgeLoss(const Ledger& ledger, const RequestId& id,
               const RequestRecord& record, Verdicts& verdicts) {
  const bool lost = record.answer && record.answer->end == CallerEnd::kBroken &&
                    record.answer->status == 0 && !record.runs.empty();
  if (!lost) return;
  const bool excused = Disturbed(ledger, record.sent.gateway, Cause::kFault,
                                 record.sent_at, record.ended_at);
  if (excused) return;
  verdicts.Add("passed on and then dropped without an answer: " + id.value);
}

void JudgeTime(const Ledger& ledger, const RequestId& id,
               const RequestRecord& record, Verdicts& verdicts) {
  const bool overdue =
      record.answer && record.answer->end == CallerEnd::kOverdue;
  if (!overdue) return;
  const bool excused = Disturbed(ledger, record.sent.gateway, Cause::kFault,
                                 record.sent_at, record.ended_at);
  if (excused) return;
  verdicts.Add("held past its time: " + id.value);
}

void JudgeLeaving(const Ledger& ledger, const Bounds& bounds,
                  const RequestId& id, const RequestRecord& record,
                  Verdicts& verdicts) {
  for (const RequestRecord::Run& item : record.runs) {
    const auto leaving = ledger.leaving_since.find(item.run.target);
    if (leaving == ledger.leaving_since.end()) continue;
    const bool late = item.at > leaving->second + bounds.drain &&
                      record.sent_at > leaving->second + bounds.drain;
    const TimePoint calm_from = item.at - bounds.settles;
    const bool excused = Disturbed(ledger, record.sent.gateway,
                                   Cause::kFaultOrPlan, calm_from, item.at) ||
                         Disturbed(ledger, std::nullopt, Cause::kFaultOrPlan,
                                   calm_from, item.at);
    if (late && !excused) {
      verdicts.Add("reached a target that leaves: " + id.value);
    }
  }
}

}  // namespace

void JudgeRequests(const Ledger& ledger, const Bounds& bounds,
                   Verdicts& verdicts) {
  for (const auto& [id, record] : ledger.requests) {
    JudgeRuns(id, record, verdicts);
    JudgeAnswer(id, record, verdicts);
    JudgeStream(id, record, verdicts);
    JudgeLoss(ledger, id, record, verdicts);
    JudgeTime(ledger, id, record, verdicts);
    JudgeLeaving(ledger, bounds, id, record, verdicts);
  }
}

void JudgeRecovery(const Ledger& ledger, const Bounds& bounds,
                   Verdicts& verdicts) {
  uint64_t asked = 0;
  uint64_t served = 0;
  for (const auto& [id, record] : ledger.requests) {
    const bool counts = record.answer &&
                        record.answer->end != CallerEnd::kLeft &&
                        record.sent_at >= ledger.quiet_since + bounds.recovery;
    if (!counts) continue;
    ++asked;
    if (IsSuccess(*record.answer)) ++served;
  }
  const double least = bounds.least_served_after * static_cast<double>(asked);
  if (asked == 0 || static_cast<double>(served) < least) {
    verdicts.Add("after the faults " + std::to_string(served) + " of " +
                 std::to_string(asked) + " requests were served");
  }
}

// Repeats are the runs of a request beyond its first, over the whole fleet.
void JudgeRepeats(const Ledger& ledger, const Bounds& bounds,
                  Verdicts& verdicts) {
  struct Service {
    std::vector<TimePoint> asked{};
    std::vector<TimePoint> repeats{};
  };
  std::map<ServiceId, Service> services;
  for (const auto& [id, record] : ledger.requests) {
    Service& service = services[record.sent.service];
    service.asked.push_back(record.sent_at);
    for (size_t i = 1; i < record.runs.size(); ++i) {
      service.repeats.push_back(record.runs[i].at);
    }
  }
  const auto within = [&](const std::vector<TimePoint>& times, TimePoint from) {
    return std::ranges::count_if(times, [&](TimePoint time) {
      return time >= from && time < from + bounds.repeat_window;
    });
  };
  for (const auto& [id, service] : services) {
    for (const TimePoint from : service.repeats) {
      // Requests are counted in this window, the one before, or between them.
      const auto asked =
          std::max({within(service.asked, from),
                    within(service.asked, from - bounds.repeat_window / 2),
                    within(service.asked, from - bounds.repeat_window)});
      const auto repeats = within(service.repeats, from);
      const double most = bounds.repeat_ratio * static_cast<double>(asked) +
                          bounds.repeat_allowance;
      if (static_cast<double>(repeats) <= most) continue;
      return verdicts.Add(std::to_string(repeats) + " repeats of " +
                          std::to_string(asked) + " requests to " + id.value +
                          " in a window");
    }
  }
}

}  // namespace samphirebank::soak
