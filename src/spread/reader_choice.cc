#include "spread/reader_choice.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>

namespace burdockwheel::spread {

namespace {

std::uint64_t WeightOf(model::Incarnation host, std::uint64_t version) {
  const std::array<std::uint64_t, 2> input = {host.value, version};
  return XXH3_64bits(input.data(), sizeof(input));
}

}  // namespace

bool IsReader(model::Incarnation self,
              const std::vector<model::Incarnation>& others,
              std::uint64_t version) {
  const auto own_weight = WeightOf(self, version);
  std::size_t better = 0;
  for (const auto other : others) {
    if (WeightOf(other, version) > own_weight) ++better;
  }
  return better < kReadersInDomain;
}

}  // namespace burdockwheel::spread
