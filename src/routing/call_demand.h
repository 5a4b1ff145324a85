// What a call needs of a worker.
#pragma once

#include <chrono>

#include "kernel/instant.h"

namespace burdockwheel::routing {

struct CallDemand {
  // How long the call takes on a free slot of a worker at its usual speed; zero
  // if that is not known.
  std::chrono::nanoseconds work{0};
  // How much more its answer is worth than that of the least call.
  double weight = 1;
  // An answer by then is worth its full value,
  kernel::Instant objective_at = kernel::Instant::max();
  // and none after this.
  kernel::Instant deadline = kernel::Instant::max();
};

}  // namespace burdockwheel::routing
