#include "settings/ip_endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace burdockwheel::settings {

namespace {

constexpr std::size_t kMostPortDigits = 5;

std::optional<std::uint16_t> TryParsePort(std::string_view text) {
  if (text.empty() || text.size() > kMostPortDigits) return std::nullopt;
  std::uint16_t port = 0;
  const auto* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || last != end) return std::nullopt;
  return port;
}

bool IsIpNumber(int family, const std::string& ip) {
  std::array<unsigned char, sizeof(in6_addr)> number{};
  return inet_pton(family, ip.c_str(), number.data()) == 1;
}

}  // namespace

bool IpEndpoint::IsWildcard() const {
  return this->ip == "0.0.0.0" || this->ip == "::";
}

std::string IpEndpoint::Text() const {
  const bool is_v6 = this->ip.find(':') != std::string::npos;
  return (is_v6 ? "[" + this->ip + "]" : this->ip) + ":" +
         std::to_string(this->port);
}

std::optional<IpEndpoint> TryParseIpEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const auto port = TryParsePort(text.substr(colon + 1));
  if (!port) return std::nullopt;
  auto number = text.substr(0, colon);
  const bool is_v6 = number.starts_with('[') && number.ends_with(']');
  if (is_v6) number = number.substr(1, number.size() - 2);
  const std::string ip(number);
  if (!IsIpNumber(is_v6 ? AF_INET6 : AF_INET, ip)) return std::nullopt;
  return IpEndpoint{ip, *port};
}

}  // namespace burdockwheel::settings
