#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <string_view>

#include "samphirebank/relay/relay.h"

namespace samphirebank::relay {
namespace {

// kHopByHopHeaders apply to a single connection or to its framing (RFC 9110,
// section 7.6.1).
constexpr std::array<std::string_view, 12> kHopByHopHeaders = {
    "connection",          "content-length",    "host",    "keep-alive",
    "proxy-authenticate",  "proxy-connection",  "te",      "trailer",
    "proxy-authorization", "transfer-encoding", "upgrade", "expect"};

bool IsHopByHop(std::string_view name) {
  return std::find(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), name) !=
         kHopByHopHeaders.end();
}

bool IsInternal(std::string_view name) {
  return name.starts_with(kInternalPrefix);
}

// IsFieldSafe returns whether a header name or value is free of the characters
// that would end it early: CR, LF and NUL.
bool IsFieldSafe(std::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    return c == '\r' || c == '\n' || c == '\0';
  });
}

std::string Lower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return lower;
}

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  const size_t last = text.find_last_not_of(" \t");
  return text.substr(first, last - first + 1);
}

// ConnectionHeaders returns the names of the headers that a Connection header
// declares to be hop-by-hop.
std::set<std::string> ConnectionHeaders(
    const std::vector<net::Header>& headers) {
  std::set<std::string> names;
  for (const net::Header& header : headers) {
    if (header.name != "connection") continue;
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const size_t comma = std::min(rest.find(','), rest.size());
      names.insert(Lower(Trim(rest.substr(0, comma))));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return names;
}

std::vector<net::Header> EndToEndHeaders(
    const std::vector<net::Header>& headers) {
  const std::set<std::string> connection_headers = ConnectionHeaders(headers);
  std::vector<net::Header> forwarded;
  for (const net::Header& header : headers) {
    const std::string name = Lower(header.name);
    const bool is_dropped = IsHopByHop(name) || IsInternal(name) ||
                            connection_headers.contains(name) ||
                            !IsFieldSafe(name) || !IsFieldSafe(header.value);
    if (!is_dropped) forwarded.push_back({.name = name, .value = header.value});
  }
  return forwarded;
}

}  // namespace

std::vector<net::Header> RequestHeaders(
    const std::vector<net::Header>& from_caller) {
  std::vector<net::Header> forwarded = EndToEndHeaders(from_caller);
  std::erase_if(forwarded, [](const net::Header& header) {
    return header.name == "authorization" || header.name == "x-api-key";
  });
  return forwarded;
}

std::vector<net::Header> ResponseHeaders(
    const std::vector<net::Header>& from_target) {
  return EndToEndHeaders(from_target);
}

}  // namespace samphirebank::relay
