#include "host/peer_traffic.h"

#include <string>

namespace burdockwheel::host {

void PeerTraffic::Write(telemetry::MetricText& text) const {
  text.Family("peer_bytes_sent_total", telemetry::MetricType::kCounter,
              "Bodies of messages to peers, by kind and failure domain.");
  for (std::size_t index = 0; index < this->near.size(); ++index) {
    const auto kind = static_cast<peer::MessageKind>(index + 1);
    const auto label =
        telemetry::MetricLabel("kind", peer::MessageKindName(kind));
    if (this->near[index] > 0)
      text.Sample(label + ",domain=\"own\"",
                  static_cast<double>(this->near[index]));
    if (this->far[index] > 0)
      text.Sample(label + ",domain=\"other\"",
                  static_cast<double>(this->far[index]));
  }
}

}  // namespace burdockwheel::host
