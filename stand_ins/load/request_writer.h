// Writes the requests of a load generator.
#pragma once

#include <string>
#include <vector>

#include "stand_ins/load/load_call.h"
#include "stand_ins/load/load_plan.h"

namespace burdockwheel::stand_ins {

// Keeps the part of each kind's request that does not change.
class RequestWriter {
 public:
  explicit RequestWriter(const std::vector<LoadKind>& kinds);

  // The request for the call itself, with its key if it has one.
  std::string WriteCall(const LoadCall& call) const;

  // The request for a new idempotency key.
  static std::string WriteKeyFetch(const LoadCall& call);

 private:
  const std::vector<LoadKind>& kinds;
  std::vector<std::string> heads;
};

}  // namespace burdockwheel::stand_ins
