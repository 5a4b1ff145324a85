// Defines CrashHint, which heartbeats carry: a suspicion that a call crashes
// workers.
#pragma once

#include <cstdint>

#include "model/identifiers.h"

namespace burdockwheel::membership {

struct CrashHint {
  std::uint64_t fingerprint = 0;
  model::ServiceName service;
  model::WorkerId worker;
  int crashes = 0;  // of `worker` by calls with `fingerprint`

  friend bool operator==(const CrashHint&, const CrashHint&) = default;
};

}  // namespace burdockwheel::membership
