// An entry host as another one knows it.
#pragma once

#include <string>

#include "model/identifiers.h"

namespace burdockwheel::model {

struct KnownHost {
  // Where peers reach it. A process that starts again keeps its address.
  std::string address;
  FailureDomain failure_domain;

  friend bool operator==(const KnownHost&, const KnownHost&) = default;
};

}  // namespace burdockwheel::model
