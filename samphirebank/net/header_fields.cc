#include "samphirebank/net/internal/header_fields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>

namespace samphirebank::net::internal {
namespace {

struct KnownField {
  std::string_view name;
  lws_token_indexes token;
};

constexpr std::array kKnownFields = {
    KnownField{"accept", WSI_TOKEN_HTTP_ACCEPT},
    KnownField{"accept-language", WSI_TOKEN_HTTP_ACCEPT_LANGUAGE},
    KnownField{"authorization", WSI_TOKEN_HTTP_AUTHORIZATION},
    KnownField{"connection", WSI_TOKEN_CONNECTION},
    KnownField{"content-type", WSI_TOKEN_HTTP_CONTENT_TYPE},
    KnownField{"content-length", WSI_TOKEN_HTTP_CONTENT_LENGTH},
    KnownField{"etag", WSI_TOKEN_HTTP_ETAG},
    KnownField{"if-match", WSI_TOKEN_HTTP_IF_MATCH},
    KnownField{"location", WSI_TOKEN_HTTP_LOCATION},
    KnownField{"retry-after", WSI_TOKEN_HTTP_RETRY_AFTER},
    KnownField{"user-agent", WSI_TOKEN_HTTP_USER_AGENT},
};

// Fields that libwebsockets has no token for; it wants the colon.
constexpr std::array<std::string_view, 10> kCustomFields = {
    "change-id:",
    "idempotency-key:",
    "operator:",
    "samphirebank-fence:",
    "samphirebank-fence-scope:",
    "samphirebank-not-run:",
    "samphirebank-request-id:",
    "samphirebank-resume-after:",
    "traceparent:",
    "x-request-id:",
};

constexpr std::array<std::pair<int, std::string_view>, 7> kMethods = {{
    {LWSHUMETH_GET, "GET"},
    {LWSHUMETH_POST, "POST"},
    {LWSHUMETH_OPTIONS, "OPTIONS"},
    {LWSHUMETH_PUT, "PUT"},
    {LWSHUMETH_PATCH, "PATCH"},
    {LWSHUMETH_DELETE, "DELETE"},
    {LWSHUMETH_HEAD, "HEAD"},
}};

bool HasControlByte(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
  });
}

std::string ReadKnown(lws* wsi, lws_token_indexes token) {
  std::string value(lws_hdr_total_length(wsi, token) + 1, '\0');
  const int length =
      lws_hdr_copy(wsi, value.data(), static_cast<int>(value.size()), token);
  value.resize(std::max(length, 0));
  return value;
}

std::string ReadQuery(lws* wsi) {
  std::string query;
  for (int i = 0;; ++i) {
    const int length = lws_hdr_fragment_length(wsi, WSI_TOKEN_HTTP_URI_ARGS, i);
    if (length <= 0) return query;
    std::string part(length + 1, '\0');
    const int copied = lws_hdr_copy_fragment(wsi, part.data(), length + 1,
                                             WSI_TOKEN_HTTP_URI_ARGS, i);
    part.resize(std::max(copied, 0));
    if (!query.empty()) query += '&';
    query += part;
  }
}

RequestFault ReadLength(lws* wsi, RequestHead& head) {
  if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0) {
    return RequestFault::kTransferEncoding;
  }
  if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH) == 0) {
    const bool has_body =
        head.method == "POST" || head.method == "PUT" || head.method == "PATCH";
    return has_body ? RequestFault::kNoLength : RequestFault::kNone;
  }
  if (lws_hdr_fragment_length(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH, 1) > 0) {
    return RequestFault::kConflictingLength;
  }
  const std::string text = ReadKnown(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  int64_t length = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), length);
  const bool whole = end == text.data() + text.size();
  if (error != std::errc() || !whole || length < 0) {
    return RequestFault::kConflictingLength;
  }
  head.content_length = Bytes(length);
  return RequestFault::kNone;
}

// ReadHeaders returns the known header fields of a request; others stay unread.
std::vector<Header> ReadHeaders(lws* wsi) {
  std::vector<Header> headers;
  for (const KnownField& field : kKnownFields) {
    if (lws_hdr_total_length(wsi, field.token) <= 0) continue;
    headers.push_back({.name = std::string(field.name),
                       .value = ReadKnown(wsi, field.token)});
  }
  for (const std::string_view name : kCustomFields) {
    const int name_length = static_cast<int>(name.size());
    const int length = lws_hdr_custom_length(wsi, name.data(), name_length);
    if (length <= 0) continue;
    std::string value(length + 1, '\0');
    const int copied = lws_hdr_custom_copy(wsi, value.data(), length + 1,
                                           name.data(), name_length);
    value.resize(std::max(copied, 0));
    headers.push_back({.name = std::string(name.substr(0, name.size() - 1)),
                       .value = std::move(value)});
  }
  return headers;
}

// IsKnown returns whether this system uses a header field.
bool IsKnown(std::string_view name) {
  const bool has_token =
      std::ranges::find(kKnownFields, name, &KnownField::name) !=
      kKnownFields.end();
  return has_token || std::ranges::any_of(kCustomFields, [&](auto custom) {
           return custom.substr(0, custom.size() - 1) == name;
         });
}

}  // namespace

std::vector<Header> KeepKnown(std::vector<Header> headers) {
  std::erase_if(headers,
                [](const Header& header) { return !IsKnown(header.name); });
  return headers;
}

RequestFault ReadRequestHead(lws* wsi, RequestHead& head) {
  char* uri = nullptr;
  int uri_length = 0;
  const int method = lws_http_get_uri_and_method(wsi, &uri, &uri_length);
  const auto* known =
      std::find_if(kMethods.begin(), kMethods.end(),
                   [method](const auto& item) { return item.first == method; });
  if (known == kMethods.end()) return RequestFault::kMalformed;
  head.method = std::string(known->second);
  head.path = std::string(uri, uri_length);
  head.query = ReadQuery(wsi);
  head.headers = ReadHeaders(wsi);
  if (HasControlByte(head.path) || HasControlByte(head.query)) {
    return RequestFault::kMalformed;
  }
  for (const Header& header : head.headers) {
    if (HasControlByte(header.value)) return RequestFault::kMalformed;
  }
  return ReadLength(wsi, head);
}

}  // namespace samphirebank::net::internal
