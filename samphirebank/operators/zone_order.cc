#include "samphirebank/operators/internal/zone_order.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace samphirebank::operators {
namespace {

using settings::ZoneVerb;

constexpr int kRedirect = 307;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kMostRedirects = 2;
constexpr int kMostRefusals = 3;
constexpr std::array<int, 5> kFinal = {400, 409, 412, 413, 422};
constexpr std::array<int, 2> kElsewhere = {408, 429};

bool IsDone(const ZoneAnswer& answer) {
  return answer.status >= 200 && answer.status < 300;
}

// AddressIn reads the address of "http://ip:port/path".
std::optional<net::SocketAddress> AddressIn(const std::string& location) {
  constexpr std::string_view kScheme = "http://";
  if (!location.starts_with(kScheme)) return std::nullopt;
  const size_t slash = location.find('/', kScheme.size());
  return net::ParseSocketAddress(
      location.substr(kScheme.size(), slash - kScheme.size()));
}

// ZonesIn returns the zones of a list, parted by spaces.
std::string ZonesIn(const nlohmann::json& list) {
  std::string text;
  for (const auto& zone : list) {
    if (!zone.is_string()) continue;
    text += (text.empty() ? "" : " ") + zone.get<std::string>();
  }
  return text.empty() ? "(none)" : text;
}

}  // namespace

std::string ZoneMethod(ZoneVerb verb) {
  switch (verb) {
    case ZoneVerb::kEvacuate:
      return "POST";
    case ZoneVerb::kRestore:
      return "DELETE";
    case ZoneVerb::kList:
      break;
  }
  return "GET";
}

std::string ZonePath(const settings::ZoneSettings& settings,
                     const dialect::Dialect& dialect) {
  if (settings.verb == ZoneVerb::kList) return dialect.evacuations_path;
  return dialect.evacuations_path + "/" + settings.zone.value;
}

net::SocketAddress NextServer(ZoneTries& tries) {
  if (tries.redirect) return *std::exchange(tries.redirect, std::nullopt);
  return tries.servers[tries.next++ % tries.servers.size()];
}

ZoneStep RecordAnswer(ZoneTries& tries, const ZoneAnswer& answer) {
  tries.last = answer;
  if (IsDone(answer)) return ZoneStep::kDone;
  if (answer.status == kRedirect && tries.redirects < kMostRedirects) {
    tries.redirect = AddressIn(answer.location);
    ++tries.redirects;
    if (tries.redirect) return ZoneStep::kFollow;
  }
  tries.redirects = 0;
  // A server error does not say whether the order will be committed.
  const bool may_have_run =
      answer.status == 0 ? answer.was_sent : answer.status >= 500;
  tries.is_unclear = tries.is_unclear || may_have_run;
  if (std::ranges::find(kFinal, answer.status) != kFinal.end()) {
    return ZoneStep::kDone;
  }
  const bool refused =
      answer.status >= 400 && answer.status < 500 &&
      std::ranges::find(kElsewhere, answer.status) == kElsewhere.end();
  if (refused && ++tries.refusals >= kMostRefusals) return ZoneStep::kDone;
  return ZoneStep::kRetry;
}

std::string ZoneText(const settings::ZoneSettings& settings,
                     const ZoneAnswer& answer) {
  if (settings.verb == ZoneVerb::kEvacuate) {
    return "zone " + settings.zone.value + " is evacuated\n";
  }
  if (settings.verb == ZoneVerb::kRestore) {
    return "zone " + settings.zone.value + " is restored\n";
  }
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  const bool is_list =
      json.is_object() && json.contains("revision") && json.contains("zones");
  if (!is_list) return answer.body + "\n";
  return "revision   " + json["revision"].dump() + "\nevacuated  " +
         ZonesIn(json["zones"]) + "\n";
}

std::string ZoneFault(const settings::ZoneSettings& settings,
                      const ZoneTries& tries) {
  const ZoneAnswer& last = tries.last;
  const bool is_order = settings.verb != ZoneVerb::kList;
  const std::string zone = "zone " + settings.zone.value;
  if (is_order && last.status == kNotFound) {
    return zone + " is not a zone of the fleet; nothing was changed\n";
  }
  if (is_order && last.status == kConflict) {
    return zone +
           " is the last one that is not evacuated; nothing was "
           "changed\n";
  }
  if (is_order && tries.is_unclear) {
    return "the outcome is not known: the order may be in force; send it "
           "again, or look with samphirebank zone list\n";
  }
  if (last.status == 0) {
    return "no coordinator was reached: " + last.fault + "\n";
  }
  return "status " + std::to_string(last.status) + ": " + last.body +
         (last.body.ends_with('\n') ? "" : "\n");
}

}  // namespace samphirebank::operators
