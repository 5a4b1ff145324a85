// What came of the calls of a trace.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "engine/actions.h"

namespace burdockwheel::trace {

// Counts attempts and notes how each call ended. A trace states it in its last
// line, so that it proves something though details of the choices may change.
class TraceOutcome {
 public:
  void Observe(const engine::Actions& actions);

  nlohmann::json ToJson() const;

 private:
  // Such as "relayed" or "refused overloaded not-run", by call.
  std::map<std::uint64_t, std::string> endings;
  int first_tries = 0;
  int retries = 0;
  int hedges = 0;
  int cancelled = 0;
};

}  // namespace burdockwheel::trace
