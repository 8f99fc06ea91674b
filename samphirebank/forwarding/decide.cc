#include "samphirebank/forwarding/forwarding.h"

namespace samphirebank::forwarding {
namespace {

// EndOf is how a request ends that is not sent again.
NextAction EndOf(const Progress& progress, SendResult end) {
  if (progress.response_started) return NextAction::kAbortResponse;
  if (end == SendResult::kTargetError) return NextAction::kForwardFailure;
  const bool may_have_run =
      progress.may_have_run || end == SendResult::kIncomplete;
  return may_have_run ? NextAction::kReportUnknown : NextAction::kRefuse;
}

}  // namespace

NextAction DecideNextAction(const Progress& progress, SendResult end,
                            bool may_repeat) {
  const bool ran =
      end == SendResult::kTargetError || end == SendResult::kIncomplete;
  if (ran && progress.repetition == routes::RetryPolicy::kNever) {
    return EndOf(progress, end);
  }
  if (end == SendResult::kConnectFailed) {
    const bool goes_on = progress.connect_failures < kMaxConnectFailures;
    return goes_on ? NextAction::kResend : EndOf(progress, end);
  }
  const bool goes_on = may_repeat && progress.num_sends < progress.max_attempts;
  return goes_on ? NextAction::kResend : EndOf(progress, end);
}

}  // namespace samphirebank::forwarding
