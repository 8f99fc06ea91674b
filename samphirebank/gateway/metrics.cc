#include "samphirebank/gateway/internal/metrics.h"

#include <string>

namespace samphirebank::gateway {
namespace {

constexpr std::array<const char*, kOutcomes> kOutcomeNames = {
    "served", "failed-by-target", "refused", "unknown", "cut", "caller-left"};

metrics::Description BrokenOff(const char* begun) {
  return {.name = "broken_off_total",
          .help = "Answers that targets broke off.",
          .labels = {{.name = "begun", .value = begun}}};
}

}  // namespace

Metrics::Metrics()
    : requests(this->registry.AddCounter(
          {.name = "requests_total", .help = "Requests that were read."})),
      unreadable(this->registry.AddCounter(
          {.name = "unreadable_total",
           .help = "Connections closed for what could not be read."})),
      first_answer(this->registry.AddHistogram(
          {.name = "first_answer_seconds",
           .help = "Time to the first part of a served answer."},
          {})),
      repeats(this->registry.AddCounter(
          {.name = "repeats_total", .help = "Requests sent again."})),
      repeats_denied(this->registry.AddCounter(
          {.name = "repeats_denied_total",
           .help = "Requests not sent again for want of budget."})),
      connects(this->registry.AddCounter(
          {.name = "connects_total", .help = "New connections to targets."})),
      unreachable(this->registry.AddCounter(
          {.name = "unreachable_total",
           .help = "Connections to targets that did not come about."})),
      passed_over(this->registry.AddCounter(
          {.name = "passed_over_total",
           .help = "Times that a target was passed over for a while."})),
      broken_begun(this->registry.AddCounter(BrokenOff("yes"))),
      broken_unbegun(this->registry.AddCounter(BrokenOff("no"))),
      quarantined_parts(this->registry.AddCounter(
          {.name = "quarantined_parts_total",
           .help = "Prompt parts that were quarantined."})),
      refused_for_residency(this->registry.AddCounter(
          {.name = "refused_for_residency_total",
           .help = "Requests refused for want of a target in a region that "
                   "their route and organisation allow."})),
      sent_to_other_region(this->registry.AddCounter(
          {.name = "sent_to_other_region_total",
           .help = "Requests sent to a target in another region."})),
      chosen_again(this->registry.AddCounter(
          {.name = "chosen_again_total",
           .help = "Requests whose target was excluded between its choice and "
                   "the send."})),
      refused_for_memory(this->registry.AddCounter(
          {.name = "refused_for_memory_total",
           .help = "Long requests refused since too much is held."})),
      refused_for_warmup(this->registry.AddCounter(
          {.name = "refused_for_warmup_total",
           .help = "Requests refused for want of a target, while some are cold "
                   "and no token for them is left."})),
      refused_for_rate_limit(this->registry.AddCounter(
          {.name = "refused_for_rate_limit_total",
           .help = "Requests refused for want of a target, while some state a "
                   "rate limit and no token for them is left."})),
      streams_taken_up(this->registry.AddCounter(
          {.name = "streams_taken_up_total",
           .help = "Streams that callers took up again."})),
      refused_for_origin(this->registry.AddCounter(
          {.name = "refused_for_origin_total",
           .help = "Streams that were not taken up, since the software version "
                   "that began them is not known or has no target."})),
      given_up_unread(this->registry.AddCounter(
          {.name = "given_up_unread_total",
           .help = "Requests whose callers had left before they were read."})),
      turned_away(this->registry.AddCounter(
          {.name = "turned_away_total",
           .help = "Callers' connections closed unread, since too many are "
                   "open."})),
      refused_ahead(this->registry.AddCounter(
          {.name = "refused_ahead_total",
           .help =
               "Requests refused at an idle target since their organisation "
               "is ahead of one that is backlogged."})),
      admitted_behind(this->registry.AddCounter(
          {.name = "admitted_behind_total",
           .help =
               "Requests admitted at a longer wait since their organisation "
               "is behind others that are backlogged."})),
      warmup_tokens_received(this->registry.AddCounter(
          {.name = "warmup_tokens_received_total",
           .help = "Tokens for requests to cold targets that were granted."})),
      warmup_tokens_used(this->registry.AddCounter(
          {.name = "warmup_tokens_used_total",
           .help = "Requests sent to cold targets."})),
      warmup_tokens_expired(this->registry.AddCounter(
          {.name = "warmup_tokens_expired_total",
           .help = "Tokens that were not used in time."})),
      reading_time_factor(this->registry.AddHistogram(
          {.name = "reading_time_factor",
           .help = "How long targets take to read prompts relative to the "
                   "model, as learned at each first event."},
          {.lowest = 0.125, .buckets = 7})),
      sessions(this->registry.AddGauge({.name = "caller_connections",
                                        .help = "Open callers' connections."})),
      held_bytes(this->registry.AddGauge(
          {.name = "held_request_bytes",
           .help = "What is held of callers' requests."})),
      idle_connections(
          this->registry.AddGauge({.name = "idle_connections",
                                   .help = "Kept connections to targets."})),
      targets(this->registry.AddGauge(
          {.name = "targets", .help = "Targets in the directory."})),
      table_version(this->registry.AddGauge(
          {.name = "table_version", .help = "The route table in force."})),
      evacuated_zones(this->registry.AddGauge(
          {.name = "evacuated_zones",
           .help = "Zones to whose targets nothing is sent."})),
      cold_targets(this->registry.AddGauge(
          {.name = "cold_targets", .help = "Targets that are warming up."})),
      rate_limited_targets(this->registry.AddGauge(
          {.name = "rate_limited_targets",
           .help = "Targets that state a rate limit."})),
      organisations_held_back(this->registry.AddGauge(
          {.name = "organisations_held_back",
           .help = "Organisations that are ahead of one that is backlogged."})),
      load_sum_age(this->registry.AddGauge(
          {.name = "load_sum_age_seconds",
           .help = "Time since the load of the other gateways was heard."})),
      shed_fraction(this->registry.AddGauge(
          {.name = "shed_fraction",
           .help = "Fraction of requests that this instance refuses since it "
                   "is overloaded."})),
      control_silence(this->registry.AddGauge(
          {.name = "control_silence_seconds",
           .help = "Time since a coordinator was heard."})) {
  for (size_t i = 0; i < kOutcomes; ++i) {
    this->outcomes[i] = &this->registry.AddCounter(
        {.name = "outcomes_total",
         .help = "Requests by how they ended.",
         .labels = {{.name = "outcome", .value = kOutcomeNames[i]}}});
  }
  for (size_t i = 0; i < accounting::kRefusals; ++i) {
    this->refused_by_reason[i] = &this->registry.AddCounter(
        {.name = "refused_for_now_total",
         .help = "Requests refused with 503, by reason.",
         .labels = {{.name = "reason",
                     .value = std::string(accounting::NameOf(
                         static_cast<accounting::Refusal>(i)))}}});
  }
}

}  // namespace samphirebank::gateway
