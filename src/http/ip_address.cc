#include "http/ip_address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <string>

namespace burdockwheel::http {

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpointOrNull(
    std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const auto port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  if (parsed.ec != std::errc() ||
      parsed.ptr != port_text.data() + port_text.size()) {
    return std::nullopt;
  }
  auto number = text.substr(0, colon);
  const bool is_bracketed =
      number.size() >= 2 && number.front() == '[' && number.back() == ']';
  if (is_bracketed) number = number.substr(1, number.size() - 2);
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address(std::string(number), error);
  if (error) return std::nullopt;
  // RFC 3986, 3.2.2: brackets tell the colons of an IPv6 address from the one
  // before the port.
  if (address.is_v6() != is_bracketed) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, port);
}

std::string EndpointText(const boost::asio::ip::tcp::endpoint& endpoint) {
  const auto number = endpoint.address().to_string();
  const bool is_v6 = endpoint.address().is_v6();
  return (is_v6 ? "[" + number + "]" : number) + ":" +
         std::to_string(endpoint.port());
}

}  // namespace burdockwheel::http
