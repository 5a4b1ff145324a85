// What was known of a worker when a call was given to it.
#pragma once

#include <chrono>
#include <optional>

namespace burdockwheel::routing {

struct ChoiceEvidence {
  int candidates = 0;     // workers that could have taken the call
  bool is_trial = false;  // the call tries a worker that was ejected or slow
  bool is_local = true;   // in the host's own failure domain
  int slots = 0;
  int own_in_flight = 0;     // this host's attempts at the worker
  double expected_load = 0;  // calls there from all hosts
  double expected_worth = 1;
  std::chrono::nanoseconds expected_delay{0};
  std::optional<double> slowdown;  // of its machine, by its newest report
  std::optional<std::chrono::nanoseconds> report_age;  // none: never reported
};

}  // namespace burdockwheel::routing
