// Addresses by IP number and port, as settings and lists write them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace burdockwheel::http {

// Parses "127.0.0.1:8001" or "[::1]:8001". Host names are not looked up.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpointOrNull(
    std::string_view text);

// Writes an endpoint in the same form.
std::string EndpointText(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace burdockwheel::http
