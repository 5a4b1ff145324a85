// Word of a call that crashes workers, as heartbeats carry it.
#pragma once

#include <cstdint>

#include "model/identifiers.h"

namespace burdockwheel::membership {

struct CrashHint {
  std::uint64_t fingerprint = 0;
  model::ServiceName service;
  model::WorkerId worker;
  int crashes = 0;  // of this worker by this fingerprint

  friend bool operator==(const CrashHint&, const CrashHint&) = default;
};

}  // namespace burdockwheel::membership
