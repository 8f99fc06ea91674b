#include "samphirebank/forwarding/forwarding.h"

namespace samphirebank::forwarding {
namespace {

// FinalAction returns how to finish a request that is not sent again.
NextAction FinalAction(const Progress& progress, SendResult result) {
  if (progress.response_started) return NextAction::kAbortResponse;
  if (result == SendResult::kTargetError) return NextAction::kForwardFailure;
  const bool may_have_run =
      progress.may_have_run || result == SendResult::kIncomplete;
  return may_have_run ? NextAction::kReportUnknown : NextAction::kRefuse;
}

}  // namespace

NextAction DecideNextAction(const Progress& progress, SendResult result,
                            bool may_repeat) {
  const bool may_have_run_at_target =
      result == SendResult::kTargetError || result == SendResult::kIncomplete;
  if (may_have_run_at_target &&
      progress.repetition == routes::RetryPolicy::kNever) {
    return FinalAction(progress, result);
  }
  if (result == SendResult::kConnectFailed) {
    const bool can_resend = progress.connect_failures < kMaxConnectFailures;
    return can_resend ? NextAction::kResend : FinalAction(progress, result);
  }
  const bool can_resend =
      may_repeat && progress.num_sends < progress.max_attempts;
  return can_resend ? NextAction::kResend : FinalAction(progress, result);
}

}  // namespace samphirebank::forwarding
