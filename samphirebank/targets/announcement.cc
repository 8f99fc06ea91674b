#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "samphirebank/json/json.h"
#include "samphirebank/targets/targets.h"

namespace samphirebank::targets {
namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxSlots = 100'000;
constexpr int64_t kMinRenewMs = 50;
constexpr int64_t kMaxRenewMs = 60'000;
constexpr int64_t kDefaultRenewMs = 500;
constexpr size_t kMaxServices = 256;
constexpr size_t kMaxNameBytes = 200;

// FieldReader reads typed fields of a JSON object. A missing or invalid field
// yields a default value; each fault is added to `findings`.
struct FieldReader {
  const Json& object;
  Findings& findings;

  std::string String(const char* name) const {
    const auto found = this->object.find(name);
    const bool valid =
        found != this->object.end() && found->is_string() &&
        !found->get_ref<const std::string&>().empty() &&
        found->get_ref<const std::string&>().size() <= kMaxNameBytes;
    if (valid) return found->get<std::string>();
    this->findings.Add(name, "", "a text of 1 to 200 bytes");
    return {};
  }

  int64_t Integer(const char* name, int64_t min, int64_t max,
                  int64_t default_value) const {
    const auto found = this->object.find(name);
    if (found == this->object.end()) return default_value;
    const bool valid =
        found->is_number_integer() && *found >= min && *found <= max;
    if (valid) return found->get<int64_t>();
    this->findings.Add(
        name, found->dump(),
        "a number from " + std::to_string(min) + " to " + std::to_string(max));
    return default_value;
  }

  bool Bool(const char* name) const {
    const auto found = this->object.find(name);
    if (found == this->object.end()) return false;
    if (found->is_boolean()) return found->get<bool>();
    this->findings.Add(name, found->dump(), "true or false");
    return false;
  }
};

ServiceOffer ParseOffer(const Json& item, Findings& findings) {
  if (!item.is_object()) {
    findings.Add("", item.dump(), "an object");
    return {};
  }
  const FieldReader reader{.object = item, .findings = findings};
  ServiceOffer offer;
  offer.name = ServiceId(reader.String("name"));
  offer.repeatable = reader.Bool("repeatable");
  const Json kind = item.value("kind", Json("model"));
  if (kind != "model" && kind != "service") {
    findings.Add("kind", kind.dump(), "model or service");
  }
  offer.is_model = kind == "model";
  return offer;
}

std::vector<ServiceOffer> ParseOffers(const Json& object, Findings& findings) {
  std::vector<ServiceOffer> offers;
  const auto found = object.find("services");
  const bool valid = found != object.end() && found->is_array() &&
                     !found->empty() && found->size() <= kMaxServices;
  if (!valid) {
    findings.Add("services", "", "a list of 1 to 256 services");
    return offers;
  }
  for (size_t i = 0; i < found->size(); ++i) {
    Findings offer_findings;
    offers.push_back(ParseOffer((*found)[i], offer_findings));
    findings.Merge("services[" + std::to_string(i) + "].", offer_findings);
  }
  return offers;
}

}  // namespace

ParsedAnnouncement ParseAnnouncement(std::string_view text) {
  ParsedAnnouncement result;
  const Json object = json::Parse(text);
  if (!object.is_object()) {
    result.findings.Add("body", "", "a JSON object");
    return result;
  }
  const FieldReader reader{.object = object, .findings = result.findings};
  Announcement& announcement = result.announcement;
  announcement.id = TargetId(reader.String("id"));
  announcement.region = RegionId(reader.String("region"));
  announcement.zone = ZoneId(reader.String("availability_zone"));
  const std::string value = reader.String("address");
  const auto parsed = net::ParseSocketAddress(value);
  const bool usable = parsed && net::IsHostAddress(*parsed);
  if (!usable) result.findings.Add("address", value, "an IP number and a port");
  announcement.address = parsed.value_or(net::SocketAddress{});
  announcement.services = ParseOffers(object, result.findings);
  announcement.slots =
      static_cast<uint32_t>(reader.Integer("slots", 0, kMaxSlots, 0));
  announcement.traits = {.can_resume = reader.Bool("can_resume"),
                         .echoes_id = reader.Bool("echoes_request_id"),
                         .states_not_run = reader.Bool("states_not_run"),
                         .checks_fencing = reader.Bool("checks_fencing")};
  announcement.renew_interval = std::chrono::milliseconds(
      reader.Integer("renew_ms", kMinRenewMs, kMaxRenewMs, kDefaultRenewMs));
  return result;
}

std::optional<Load> ParseLoad(std::string_view text) {
  const Json object = json::Parse(text);
  if (!object.is_object()) return std::nullopt;
  Findings findings;
  const FieldReader reader{.object = object, .findings = findings};
  const Load load{
      .running =
          static_cast<uint32_t>(reader.Integer("running", 0, kMaxSlots, 0)),
      .waiting =
          static_cast<uint32_t>(reader.Integer("waiting", 0, kMaxSlots, 0))};
  if (!findings.empty()) return std::nullopt;
  return load;
}

}  // namespace samphirebank::targets
