#include "publication/publication_update.h"

#include <chrono>
#include <utility>

#include "peer/compression.h"
#include "peer/msgpack_codec.h"
#include "publication/wire_revision.h"

namespace burdockwheel::publication {

namespace {

// 1 had the changes without compression.
constexpr std::uint8_t kUpdateProtocol = 2;
constexpr std::size_t kMostChanges = 20'000;
constexpr std::size_t kMostTextBytes = std::size_t{4} << 20U;
// Of all changes of an update before compression.
constexpr std::size_t kMostChangeBytes = 2 * kMostTextBytes;
// What a host sends for one update to all peers together: 0.8 s of a link of
// 10 Mbit/s, which is about what each peer needs to read a large item itself.
constexpr std::size_t kMostToldBytes = std::size_t{1} << 20U;

constexpr int kMaxSlots = 1'000'000;
constexpr std::int64_t kMaxWarmUpMs = 3'600'000;

enum class WireKind : std::uint8_t {
  kRemoved = 0,
  kUnrelated = 1,
  kConfiguration = 2,
  kWorker = 3,
  kUnreadable = 4,
  kEvacuation = 5,
};

struct WireWorker {
  std::string id;
  std::uint64_t incarnation = 0;
  std::string address;
  std::string service;
  std::string failure_domain;
  bool is_leaving = false;
  int slots = 0;
  std::int64_t warm_up_ms = -1;  // below zero: not told
  std::uint64_t sequence = 0;

  MSGPACK_DEFINE(id, incarnation, address, service, failure_domain, is_leaving,
                 slots, warm_up_ms, sequence)
};

struct WireChange {
  std::uint8_t kind = 0;
  std::string name;
  std::uint64_t revision = 0;
  // A document, why an item is unreadable, or a failure domain.
  std::string text;
  WireWorker worker;
  WireRevision::Excess revision_excess = {};

  MSGPACK_DEFINE(kind, name, revision, text, worker, revision_excess)
};

struct WireUpdate {
  std::uint8_t protocol = kUpdateProtocol;
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::string changes;  // a compressed array of WireChange
  WireRevision::Excess from_excess = {};
  WireRevision::Excess to_excess = {};

