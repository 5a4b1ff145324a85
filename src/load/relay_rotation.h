// Chooses who passes measurements on in the other failure domains.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "model/identifiers.h"

namespace burdockwheel::load {

// A host of another failure domain.
struct RelayCandidate {
  model::FailureDomain failure_domain;
  std::string address;
};

// What concerns a whole domain crosses to it once, to one of its hosts, which
// passes it on there: bytes between domains are dear. Another host takes each
// turn, so that one that is lost, and not yet known to be, costs one message
// and not all. Pure.
class RelayRotation {
 public:
  // `first`: where this host begins, so that hosts do not move in step.
  explicit RelayRotation(std::size_t first) : turn(first) {}

  // Returns the addresses of one host of each domain, or of up to `count`
  // different ones.
  std::vector<std::string> Take(const std::vector<RelayCandidate>& candidates,
                                std::size_t count = 1);

 private:
  std::size_t turn;
};

}  // namespace burdockwheel::load
