// Decides, for each call with a key, whether it runs and what its caller is
// told. A key is issued by one host incarnation, and only that incarnation ever
// runs the call; every other host asks it, and says "unknown" if it cannot.
// See docs/design/at-most-once.md.
#pragma once

#include <cstddef>
#include <memory>

#include "kernel/instant.h"
#include "ownership/ownership_actions.h"
#include "ownership/ownership_events.h"
#include "ownership/ownership_settings.h"

namespace burdockwheel::ownership {

// How full the bounded stores are.
struct OwnershipGauges {
  std::size_t keys = 0;
  std::size_t runs_in_flight = 0;
  std::size_t answer_bytes = 0;
  std::size_t held_bytes = 0;
  std::size_t pending_calls = 0;
};

// Pure: the same events at the same times give the same actions.
class OwnershipCoordinator {
 public:
  explicit OwnershipCoordinator(const OwnershipSettings& settings);
  ~OwnershipCoordinator();
  OwnershipCoordinator(const OwnershipCoordinator&) = delete;
  OwnershipCoordinator& operator=(const OwnershipCoordinator&) = delete;

  // Takes one event and appends what is to be done to `actions`. `now` never
  // falls from one event to the next.
  void Handle(kernel::Instant now, const Event& event, Actions& actions);

  OwnershipGauges Gauges() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace burdockwheel::ownership
