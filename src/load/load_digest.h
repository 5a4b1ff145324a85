// What a host tells its peers of the load that it has measured.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/attempt_outcome.h"
#include "model/identifiers.h"

namespace burdockwheel::load {

// Stands for a worker in a digest: a hash of its name. Two workers with the
// same hash are both left out by whoever knows them.
using WorkerHash = std::uint32_t;

WorkerHash HashOf(const model::WorkerId& worker);

// A worker's report and how old it was when the digest was sent.
struct LoadEntry {
  WorkerHash worker = 0;
  model::WorkerReport report;
  std::chrono::milliseconds age{0};
};

using LoadDigest = std::vector<LoadEntry>;

// A digest of this many entries fits a datagram.
constexpr std::size_t kMostEntries = 64;

std::string EncodeLoadDigest(const LoadDigest& digest);

// Returns nothing for a body that is malformed or out of range.
std::optional<LoadDigest> TryDecodeLoadDigest(std::string_view body);

}  // namespace burdockwheel::load
