#include "load/load_digest.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

#include "peer/msgpack_codec.h"

namespace burdockwheel::load {

namespace {

constexpr std::uint8_t kProtocolVersion = 1;
constexpr double kPercent = 100.0;
constexpr int kMostCalls = 1'000'000;
constexpr int kMostAgeMs = 60'000;

// Hash, calls in flight, calls queued, slots, slowdown in percent (0: not
// told), age in milliseconds.
using WireEntry = std::tuple<std::uint32_t, int, int, int, int, int>;

struct WireDigest {
  std::uint8_t protocol = kProtocolVersion;
  std::vector<WireEntry> entries;

  MSGPACK_DEFINE(protocol, entries)
};

bool IsCount(int count) { return count >= 0 && count <= kMostCalls; }

}  // namespace

WorkerHash HashOf(const model::WorkerId& worker) {
  return static_cast<std::uint32_t>(
      XXH3_64bits(worker.value.data(), worker.value.size()));
}

std::string EncodeLoadDigest(const LoadDigest& digest) {
  WireDigest wire;
  for (const auto& entry : digest) {
    if (wire.entries.size() == kMostEntries) break;
    const auto& report = entry.report;
    const int percent =
        report.slowdown
            ? static_cast<int>(std::lround(*report.slowdown * kPercent))
            : 0;
    const auto age = std::clamp<std::int64_t>(entry.age.count(), 0, kMostAgeMs);
    wire.entries.emplace_back(entry.worker, report.calls_in_flight,
                              report.calls_queued, report.slots, percent,
                              static_cast<int>(age));
  }
  return peer::Pack(wire);
}

std::optional<LoadDigest> TryDecodeLoadDigest(std::string_view body) {
  const auto wire = peer::TryUnpack<WireDigest>(body);
  if (!wire || wire->protocol != kProtocolVersion) return std::nullopt;
  if (wire->entries.size() > kMostEntries) return std::nullopt;
  LoadDigest digest;
  for (const auto& [hash, running, queued, slots, percent, age] :
       wire->entries) {
    if (!IsCount(running) || !IsCount(queued) || !IsCount(slots) ||
        !IsCount(percent) || age < 0 || age > kMostAgeMs)
      return std::nullopt;
    LoadEntry entry;
    entry.worker = hash;
    entry.report.calls_in_flight = running;
    entry.report.calls_queued = queued;
    entry.report.slots = slots;
    if (percent > 0) entry.report.slowdown = percent / kPercent;
    entry.age = std::chrono::milliseconds(age);
    digest.push_back(entry);
  }
  return digest;
}

}  // namespace burdockwheel::load
