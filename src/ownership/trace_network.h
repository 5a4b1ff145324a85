// The small fake of the network between the hosts of a trace.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ownership/ownership_events.h"
#include "peer/peer_message.h"

namespace burdockwheel::ownership {

struct TraceMessage {
  PeerIdentity from;
  std::string to;
  peer::MessageKind kind = peer::MessageKind::kForwardCall;
  std::string body;
};

// Holds each message until a step of the trace delivers, repeats or loses it.
class TraceNetwork {
 public:
  // A choice among the messages on their way: the one of number `index` from
  // `from` to `to`, of which an empty name stands for any host.
  struct Choice {
    std::string from;
    std::string to;
    std::uint64_t index = 0;
  };

  void Cut(const std::string& from, const std::string& to);
  void Heal(const std::string& from, const std::string& to);
  void HealAll() { this->cut_links.clear(); }

  // Returns false if the link is cut.
  [[nodiscard]] bool TrySend(TraceMessage message);

  // Returns the chosen message, which stays on its way if `is_repeated`, or
  // nothing if there is none or its link is cut.
  std::optional<TraceMessage> TryDeliver(const Choice& choice,
                                         bool is_repeated);

  // Returns false if there is no such message.
  [[nodiscard]] bool TryLose(const Choice& choice);

  std::size_t MessageCount() const { return this->messages.size(); }

 private:
  using Messages = std::vector<TraceMessage>;

  Messages::iterator Find(const Choice& choice);

  Messages messages;
  std::set<std::pair<std::string, std::string>> cut_links;
};

}  // namespace burdockwheel::ownership
