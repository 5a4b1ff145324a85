#include "publication/publication_update.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <limits>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "peer/compression.h"
#include "peer/msgpack_codec.h"
#include "publication/wire_revision.h"

namespace burdockwheel::publication {

using std::chrono::milliseconds;

namespace {

// As hosts of the former version send and read them; the worker of a change is
// of no matter here.
struct FormerUpdate {
  std::uint8_t protocol = 0;
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::string changes;

  MSGPACK_DEFINE(protocol, from, to, changes)
};

struct FormerChange {
  std::uint8_t kind = 0;
  std::string name;
  std::uint64_t revision = 0;
  std::string text;

  MSGPACK_DEFINE(kind, name, revision, text)
};

}  // namespace

BOOST_AUTO_TEST_SUITE(PublicationUpdateTest)

BOOST_AUTO_TEST_CASE(ComesBackFromTheWire) {
  PublishedWorker worker;
  worker.record.id = {"w-1"};
  worker.record.incarnation = 17;
  worker.record.address = {"10.0.0.1:80"};
  worker.record.service = {"slots"};
  worker.record.failure_domain = {"fd-1"};
  worker.record.state = model::WorkerState::kLeaving;
  worker.record.slots = 6;
  worker.record.warm_up = milliseconds(250);
  worker.sequence = 5;
  const PublicationUpdate update{
      {0, 7},
      {0, 12},
      {PublishedItem{"servers/w-1", {0, 8}, worker},
       PublishedItem{"op", {0, 9}, PublishedConfiguration{"{}"}},
       PublishedItem{"x", {0, 10}, UnreadableItem{"not-json"}},
       PublishedItem{"y", {0, 11}, UnrelatedItem()}, RemovedItem{"z", {0, 12}},
       PublishedItem{"e", {0, 12}, PublishedEvacuation{{"fd-2"}}}}};
  const auto decoded = TryDecodeUpdate(EncodeUpdate(update));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded->from == StoreRevision(0, 7)));
  BOOST_TEST((decoded->to == StoreRevision(0, 12)));
  BOOST_REQUIRE_EQUAL(decoded->changes.size(), 6U);
  const auto& last = std::get<PublishedItem>(decoded->changes[5]);
  BOOST_TEST((std::get<PublishedEvacuation>(last.content).failure_domain ==
              model::FailureDomain{"fd-2"}));
  const auto& first = std::get<PublishedItem>(decoded->changes[0]);
  const auto& record = std::get<PublishedWorker>(first.content).record;
  BOOST_TEST((record == worker.record));
  BOOST_TEST(std::get<PublishedWorker>(first.content).sequence == 5U);
  const auto& second = std::get<PublishedItem>(decoded->changes[1]);
  BOOST_TEST(std::get<PublishedConfiguration>(second.content).document == "{}");
  const auto& removed = std::get<RemovedItem>(decoded->changes[4]);
  BOOST_TEST(removed.name == "z");
  BOOST_TEST((removed.revision == StoreRevision(0, 12)));
}

// Revisions beyond 40 bits and eras beyond 24 were once cut on their way.
BOOST_AUTO_TEST_CASE(KeepsRevisionsOfAnySize) {
  constexpr std::uint64_t kMost = std::numeric_limits<std::uint64_t>::max();
  for (const auto& revision :
       {StoreRevision(0, WireRevision::kMaxNumber),
        StoreRevision(0, 1'796'000'000'000'000), StoreRevision(3, kMost),
        StoreRevision(kMost, 2), StoreRevision(WireRevision::kMaxEra, 2),
        StoreRevision(kMost, kMost)}) {
    const StoreRevision before(revision.era, revision.number - 1);
    const auto decoded = TryDecodeUpdate(
        EncodeUpdate({before,
                      revision,
                      {PublishedItem{"x", before, UnrelatedItem()},
                       RemovedItem{"y", revision}}}));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->from == before));
    BOOST_TEST((decoded->to == revision));
    BOOST_TEST(
        (std::get<PublishedItem>(decoded->changes[0]).revision == before));
    BOOST_TEST(
        (std::get<RemovedItem>(decoded->changes[1]).revision == revision));
  }
}

// While hosts are replaced, those of the former version read the beginning of
// each message, and their own messages lack the end.
BOOST_AUTO_TEST_CASE(GetsOnWithHostsThatPackRevisions) {
  constexpr std::uint64_t kEra = std::uint64_t{2} << WireRevision::kNumberBits;
  const auto sent = EncodeUpdate(
      {{2, 7}, {2, 9}, {PublishedItem{"x", {2, 8}, UnrelatedItem()}}});
  const auto former = peer::TryUnpack<FormerUpdate>(sent);
  BOOST_REQUIRE(former.has_value());
  BOOST_TEST(former->from == kEra + 7);
  BOOST_TEST(former->to == kEra + 9);
  const auto bytes = peer::TryDecompress(former->changes, 1 << 20);
  BOOST_REQUIRE(bytes.has_value());
  const auto changes = peer::TryUnpack<std::vector<FormerChange>>(*bytes);
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST(changes->at(0).revision == kEra + 8);
  const auto decoded = TryDecodeUpdate(peer::Pack(*former));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded->from == StoreRevision(2, 7)));
  BOOST_TEST((decoded->to == StoreRevision(2, 9)));
  // What a former host has cut may be of any later revision.
  FormerUpdate cut = *former;
  cut.to = kEra + WireRevision::kMaxNumber;
  BOOST_TEST(!TryDecodeUpdate(peer::Pack(cut)).has_value());
  auto cut_changes = *changes;
  cut_changes[0].revision = kEra + WireRevision::kMaxNumber;
  cut = *former;
  cut.changes = peer::Compress(peer::Pack(cut_changes));
  BOOST_TEST(!TryDecodeUpdate(peer::Pack(cut)).has_value());
}

BOOST_AUTO_TEST_CASE(RefusesMalformedBodies) {
  BOOST_TEST(!TryDecodeUpdate("").has_value());
  BOOST_TEST(!TryDecodeUpdate(EncodeUpdate({{0, 5}, {0, 5}, {}})).has_value());
  const std::string sound = EncodeUpdate(
      {{0, 1}, {0, 3}, {RemovedItem{"a", {0, 2}}, RemovedItem{"b", {0, 3}}}});
  std::mt19937_64 random(4);
  for (int round = 0; round < 10'000; ++round) {
    std::string bytes = sound;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    static_cast<void>(TryDecodeUpdate(bytes));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::publication