  MSGPACK_DEFINE(protocol, from, to, changes, from_excess, to_excess)
};

WireWorker ToWire(const PublishedWorker& worker) {
  const auto& record = worker.record;
  WireWorker wire;
  wire.id = record.id.value;
  wire.incarnation = record.incarnation;
  wire.address = record.address.value;
  wire.service = record.service.value;
  wire.failure_domain = record.failure_domain.value;
  wire.is_leaving = record.state == model::WorkerState::kLeaving;
  wire.slots = record.slots;
  if (record.warm_up) wire.warm_up_ms = record.warm_up->count();
  wire.sequence = worker.sequence;
  return wire;
}

ItemContent FromWire(WireWorker wire) {
  if (wire.slots < 0 || wire.slots > kMaxSlots ||
      wire.warm_up_ms > kMaxWarmUpMs)
    return UnreadableItem{"out-of-range"};
  PublishedWorker worker;
  worker.record.id = {std::move(wire.id)};
  worker.record.incarnation = wire.incarnation;
  worker.record.address = {std::move(wire.address)};
  worker.record.service = {std::move(wire.service)};
  worker.record.failure_domain = {std::move(wire.failure_domain)};
  worker.record.state = wire.is_leaving ? model::WorkerState::kLeaving
                                        : model::WorkerState::kLive;
  worker.record.slots = wire.slots;
  if (wire.warm_up_ms >= 0)
    worker.record.warm_up = std::chrono::milliseconds(wire.warm_up_ms);
  worker.sequence = wire.sequence;
  return worker;
}

WireChange ToWire(const Change& change) {
  WireChange wire;
  const auto& revision = std::visit(
      [](const auto& concrete) -> const auto& { return concrete.revision; },
      change);
  wire.revision = WireRevision::Pack(revision);
  wire.revision_excess = WireRevision::ExcessOf(revision);
  if (const auto* removed = std::get_if<RemovedItem>(&change)) {
    wire.kind = static_cast<std::uint8_t>(WireKind::kRemoved);
    wire.name = removed->name;
    return wire;
  }
  const auto& item = std::get<PublishedItem>(change);
  wire.name = item.name;
  auto kind = WireKind::kUnrelated;
  if (const auto* configuration =
          std::get_if<PublishedConfiguration>(&item.content)) {
    kind = WireKind::kConfiguration;
    wire.text = configuration->document;
  } else if (const auto* worker = std::get_if<PublishedWorker>(&item.content)) {
    kind = WireKind::kWorker;
    wire.worker = ToWire(*worker);
  } else if (const auto* evacuation =
                 std::get_if<PublishedEvacuation>(&item.content)) {
    kind = WireKind::kEvacuation;
    wire.text = evacuation->failure_domain.value;
  } else if (const auto* unreadable =
                 std::get_if<UnreadableItem>(&item.content)) {
    kind = WireKind::kUnreadable;
    wire.text = unreadable->reason;
  }
  wire.kind = static_cast<std::uint8_t>(kind);
  return wire;
}

std::optional<ItemContent> ContentOf(WireChange& wire) {
  switch (static_cast<WireKind>(wire.kind)) {
    case WireKind::kUnrelated:
      return UnrelatedItem();
    case WireKind::kConfiguration:
      return PublishedConfiguration{std::move(wire.text)};
    case WireKind::kWorker:
      return FromWire(std::move(wire.worker));
    case WireKind::kUnreadable:
      return UnreadableItem{std::move(wire.text)};
    case WireKind::kEvacuation:
      if (wire.text.empty()) return std::nullopt;
      return PublishedEvacuation{{std::move(wire.text)}};
    case WireKind::kRemoved:
      break;
  }
  return std::nullopt;
}

std::optional<Change> FromWire(WireChange wire) {
  const auto revision =
      WireRevision::Unpack(wire.revision, wire.revision_excess);
  if (!revision) return std::nullopt;
  if (static_cast<WireKind>(wire.kind) == WireKind::kRemoved)
    return RemovedItem{std::move(wire.name), *revision};
  auto content = ContentOf(wire);
  if (!content) return std::nullopt;
  return PublishedItem{std::move(wire.name), *revision, std::move(*content)};
}

}  // namespace

std::string EncodeUpdate(const PublicationUpdate& update) {
  WireUpdate wire;
  wire.from = WireRevision::Pack(update.from);
  wire.from_excess = WireRevision::ExcessOf(update.from);
  wire.to = WireRevision::Pack(update.to);
  wire.to_excess = WireRevision::ExcessOf(update.to);
  std::vector<WireChange> changes;
  changes.reserve(update.changes.size());
  for (const auto& change : update.changes) changes.push_back(ToWire(change));
  wire.changes = peer::Compress(peer::Pack(changes));
  return peer::Pack(wire);
}

std::optional<PublicationUpdate> TryDecodeUpdate(std::string_view body) {
  peer::DecodeLimits limits;
  limits.most_elements = kMostChanges;
  limits.most_bytes = kMostTextBytes;
  const auto wire = peer::TryUnpack<WireUpdate>(body, limits);
  if (!wire || wire->protocol != kUpdateProtocol) return std::nullopt;
  const auto from = WireRevision::Unpack(wire->from, wire->from_excess);
  const auto to = WireRevision::Unpack(wire->to, wire->to_excess);
  if (!from || !to || *from >= *to) return std::nullopt;
  const auto bytes = peer::TryDecompress(wire->changes, kMostChangeBytes);
  if (!bytes) return std::nullopt;
  auto changes = peer::TryUnpack<std::vector<WireChange>>(*bytes, limits);
  if (!changes) return std::nullopt;
  PublicationUpdate update{*from, *to, {}};
  update.changes.reserve(changes->size());
  for (auto& each : *changes) {
    auto change = FromWire(std::move(each));
    if (!change) return std::nullopt;
    update.changes.push_back(std::move(*change));
  }
  return update;
}

bool IsWorthTelling(std::size_t bytes, std::size_t peers) {
  return bytes * peers <= kMostToldBytes;
}

}  // namespace burdockwheel::publication
