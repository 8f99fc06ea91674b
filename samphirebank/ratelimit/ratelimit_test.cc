#include "samphirebank/ratelimit/ratelimit.h"

#include <doctest/doctest.h>

namespace samphirebank::ratelimit {
namespace {

const TargetId kTarget("t");
constexpr int64_t kRun = 5;

TEST_CASE("a limit holds until an answer names another one or none") {
  StatedLimits limits;
  CHECK(RecordAnswer(limits, kTarget, kRun, std::nullopt) == Change::kNone);
  CHECK(!LimitOf(limits, kTarget));
  CHECK(RecordAnswer(limits, kTarget, kRun, 5.1) == Change::kBegan);
  CHECK(RecordAnswer(limits, kTarget, kRun, 3.8) == Change::kNone);
  CHECK(LimitOf(limits, kTarget) == 3.8);
  CHECK(RecordAnswer(limits, kTarget, kRun, std::nullopt) == Change::kEnded);
  CHECK(!LimitOf(limits, kTarget));
}

// Guards against a limit that outlives the process that needed it.
TEST_CASE("a new run has no limit, and late answers of the old one name none") {
  StatedLimits limits;
  RecordAnswer(limits, kTarget, kRun, 5.1);
  RecordRun(limits, kTarget, kRun);
  CHECK(LimitOf(limits, kTarget));
  RecordRun(limits, kTarget, kRun + 1);
  CHECK(!LimitOf(limits, kTarget));
  RecordAnswer(limits, kTarget, kRun + 1, 7.0);
  RecordAnswer(limits, kTarget, kRun, std::nullopt);
  CHECK(LimitOf(limits, kTarget) == 7.0);
}

}  // namespace
}  // namespace samphirebank::ratelimit
