// The path patterns of kinds of call, such as "/slots/{plant}".
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace burdockwheel::configuration {

constexpr std::size_t kMostPathSegments = 16;
constexpr std::size_t kMostPatternBytes = 256;

// Tells whether `pattern` is "/" or a list of segments, each either of the
// characters that a path segment may hold unescaped (pchar of RFC 3986, section
// 3.3) or a name in braces.
bool IsPathPattern(std::string_view pattern);

// Returns the segments. Precondition: IsPathPattern(pattern).
std::vector<std::string_view> PatternSegments(std::string_view pattern);

constexpr bool IsWildcard(std::string_view segment) {
  return segment.starts_with('{');
}

// Returns the pattern with the names of its wildcards left out. Two patterns
// of the same shape match the same paths.
std::string PatternShape(std::string_view pattern);

}  // namespace burdockwheel::configuration
