#include "configuration/path_pattern.h"

#include <algorithm>

namespace burdockwheel::configuration {

namespace {

bool IsAlphanumeric(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9');
}

bool IsLiteralCharacter(char character) {
  static constexpr std::string_view kOthers = "-._~!$&'()*+,;=:@";
  return IsAlphanumeric(character) ||
         kOthers.find(character) != std::string_view::npos;
}

bool IsSegment(std::string_view segment) {
  if (segment.empty() || segment == "." || segment == "..") return false;
  if (!IsWildcard(segment))
    return std::ranges::all_of(segment, IsLiteralCharacter);
  if (segment.size() < 3 || segment.back() != '}') return false;
  const auto name = segment.substr(1, segment.size() - 2);
  return std::ranges::all_of(name, [](char character) {
    return IsAlphanumeric(character) || character == '_' || character == '-';
  });
}

}  // namespace

std::vector<std::string_view> PatternSegments(std::string_view pattern) {
  std::vector<std::string_view> segments;
  if (pattern == "/") return segments;
  while (!pattern.empty()) {
    pattern.remove_prefix(1);
    const auto end = std::min(pattern.find('/'), pattern.size());
    segments.push_back(pattern.substr(0, end));
    pattern.remove_prefix(end);
  }
  return segments;
}

bool IsPathPattern(std::string_view pattern) {
  if (!pattern.starts_with('/') || pattern.size() > kMostPatternBytes)
    return false;
  const auto segments = PatternSegments(pattern);
  if (segments.size() > kMostPathSegments) return false;
  return std::ranges::all_of(segments, IsSegment);
}

std::string PatternShape(std::string_view pattern) {
  std::string shape;
  for (const auto segment : PatternSegments(pattern)) {
    shape += '/';
    shape += IsWildcard(segment) ? "{}" : segment;
  }
  return shape;
}

}  // namespace burdockwheel::configuration
