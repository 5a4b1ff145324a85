// Collects the parts of a configuration from one peer.
#pragma once

#include <cstdint>
#include <string>

#include "configuration/configuration_stamp.h"
#include "kernel/instant.h"
#include "spread/configuration_messages.h"

namespace burdockwheel::spread {

struct PublicationFetch {
  std::string host;
  std::string address;
  ConfigurationRequest request;            // the one that waits for its answer
  configuration::ConfigurationStamp base;  // of the parts that came
  std::string bytes;                       // of the parts that came
  kernel::Instant deadline;

  enum class Progress { kIgnored, kMoreWanted, kComplete };

  // Takes a part; `request` then asks for the next one if one is wanted.
  Progress Take(const ConfigurationPart& part);
};

}  // namespace burdockwheel::spread
