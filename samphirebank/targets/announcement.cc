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
constexpr int64_t kUsualRenewMs = 500;
constexpr size_t kMaxServices = 256;
constexpr size_t kMaxNameBytes = 200;

// Reader takes fields out of a JSON object and collects what is wrong.
struct Reader {
  const Json& object;
  Findings& findings;

  std::string Text(const char* name) const {
    const auto found = this->object.find(name);
    const bool usable =
        found != this->object.end() && found->is_string() &&
        !found->get_ref<const std::string&>().empty() &&
        found->get_ref<const std::string&>().size() <= kMaxNameBytes;
    if (usable) return found->get<std::string>();
    this->findings.Add(name, "", "a text of 1 to 200 bytes");
    return {};
  }

  int64_t Number(const char* name, int64_t least, int64_t most,
                 int64_t otherwise) const {
    const auto found = this->object.find(name);
    if (found == this->object.end()) return otherwise;
    const bool usable =
        found->is_number_integer() && *found >= least && *found <= most;
    if (usable) return found->get<int64_t>();
    this->findings.Add(name, found->dump(),
                       "a number from " + std::to_string(least) + " to " +
                           std::to_string(most));
    return otherwise;
  }

  bool Flag(const char* name) const {
    const auto found = this->object.find(name);
    if (found == this->object.end()) return false;
    if (found->is_boolean()) return found->get<bool>();
    this->findings.Add(name, found->dump(), "true or false");
    return false;
  }
};

ServiceOffer ReadOffer(const Json& item, Findings& findings) {
  if (!item.is_object()) {
    findings.Add("", item.dump(), "an object");
    return {};
  }
  const Reader reader{.object = item, .findings = findings};
  ServiceOffer offer;
  offer.name = ServiceId(reader.Text("name"));
  offer.repeatable = reader.Flag("repeatable");
  const Json kind = item.value("kind", Json("model"));
  if (kind != "model" && kind != "service") {
    findings.Add("kind", kind.dump(), "model or service");
  }
  offer.model = kind == "model";
  return offer;
}

std::vector<ServiceOffer> ReadOffers(const Json& object, Findings& findings) {
  std::vector<ServiceOffer> offers;
  const auto found = object.find("services");
  const bool usable = found != object.end() && found->is_array() &&
                      !found->empty() && found->size() <= kMaxServices;
  if (!usable) {
    findings.Add("services", "", "a list of 1 to 256 services");
    return offers;
  }
  for (size_t i = 0; i < found->size(); ++i) {
    Findings inner;
    offers.push_back(ReadOffer((*found)[i], inner));
    findings.Merge("services[" + std::to_string(i) + "].", inner);
  }
  return offers;
}

}  // namespace

ParsedAnnouncement ParseAnnouncement(std::string_view text) {
  ParsedAnnouncement read;
  const Json object = json::Parse(text);
  if (!object.is_object()) {
    read.findings.Add("body", "", "a JSON object");
    return read;
  }
  const Reader reader{.object = object, .findings = read.findings};
  Announcement& announcement = read.announcement;
  announcement.id = TargetId(reader.Text("id"));
  announcement.region = RegionId(reader.Text("region"));
  announcement.zone = ZoneId(reader.Text("availability_zone"));
  const std::string address = reader.Text("address");
  const auto parsed = net::ParseSocketAddress(address);
  if (!parsed) read.findings.Add("address", address, "an IP number and a port");
  announcement.address = parsed.value_or(net::SocketAddress{});
  announcement.services = ReadOffers(object, read.findings);
  announcement.slots =
      static_cast<uint32_t>(reader.Number("slots", 0, kMaxSlots, 0));
  announcement.traits = {.can_resume = reader.Flag("can_resume"),
                         .echoes_id = reader.Flag("echoes_request_id"),
                         .states_not_run = reader.Flag("states_not_run"),
                         .checks_fencing = reader.Flag("checks_fencing")};
  announcement.renew = std::chrono::milliseconds(
      reader.Number("renew_ms", kMinRenewMs, kMaxRenewMs, kUsualRenewMs));
  return read;
}

std::optional<Load> ParseLoad(std::string_view text) {
  const Json object = json::Parse(text);
  if (!object.is_object()) return std::nullopt;
  Findings findings;
  const Reader reader{.object = object, .findings = findings};
  const Load load{
      .running =
          static_cast<uint32_t>(reader.Number("running", 0, kMaxSlots, 0)),
      .waiting =
          static_cast<uint32_t>(reader.Number("waiting", 0, kMaxSlots, 0))};
  if (!findings.empty()) return std::nullopt;
  return load;
}

}  // namespace samphirebank::targets
