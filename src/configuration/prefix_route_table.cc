#include "configuration/prefix_route_table.h"

#include <algorithm>

namespace burdockwheel::configuration {

namespace {

// RFC 9110, 4.2.3: host names are compared without regard to case.
std::string Normalized(std::string_view host) {
  const auto colon = host.rfind(':');
  const bool has_port = colon != std::string_view::npos &&
                        host.find(']', colon) == std::string_view::npos;
  std::string name(has_port ? host.substr(0, colon) : host);
  std::ranges::transform(name, name.begin(), [](char character) {
    const bool is_upper = character >= 'A' && character <= 'Z';
    return is_upper ? static_cast<char>(character - 'A' + 'a') : character;
  });
  return name;
}

}  // namespace

PrefixRouteTable::PrefixRouteTable(
    const std::vector<model::PrefixRoute>& routes) {
  for (std::size_t index = 0; index < routes.size(); ++index)
    this->entries[routes[index].host].push_back({routes[index].prefix, index});
  for (auto& [host, prefixes] : this->entries) {
    std::ranges::sort(prefixes, [](const Entry& left, const Entry& right) {
      return left.prefix.size() > right.prefix.size();
    });
  }
}

std::optional<std::size_t> PrefixRouteTable::Find(
    std::string_view host, std::string_view target) const {
  const auto found = this->entries.find(Normalized(host));
  if (found == this->entries.end()) return std::nullopt;
  const auto path = target.substr(0, target.find_first_of("?#"));
  for (const auto& entry : found->second) {
    if (path.starts_with(entry.prefix)) return entry.index;
  }
  return std::nullopt;
}

}  // namespace burdockwheel::configuration
