// File: base.h
//
// Types that every other library shares: strong identifiers, strong units,
// the time line, and findings (errors collected with their place).
//
// Example:
//
//   OrganisationId organisation{"workshop-7"};
//   TimePoint deadline = now + std::chrono::seconds(2);
//   Findings findings;
//   findings.Add("--port", "70000", "a number from 0 to 65535");
//   if (!findings.empty()) std::cerr << findings.ToText();
#ifndef SAMPHIREBANK_BASE_BASE_H_
#define SAMPHIREBANK_BASE_BASE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirebank {

// Duration is a span of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

// TimePoint is a reading of this process's monotonic clock. It is never
// compared with a reading of another process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// SuspendAwareClock is a monotonic clock that counts the time for which the
// machine was suspended, unlike the clock of TimePoint. SuspendAwareTime is a
// reading of it.
struct SuspendAwareClock;
using SuspendAwareTime = std::chrono::time_point<SuspendAwareClock, Duration>;

// StrongText is a text identifier that does not convert to another kind of
// identifier. `Tag` makes each kind a type of its own.
template <typename Tag>
struct StrongText {
  std::string value;

  StrongText() = default;
  explicit StrongText(std::string text) : value(std::move(text)) {}

  friend auto operator<=>(const StrongText&, const StrongText&) = default;
  friend std::ostream& operator<<(std::ostream& out, const StrongText& id) {
    return out << id.value;
  }

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(this->value);
  }
};

// StrongNumber is an integer that does not mix with integers of another kind.
template <typename Tag, typename Rep>
struct StrongNumber {
  Rep value = 0;

  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Rep number) : value(number) {}

  friend constexpr auto operator<=>(const StrongNumber&,
                                    const StrongNumber&) = default;
  constexpr StrongNumber& operator+=(StrongNumber other) {
    this->value += other.value;
    return *this;
  }
  constexpr StrongNumber& operator-=(StrongNumber other) {
    this->value -= other.value;
    return *this;
  }
  friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b) {
    return StrongNumber(a.value + b.value);
  }
  friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b) {
    return StrongNumber(a.value - b.value);
  }
  friend std::ostream& operator<<(std::ostream& out, StrongNumber number) {
    return out << number.value;
  }

  // Next returns the number that follows this one.
  constexpr StrongNumber Next() const { return StrongNumber(this->value + 1); }

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(this->value);
  }
};

// Identifiers. Texts are chosen by operators, targets or callers.
using OrganisationId = StrongText<struct OrganisationIdTag>;
using TargetId = StrongText<struct TargetIdTag>;
using InstanceId = StrongText<struct InstanceIdTag>;
using ServiceId = StrongText<struct ServiceIdTag>;  // a model or a service
using RegionId = StrongText<struct RegionIdTag>;
using ZoneId = StrongText<struct ZoneIdTag>;  // an availability zone
using ChangeId = StrongText<struct ChangeIdTag>;
using RequestId = StrongText<struct RequestIdTag>;

// Revision counts the accepted configuration changes of the whole fleet.
using Revision = StrongNumber<struct RevisionTag, uint64_t>;
// Term is a term of office of a consensus leader.
using Term = StrongNumber<struct TermTag, uint64_t>;
// LogIndex is a position in the replicated log; the first entry has index 1.
using LogIndex = StrongNumber<struct LogIndexTag, uint64_t>;
// Epoch numbers the successive holders of one pool's scheduler lease. It
// serves as the fencing number of what that holder grants.
using Epoch = StrongNumber<struct EpochTag, uint64_t>;
// BootId differs between two runs of the same instance.
using BootId = StrongNumber<struct BootIdTag, uint64_t>;

// Tokens is a cost in model tokens; a plain service's call costs what its
// contract states, in the same unit.
using Tokens = StrongNumber<struct TokensTag, int64_t>;
// Bytes is a size in bytes.
using Bytes = StrongNumber<struct BytesTag, int64_t>;

// PoolId names the targets that one scheduler shares out: all targets of one
// service or model in one region.
struct PoolId {
  RegionId region;
  ServiceId service;

  friend auto operator<=>(const PoolId&, const PoolId&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: the name cereal calls
    archive(this->region, this->service);
  }
};

// Finding is one fault in something that was given to the program.
struct Finding {
  std::string place;    // the flag, field or position, as its writer knows it
  std::string value;    // what stood there; empty for secrets
  std::string allowed;  // what may stand there

  friend bool operator==(const Finding&, const Finding&) = default;
};

// Findings collects faults so that all of them are reported together.
// Not thread-safe.
class Findings {
 public:
  // Add records one fault.
  void Add(std::string place, std::string value, std::string allowed);

  // Merge appends the faults of `other`, each place prefixed by `prefix`.
  void Merge(std::string_view prefix, const Findings& other);

  bool empty() const { return this->items.empty(); }
  const std::vector<Finding>& all() const { return this->items; }

  // ToText returns one line a finding: "place: value: allowed".
  std::string ToText() const;

 private:
  std::vector<Finding> items;
};

}  // namespace samphirebank

// Hashing, so that identifiers can be keys of unordered containers.
template <typename Tag>
struct std::hash<samphirebank::StrongText<Tag>> {
  size_t operator()(const samphirebank::StrongText<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value);
  }
};

template <typename Tag, typename Rep>
struct std::hash<samphirebank::StrongNumber<Tag, Rep>> {
  size_t operator()(
      const samphirebank::StrongNumber<Tag, Rep>& number) const noexcept {
    return std::hash<Rep>()(number.value);
  }
};

#endif  // SAMPHIREBANK_BASE_BASE_H_
