// Counts what a host sends to its peers.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "peer/peer_message.h"
#include "telemetry/metric_text.h"

namespace burdockwheel::host {

// Bytes between failure domains cost more than those inside of one.
class PeerTraffic {
 public:
  void Add(peer::MessageKind kind, bool is_near, std::size_t bytes) {
    const auto index = static_cast<std::size_t>(kind) - 1;
    (is_near ? this->near : this->far)[index] += bytes;
  }

  void Write(telemetry::MetricText& text) const;

 private:
  using ByKind = std::array<std::uint64_t, peer::kMessageKindCount>;

  ByKind near{};  // to hosts of the own failure domain
  ByKind far{};
};

}  // namespace burdockwheel::host
