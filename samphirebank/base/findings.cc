#include <string>
#include <string_view>
#include <utility>

#include "samphirebank/base/base.h"

namespace samphirebank {

void Findings::Add(std::string place, std::string value, std::string allowed) {
  this->items.push_back(Finding{.place = std::move(place),
                                .value = std::move(value),
                                .allowed = std::move(allowed)});
}

void Findings::Merge(std::string_view prefix, const Findings& other) {
  for (const Finding& finding : other.items) {
    this->Add(std::string(prefix) + finding.place, finding.value,
              finding.allowed);
  }
}

std::string Findings::ToText() const {
  std::string text;
  for (const Finding& finding : this->items) {
    text += finding.place + ": " + finding.value + ": " + finding.allowed;
    text += '\n';
  }
  return text;
}

}  // namespace samphirebank
