#include "samphirebank/sharing/sharing.h"

namespace samphirebank::sharing {

namespace {
constexpr uint64_t kBitmapSize = 64;
}  // namespace

bool Receipts::Add(uint64_t sequence) {
  if (sequence > this->newest) {
    const uint64_t advance = sequence - this->newest;
    // The former newest becomes bit advance - 1; the others shift by advance.
    this->previous = advance >= kBitmapSize ? 0 : this->previous << advance;
    if (advance <= kBitmapSize) {
      this->previous |= uint64_t{1} << (advance - 1);
    }
    this->newest = sequence;
    return true;
  }
  if (sequence == this->newest || sequence == 0) return false;
  const uint64_t position = this->newest - sequence - 1;
  if (position >= kBitmapSize) return false;
  const uint64_t bit = uint64_t{1} << position;
  const bool is_new = (this->previous & bit) == 0;
  this->previous |= bit;
  return is_new;
}

bool Receipts::Contains(uint64_t sequence) const {
  if (sequence == 0 || sequence > this->newest) return false;
  if (sequence == this->newest) return true;
  const uint64_t position = this->newest - sequence - 1;
  if (position >= kBitmapSize) return false;
  return ((this->previous >> position) & 1) != 0;
}

}  // namespace samphirebank::sharing
