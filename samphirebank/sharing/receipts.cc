#include "samphirebank/sharing/sharing.h"

namespace samphirebank::sharing {

namespace {
constexpr uint64_t kRemembered = 64;
}  // namespace

bool Receipts::Add(uint64_t sequence) {
  if (sequence > this->newest) {
    const uint64_t step = sequence - this->newest;
    // The old newest becomes bit step - 1 and the others move up by step.
    this->previous = step >= kRemembered ? 0 : this->previous << step;
    if (step <= kRemembered) {
      this->previous |= uint64_t{1} << (step - 1);
    }
    this->newest = sequence;
    return true;
  }
  if (sequence == this->newest || sequence == 0) return false;
  const uint64_t position = this->newest - sequence - 1;
  if (position >= kRemembered) return false;
  const uint64_t bit = uint64_t{1} << position;
  const bool fresh = (this->previous & bit) == 0;
  this->previous |= bit;
  return fresh;
}

bool Receipts::Contains(uint64_t sequence) const {
  if (sequence == 0 || sequence > this->newest) return false;
  if (sequence == this->newest) return true;
  const uint64_t position = this->newest - sequence - 1;
  if (position >= kRemembered) return false;
  return ((this->previous >> position) & 1) != 0;
}

}  // namespace samphirebank::sharing
