// What a host that reads the platform tells its peers of its reading.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "model/identifiers.h"
#include "publication/store_revision.h"

namespace burdockwheel::publication {

struct ReaderBeacon {
  StoreRevision revision;  // up to which the sender's copy is complete
  // How long ago the platform answered the sender.
  std::chrono::milliseconds answered_ago{0};
  // The same of the last answer to any host that the sender knows of; at most
  // `answered_ago`.
  std::chrono::milliseconds newest_answer_ago{0};

  friend bool operator==(const ReaderBeacon&, const ReaderBeacon&) = default;
};

std::string EncodeBeacon(const ReaderBeacon& beacon);

// A beacon that another host than its sender passes on.
struct RelayedBeacon {
  model::Incarnation origin;  // who sent it first
  std::string body;           // an encoded beacon

  friend bool operator==(const RelayedBeacon&, const RelayedBeacon&) = default;
};

std::string EncodeRelayedBeacon(const RelayedBeacon& relayed);

// Returns nothing for a body that is malformed.
std::optional<RelayedBeacon> TryDecodeRelayedBeacon(std::string_view body);

// Returns nothing for a body that is malformed or out of range, or whose
// revision a host of a former version has cut. A beacon without times, as
// former versions send them, counts as sent with an answer.
std::optional<ReaderBeacon> TryDecodeBeacon(std::string_view body);

}  // namespace burdockwheel::publication
