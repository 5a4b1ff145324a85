// Seeded malformed HTTP messages for tests.
#pragma once

#include <random>
#include <string>
#include <vector>

namespace burdockwheel::http::testing {

// Returns one of `samples` with a few bytes changed, removed, repeated or cut
// off.
inline std::string Mutate(const std::vector<std::string>& samples,
                          std::mt19937_64& random) {
  std::string bytes = samples[random() % samples.size()];
  const auto changes = 1 + random() % 4;
  for (std::size_t change = 0; change < changes; ++change) {
    if (bytes.empty()) return bytes;
    const auto position = random() % bytes.size();
    switch (random() % 5) {
      case 0:
        bytes[position] = static_cast<char>(random());
        break;
      case 1:
        bytes.erase(position, 1 + random() % 8);
        break;
      case 2:
        bytes.insert(position, bytes.substr(position, 1 + random() % 16));
        break;
      case 3:
        bytes.resize(position);
        break;
      default:
        bytes.insert(position, std::string(1 + random() % 4, '\n'));
        break;
    }
  }
  return bytes;
}

}  // namespace burdockwheel::http::testing
