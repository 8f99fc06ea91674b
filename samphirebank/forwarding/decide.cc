#include "samphirebank/forwarding/forwarding.h"

namespace samphirebank::forwarding {
namespace {

// EndOf is how a request ends that is not sent again.
Next EndOf(const Progress& progress, SendEnd end) {
  if (progress.answer_begun) return Next::kCut;
  if (end == SendEnd::kAnswered) return Next::kPassOn;
  const bool may_have_run = progress.may_have_run || end == SendEnd::kBroken;
  return may_have_run ? Next::kUnknown : Next::kRefuse;
}

}  // namespace

Next Decide(const Progress& progress, SendEnd end, bool may_repeat) {
  const bool ran = end == SendEnd::kAnswered || end == SendEnd::kBroken;
  if (ran && progress.repetition == routes::RetryPolicy::kNever) {
    return EndOf(progress, end);
  }
  if (end == SendEnd::kNotSent) {
    const bool goes_on = progress.connects < kMaxConnects;
    return goes_on ? Next::kSendAgain : EndOf(progress, end);
  }
  const bool goes_on = may_repeat && progress.sends < progress.attempts;
  return goes_on ? Next::kSendAgain : EndOf(progress, end);
}

}  // namespace samphirebank::forwarding
