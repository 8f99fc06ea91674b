#include "samphirebank/dialect/dialect.h"

namespace samphirebank::dialect {

std::string_view Path(const Call& call) {
  return std::string_view(call.target).substr(0, call.target.find('?'));
}

}  // namespace samphirebank::dialect
