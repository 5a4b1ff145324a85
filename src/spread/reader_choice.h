// Which hosts of a failure domain watch the configuration service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "model/identifiers.h"

namespace burdockwheel::spread {

constexpr std::size_t kReadersInDomain = 2;

// Tells whether `self` is among the first of rendezvous hashing (Thaler,
// Ravishankar 1998) of itself and `others`, the other hosts of its failure
// domain that it holds for alive. The order depends on the version in force, so
// that the duty, and the bytes that it costs, go round. Hosts that see the
// fleet differently may choose more readers, or for a while none.
bool IsReader(model::Incarnation self,
              const std::vector<model::Incarnation>& others,
              std::uint64_t version);

}  // namespace burdockwheel::spread
