// The bound on what a host spends on measuring its workers.
#pragma once

#include <cstdint>

#include "kernel/instant.h"

namespace burdockwheel::routing {

struct ProbeBudgetSettings {
  double probes_per_call = 0.05;
  double floor_per_second = 1.0;   // granted without any calls
  double most_per_second = 100.0;  // held whatever the calls would grant
  double burst = 20.0;             // probes that may be saved up
};

// A token bucket. Every probe takes a token or is not sent; there is no way
// round it. One instance may serve all services of a host.
class ProbeBudget {
 public:
  explicit ProbeBudget(const ProbeBudgetSettings& settings = {});

  // Grants the share of a probe that a first try of a call brings.
  void CallStarted();

  // Returns how many probes may be sent now.
  int Available(kernel::Instant now);

  // Takes the token of one probe, or returns false and counts a refusal.
  [[nodiscard]] bool TrySpend(kernel::Instant now);

  std::uint64_t SentCount() const { return this->sent; }
  std::uint64_t RefusedCount() const { return this->refused; }

 private:
  void Refill(kernel::Instant now);

  ProbeBudgetSettings settings;
  double tokens = 0;   // granted by calls and time
  double ceiling = 0;  // granted by time alone at most_per_second
  bool has_started = false;
  kernel::Instant refilled_at;
  std::uint64_t sent = 0;
  std::uint64_t refused = 0;
};

}  // namespace burdockwheel::routing
