// What the spreading of configurations wants done: the output of
// ConfigurationSpread.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "configuration/configuration_stamp.h"
#include "engine/actions.h"
#include "model/fleet_configuration.h"
#include "peer/peer_message.h"

namespace burdockwheel::spread {

// Read the service once something newer than version `after` is there, for at
// most `most_wait`; zero reads at once. One answer event must follow. There is
// never more than one read at a time.
struct ReadService {
  std::uint64_t after = 0;
  std::chrono::milliseconds most_wait{0};
};

// Send a message of this kind; it may be lost.
struct SendMessage {
  std::string address;
  peer::MessageKind kind = peer::MessageKind::kConfigurationRequest;
  std::string body;
};

// This configuration is in force from now on. The membership gets its stamp.
struct ConfigurationInForce {
  std::shared_ptr<const model::FleetConfiguration> configuration;
  configuration::ConfigurationStamp stamp;
};

// Whether calls may be taken has changed.
struct ReadinessChanged {
  bool is_ready = false;
};

using engine::RecordChange;
using engine::WakeAt;

using Action = std::variant<ReadService, SendMessage, ConfigurationInForce,
                            ReadinessChanged, RecordChange, WakeAt>;

// The actions of one event, in the order in which they are to be done.
using Actions = std::vector<Action>;

}  // namespace burdockwheel::spread
