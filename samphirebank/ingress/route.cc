#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <string_view>
#include <utility>

#include "samphirebank/ingress/ingress.h"

namespace samphirebank::ingress {
namespace {

constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::array<std::string_view, 2> kModelPaths = {"/v1/chat/completions",
                                                         "/v1/completions"};
constexpr std::array<std::string_view, 3> kSafeMethods = {"GET", "HEAD",
                                                          "OPTIONS"};

template <typename Range>
bool Contains(const Range& range, std::string_view item) {
  return std::find(range.begin(), range.end(), item) != range.end();
}

// net::Loop delivers percent-decoded paths. PercentEncodePath encodes again the
// bytes that a request line must not contain, such as spaces and line breaks.
std::string PercentEncodePath(std::string_view path) {
  std::string encoded;
  for (const char c : path) {
    const auto byte = static_cast<unsigned char>(c);
    const bool is_allowed =
        byte > 0x20 && byte < 0x7f &&
        std::string_view("%?#\"<>\\^`{|}").find(c) == std::string_view::npos;
    if (is_allowed) {
      encoded += c;
      continue;
    }
    std::array<char, 4> hex{};
    std::snprintf(hex.data(), hex.size(), "%%%02X", byte);
    encoded += hex.data();
  }
  return encoded;
}

std::string AppendQuery(std::string path, const std::string& query) {
  if (!query.empty()) path += "?" + query;
  return path;
}

Route ServiceRoute(const net::RequestHead& head) {
  const std::string_view rest =
      std::string_view(head.path).substr(kServicesPrefix.size());
  const size_t slash = rest.find('/');
  const std::string name(rest.substr(0, slash));
  if (name.empty()) return Route{};
  const std::string_view path =
      slash == std::string_view::npos ? "/" : rest.substr(slash);
  return Route{.kind = RouteKind::kService,
               .service = ServiceId(name),
               .target_path = AppendQuery(PercentEncodePath(path), head.query)};
}

Route ExactRoute(const net::RequestHead& head, RouteKind kind,
                 std::string_view method) {
  if (head.method != method) return Route{.kind = RouteKind::kWrongMethod};
  return Route{.kind = kind, .target_path = AppendQuery(head.path, head.query)};
}

}  // namespace

Route FindRoute(const net::RequestHead& head) {
  if (Contains(kModelPaths, head.path)) {
    return ExactRoute(head, RouteKind::kModelCall, "POST");
  }
  if (head.path == "/v1/models") {
    return ExactRoute(head, RouteKind::kModelList, "GET");
  }
  if (head.path == "/healthz") {
    return ExactRoute(head, RouteKind::kHealth, "GET");
  }
  if (head.path == "/readyz") {
    return ExactRoute(head, RouteKind::kReady, "GET");
  }
  if (head.path.rfind(kServicesPrefix, 0) == 0) return ServiceRoute(head);
  return Route{};
}

bool IsRepeatable(const Route& route, std::string_view method) {
  return route.kind == RouteKind::kModelCall || Contains(kSafeMethods, method);
}

}  // namespace samphirebank::ingress
