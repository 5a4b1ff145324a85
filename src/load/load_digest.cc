#include "load/load_digest.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "peer/msgpack_codec.h"

namespace burdockwheel::load {

namespace {

constexpr std::uint8_t kProtocolVersion = 1;
constexpr double kPercent = 100.0;
constexpr int kMostCalls = 1'000'000;
constexpr int kMostAgeMs = 60'000;
constexpr std::int64_t kMaxWarmUpMs = 3'600'000;
constexpr std::int64_t kMaxHash = std::numeric_limits<WorkerHash>::max();

// Hash, calls in flight, calls queued, slots, slowdown in percent (0: not
// told), age in milliseconds and, only where it is told, the rest of the
// worker's warm-up in milliseconds. Hosts of the version before read the first
// six.
using WireEntry = std::vector<std::int64_t>;
constexpr std::size_t kLeastFields = 6;
constexpr std::size_t kWarmUpField = 6;

struct WireDigest {
  std::uint8_t protocol = kProtocolVersion;
  std::vector<WireEntry> entries;

  MSGPACK_DEFINE(protocol, entries)
};

bool IsCount(std::int64_t count) { return count >= 0 && count <= kMostCalls; }

std::optional<LoadEntry> EntryOrNull(const WireEntry& wire) {
  if (wire.size() < kLeastFields) return std::nullopt;
  if (wire[0] < 0 || wire[0] > kMaxHash) return std::nullopt;
  const bool is_sound = IsCount(wire[1]) && IsCount(wire[2]) &&
                        IsCount(wire[3]) && IsCount(wire[4]) && wire[5] >= 0 &&
                        wire[5] <= kMostAgeMs;
  if (!is_sound) return std::nullopt;
  LoadEntry entry;
  entry.worker = static_cast<WorkerHash>(wire[0]);
  entry.report.calls_in_flight = static_cast<int>(wire[1]);
  entry.report.calls_queued = static_cast<int>(wire[2]);
  entry.report.slots = static_cast<int>(wire[3]);
  if (wire[4] > 0)
    entry.report.slowdown = static_cast<double>(wire[4]) / kPercent;
  entry.age = std::chrono::milliseconds(wire[5]);
  if (wire.size() == kLeastFields) return entry;
  const auto warm_up = wire[kWarmUpField];
  if (warm_up < 0 || warm_up > kMaxWarmUpMs) return std::nullopt;
  entry.report.warm_up = std::chrono::milliseconds(warm_up);
  return entry;
}

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
    WireEntry fields = {entry.worker,
                        report.calls_in_flight,
                        report.calls_queued,
                        report.slots,
                        percent,
                        age};
    if (report.warm_up) fields.push_back(report.warm_up->count());
    wire.entries.push_back(std::move(fields));
  }
  return peer::Pack(wire);
}

std::optional<LoadDigest> TryDecodeLoadDigest(std::string_view body) {
  const auto wire = peer::TryUnpack<WireDigest>(body);
  if (!wire || wire->protocol != kProtocolVersion) return std::nullopt;
  if (wire->entries.size() > kMostEntries) return std::nullopt;
  LoadDigest digest;
  for (const auto& each : wire->entries) {
    const auto entry = EntryOrNull(each);
    if (!entry) return std::nullopt;
    digest.push_back(*entry);
  }
  return digest;
}

}  // namespace burdockwheel::load
