#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "samphirebank/operators/internal/client.h"

namespace samphirebank::operators {
namespace {

using Json = nlohmann::ordered_json;

constexpr size_t kColumnGap = 2;

std::string CellOf(const Json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_null()) return "-";
  return value.dump();
}

// Flat turns {"contract": {...}, "revision": 3} into one level.
Json Flat(const Json& row) {
  Json flat = Json::object();
  for (const auto& [name, value] : row.items()) {
    if (value.is_object()) {
      flat.update(value);
    } else {
      flat[name] = value;
    }
  }
  return flat;
}

using Rows = std::vector<std::vector<std::string>>;

std::string Aligned(const Rows& rows) {
  std::vector<size_t> widths(rows.front().size(), 0);
  for (const auto& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    for (size_t i = 0; i + 1 < row.size(); ++i) {
      std::string cell = row[i];
      cell.resize(widths[i] + kColumnGap, ' ');
      text += cell;
    }
    text += row.back() + "\n";
  }
  return text;
}

std::string TableOfList(const Json& list) {
  if (list.empty()) return "(none)\n";
  Rows rows(1);
  const Json first = Flat(list.front());
  for (const auto& [name, value] : first.items()) {
    rows.front().push_back(name);
  }
  for (const Json& item : list) {
    const Json flat = Flat(item);
    std::vector<std::string> row;
    for (const std::string& name : rows.front()) {
      const auto found = flat.find(name);
      row.push_back(found == flat.end() ? "-" : CellOf(*found));
    }
    rows.push_back(std::move(row));
  }
  return Aligned(rows);
}

// Extras returns what a conflict states of the record as it stands.
std::string Extras(const Json& json) {
  std::string text;
  for (const char* extra : {"revision", "winner", "standing"}) {
    const auto found = json.find(extra);
    if (found == json.end()) continue;
    text += std::string(extra) + ": " + found->dump() + "\n";
  }
  return text;
}

bool IsTable(const Json& value) {
  return value.is_array() && (value.empty() || value.front().is_object());
}

}  // namespace

std::string TableOf(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return body;
  Rows fields;
  std::string tables;
  const Json flat = Flat(json);
  for (const auto& [name, value] : flat.items()) {
    if (IsTable(value)) {
      tables += "\n" + name + ":\n" + TableOfList(value);
    } else {
      fields.push_back({name, CellOf(value)});
    }
  }
  return (fields.empty() ? "" : Aligned(fields)) + tables;
}

std::string ProblemText(const ApiReply& reply) {
  const Json json = Json::parse(reply.body, nullptr, false);
  if (reply.status == 0) return reply.fault + "\n";
  if (!json.is_object()) return "status " + std::to_string(reply.status) + "\n";
  std::string text = std::to_string(reply.status) + " " +
                     json.value("title", "") + ": " + json.value("detail", "") +
                     "\n";
  const auto findings = json.find("findings");
  if (findings == json.end()) return text + Extras(json);
  for (const Json& finding : *findings) {
    text += finding.value("place", "") + ": " + finding.value("value", "") +
            ": " + finding.value("allowed", "") + "\n";
  }
  return text + Extras(json);
}

}  // namespace samphirebank::operators
