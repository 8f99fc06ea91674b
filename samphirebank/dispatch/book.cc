#include <algorithm>

#include "samphirebank/dispatch/dispatch.h"

namespace samphirebank::dispatch {
namespace {

Tokens SharedTokens(const Work& work) {
  Tokens tokens;
  for (const dialect::PromptPart& part : work.shared) tokens += part.tokens;
  return tokens;
}

void Eject(Record& record, const Options& options, TimePoint now) {
  const uint32_t over = record.failures_in_row >= options.failures_to_eject
                            ? record.failures_in_row - options.failures_to_eject
                            : 0;
  const Duration span =
      options.first_ejection * (1 << std::min<uint32_t>(over, 8));
  record.ejected_until = now + std::min(span, options.most_ejection);
}

void NoteHealth(Record& record, const Options& options, bool failed,
                TimePoint now) {
  const double weight = options.failure_rate_weight;
  record.failure_rate =
      (1.0 - weight) * record.failure_rate + (failed ? weight : 0.0);
  record.failures_in_row = failed ? record.failures_in_row + 1 : 0;
  const bool eject =
      failed && (record.failures_in_row >= options.failures_to_eject ||
                 record.failure_rate >= options.failure_rate_to_eject);
  if (eject) Eject(record, options, now);
}

}  // namespace

Work WorkOf(const dialect::Prompt& prompt, uint64_t seed) {
  Work work{.shared = prompt.parts, .own = prompt.tokens_in, .seed = seed};
  if (!work.shared.empty()) work.shared.pop_back();
  work.own -= SharedTokens(work);
  work.own.value = std::max<int64_t>(work.own.value, 0);
  return work;
}

void NoteSent(Book& book, const TargetId& target, const Work& work,
              Duration reading, TimePoint now) {
  Record& record = book.records[target];
  ++record.in_flight;
  record.unread += reading;
  for (const dialect::PromptPart& part : work.shared) {
    book.part_sent[part.id][target] = now;
  }
}

void NoteLoad(Book& book, const TargetId& target,
              const dialect::TargetLoad& load, TimePoint now) {
  Record& record = book.records[target];
  record.load = load;
  record.load_at = now;
}

void NoteRead(Book& book, const TargetId& target, Duration reading) {
  Record& record = book.records[target];
  record.unread -= std::min(record.unread, reading);
}

void NoteEnd(Book& book, const TargetId& target, Ending ending, TimePoint now) {
  Record& record = book.records[target];
  if (record.in_flight > 0) --record.in_flight;
  if (ending == Ending::kNeutral) return;
  NoteHealth(record, book.options, ending == Ending::kFailed, now);
}

void NoteUnreachable(Book& book, const TargetId& target, TimePoint now) {
  Record& record = book.records[target];
  record.failures_in_row =
      std::max(record.failures_in_row + 1, book.options.failures_to_eject);
  Eject(record, book.options, now);
}

void ForgetOld(Book& book, TimePoint now) {
  for (auto& [part, targets] : book.part_sent) {
    std::erase_if(targets, [&](const auto& item) {
      return now - item.second >= book.options.cache_belief;
    });
  }
  std::erase_if(book.part_sent,
                [](const auto& item) { return item.second.empty(); });
}

}  // namespace samphirebank::dispatch
