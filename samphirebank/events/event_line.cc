#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "samphirebank/events/events.h"

namespace samphirebank::events {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::string_view, 4> kSeverityNames = {"debug", "info",
                                                            "warning", "error"};

// Writer adds the fields of an event that are set.
class Writer {
 public:
  Writer(Json* into, const Kind* row) : line(into), kind(row) {}

  void Text(std::string_view name, const std::string& value) {
    if (!value.empty()) this->Put(name, value);
  }

  template <typename Tag, typename Rep>
  void Number(std::string_view name,
              const std::optional<StrongNumber<Tag, Rep>>& value) {
    if (value) this->Put(name, value->value);
  }

  void Number(std::string_view name, const std::optional<int64_t>& value) {
    if (value) this->Put(name, *value);
  }

  void Milliseconds(std::string_view name,
                    const std::optional<Duration>& value) {
    using Span = std::chrono::duration<double, std::milli>;
    if (value) this->Put(name, Span(*value).count());
  }

 private:
  void Put(std::string_view name, Json value) {
    (*this->line)[std::string(name)] = std::move(value);
    if (this->kind == nullptr) return;
    const auto& declared = this->kind->fields;
    if (std::find(declared.begin(), declared.end(), name) == declared.end()) {
      (*this->line)["undeclared"].push_back(name);
    }
  }

  Json* line;
  const Kind* kind;
};

void WriteFields(const Event& event, Writer writer) {
  writer.Text("request", event.request.value);
  writer.Text("organisation", event.organisation.value);
  writer.Text("target", event.target.value);
  writer.Text("service", event.service.value);
  writer.Text("region", event.region.value);
  writer.Text("peer", event.peer.value);
  writer.Text("change", event.change.value);
  writer.Number("revision", event.revision);
  writer.Number("term", event.term);
  writer.Number("epoch", event.epoch);
  writer.Number("tokens", event.tokens);
  writer.Number("bytes", event.bytes);
  writer.Milliseconds("duration_ms", event.duration);
  writer.Number("status", event.status);
  writer.Number("count", event.count);
  writer.Text("outcome", event.outcome);
  writer.Text("address", event.address);
  writer.Text("reason", event.reason);
  writer.Text("detail", event.detail);
}

}  // namespace

std::string EventLine(const Source& source, Stamp stamp, const Event& event) {
  const Kind* kind = FindKind(event.number);
  Json line;
  line["wall_ms"] = stamp.wall_ms;
  line["logical"] = stamp.logical;
  line["instance"] = source.instance.value;
  line["role"] = source.role;
  line["boot"] = source.boot.value;
  line["event"] = static_cast<int>(event.number);
  if (kind != nullptr) {
    line["name"] = kind->name;
    line["severity"] = kSeverityNames.at(static_cast<size_t>(kind->severity));
  }
  WriteFields(event, Writer(&line, kind));
  return line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace samphirebank::events
