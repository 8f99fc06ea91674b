#include "samphirebank/storage/storage.h"

namespace samphirebank::storage {

std::string Error::ToText() const {
  std::string text = this->file + " at byte " + std::to_string(this->offset) +
                     ": " + this->detail;
  if (this->kind == ErrorKind::kCorrupt) {
    text +=
        "; this member must not vote with this data: move the data folder "
        "aside, start with an empty one and run `control replace` on a healthy "
        "instance";
  }
  return text;
}

}  // namespace samphirebank::storage
