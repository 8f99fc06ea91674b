#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>

#include "samphirebank/net/internal/socket_address.h"
#include "samphirebank/net/net.h"

namespace samphirebank::net {

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  SocketAddress address;
  address.ip = std::string(text.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) return std::nullopt;
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc() || end != port.data() + port.size()) {
    return std::nullopt;
  }
  return address;
}

bool IsHostAddress(const SocketAddress& address) {
  in_addr parsed{};
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) return false;
  const uint32_t number = ntohl(parsed.s_addr);
  constexpr uint32_t kFirstMulticast = 0xe0000000;  // 224.0.0.0
  return address.port != 0 && number != 0 && number < kFirstMulticast;
}

std::optional<std::string> FindHeader(const std::vector<Header>& headers,
                                      std::string_view name) {
  for (const Header& header : headers) {
    if (header.name == name) return header.value;
  }
  return std::nullopt;
}

namespace internal {

sockaddr_in ToKernel(const SocketAddress& address) {
  sockaddr_in kernel{};
  kernel.sin_family = AF_INET;
  kernel.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &kernel.sin_addr);
  return kernel;
}

SocketAddress FromKernel(const sockaddr_in& kernel) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &kernel.sin_addr, text.data(), text.size());
  return {.ip = text.data(), .port = ntohs(kernel.sin_port)};
}

}  // namespace internal

}  // namespace samphirebank::net
