#include "configuration/route_table.h"

#include <algorithm>

#include "configuration/path_pattern.h"

namespace burdockwheel::configuration {

namespace {

// Removes "." or "%2e" from the front.
bool TryRemoveDot(std::string_view& segment) {
  if (segment.starts_with('.')) {
    segment.remove_prefix(1);
    return true;
  }
  if (segment.starts_with("%2e") || segment.starts_with("%2E")) {
    segment.remove_prefix(3);
    return true;
  }
  return false;
}

bool IsDotSegment(std::string_view segment) {
  if (!TryRemoveDot(segment)) return false;
  return segment.empty() || (TryRemoveDot(segment) && segment.empty());
}

}  // namespace

RouteTable::RouteTable(const model::FleetConfiguration& configuration)
    : nodes(1) {
  for (std::size_t service = 0; service < configuration.services.size();
       ++service) {
    const auto& kinds = configuration.services[service].kinds;
    for (std::size_t kind = 0; kind < kinds.size(); ++kind)
      this->Insert(kinds[kind].method, kinds[kind].path_pattern,
                   {service, kind});
  }
}

void RouteTable::Insert(const std::string& method, std::string_view pattern,
                        Route route) {
  std::uint32_t node = 0;
  for (const auto segment : PatternSegments(pattern))
    node = this->ChildFor(node, segment);
  this->nodes[node].methods.push_back({method, route});
}

std::uint32_t RouteTable::ChildFor(std::uint32_t node,
                                   std::string_view segment) {
  const auto added = static_cast<std::uint32_t>(this->nodes.size());
  if (IsWildcard(segment)) {
    if (this->nodes[node].wildcard != 0) return this->nodes[node].wildcard;
    this->nodes[node].wildcard = added;
    this->nodes.emplace_back();
    return added;
  }
  if (const Edge* edge = FindLiteralOrNull(this->nodes[node], segment))
    return edge->node;
  auto& literals = this->nodes[node].literals;
  const auto place =
      std::ranges::lower_bound(literals, segment, {}, &Edge::segment);
  literals.insert(place, {std::string(segment), added});
  this->nodes.emplace_back();
  return added;
}

const RouteTable::Edge* RouteTable::FindLiteralOrNull(
    const Node& node, std::string_view segment) {
  const auto found =
      std::ranges::lower_bound(node.literals, segment, {}, &Edge::segment);
  if (found == node.literals.end() || found->segment != segment) return nullptr;
  return &*found;
}

const Route* RouteTable::FindMethodOrNull(const Node& node,
                                          std::string_view method) {
  for (const auto& entry : node.methods) {
    if (entry.method == method) return &entry.route;
  }
  if (method == "HEAD") return FindMethodOrNull(node, "GET");
  return nullptr;
}

const Route* RouteTable::FindOrNull(std::uint32_t node_index,
                                    std::string_view method,
                                    std::string_view rest) const {
  const Node& node = this->nodes[node_index];
  if (rest.empty()) return FindMethodOrNull(node, method);
  rest.remove_prefix(1);
  const auto end = std::min(rest.find('/'), rest.size());
  const auto segment = rest.substr(0, end);
  rest.remove_prefix(end);
  if (const Edge* edge = FindLiteralOrNull(node, segment)) {
    if (const Route* route = this->FindOrNull(edge->node, method, rest))
      return route;
  }
  if (node.wildcard == 0 || segment.empty() || IsDotSegment(segment))
    return nullptr;
  return this->FindOrNull(node.wildcard, method, rest);
}

std::optional<Route> RouteTable::Find(std::string_view method,
                                      std::string_view target) const {
  const auto path = target.substr(0, target.find_first_of("?#"));
  if (!path.starts_with('/')) return std::nullopt;
  const Route* route =
      this->FindOrNull(0, method, path == "/" ? std::string_view() : path);
  if (route == nullptr) return std::nullopt;
  return *route;
}

}  // namespace burdockwheel::configuration
