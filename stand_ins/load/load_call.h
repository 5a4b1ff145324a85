// One call of a load generator, from its intended time to its end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "kernel/instant.h"

namespace burdockwheel::stand_ins {

struct LoadCall {
  std::size_t kind = 0;
  std::size_t caller = 0;
  std::uint64_t token = 0;
  // When the open loop wanted to send it; latencies count from here.
  kernel::Instant intended;
  bool is_recorded = true;
  std::string key;
  bool is_fetching_key = false;
  int sends = 0;
  std::size_t target = 0;
  // True once a send may have led to a run.
  bool may_have_run = false;
};

}  // namespace burdockwheel::stand_ins
