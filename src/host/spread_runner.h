// Runs the spread of configurations on a host: feeds ConfigurationSpread and
// does what it decides.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "engine/actions.h"
#include "host/configuration_in_force.h"
#include "peer/peer_message.h"
#include "spread/actions.h"
#include "spread/configuration_spread.h"
#include "spread/events.h"
#include "spread/spread_settings.h"

namespace burdockwheel::host {

// Joins the pure decisions with the configuration service, the peers and the
// clock. Runs on the control thread.
class SpreadRunner {
 public:
  struct Hooks {
    // Called before each event, so that a pause is known before it is handled.
    std::function<void()> notice_time;
    std::function<void(const std::string& address, peer::MessageKind kind,
                       const std::string& body)>
        send;
    std::function<void(std::shared_ptr<const ConfigurationInForce>,
                       const configuration::ConfigurationStamp&)>
        in_force;
    std::function<void(bool is_ready)> readiness_changed;
    std::function<void(const engine::RecordChange&)> record_change;
  };

  SpreadRunner(boost::asio::io_context& context,
               const spread::SpreadSettings& settings, Hooks hooks);

  void Start();

  // Hands an event to the decisions.
  void Notify(const spread::Event& event);

  // Takes a message of the kinds kConfigurationRequest and kConfigurationPart
  // from the peer at this address.
  void TakeMessage(const peer::PeerMessage& message,
                   const std::string& address);

  const spread::ConfigurationSpread& Spread() const { return this->spread; }
  std::uint64_t BytesSent() const { return this->bytes_sent; }
  // How many publications were refused, each counted once.
  std::uint64_t RefusalCount() const { return this->refusals; }

 private:
  void Do(const spread::ReadService& action);
  void Do(const spread::SendMessage& action);
  void Do(const spread::ConfigurationInForce& action);
  void Do(const spread::ReadinessChanged& action);
  void Do(const spread::RecordChange& action);
  void Do(const spread::WakeAt& action);

  boost::asio::steady_timer timer;
  spread::ConfigurationSpread spread;
  Hooks hooks;
  std::uint64_t bytes_sent = 0;
  std::uint64_t refusals = 0;
};

}  // namespace burdockwheel::host
