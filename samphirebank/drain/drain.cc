#include "samphirebank/drain/drain.h"

#include <algorithm>

namespace samphirebank::drain {

namespace {

Duration RespondAfter(const Options& options) {
  return options.grace_period - options.respond_before_end;
}

}  // namespace

bool ShouldAccept(const Options& options, Duration elapsed) {
  return elapsed < std::min(options.accept_period, RespondAfter(options));
}

Step NextStep(const Options& options, Duration elapsed, bool is_idle) {
  const Duration exit_after = options.grace_period - options.exit_before_end;
  const bool is_noticed = elapsed >= options.close_idle_after;
  if (elapsed >= exit_after || (is_idle && is_noticed)) return Step::kExit;
  if (elapsed >= RespondAfter(options)) return Step::kRespondAll;
  return is_noticed ? Step::kCloseIdle : Step::kServe;
}

}  // namespace samphirebank::drain
