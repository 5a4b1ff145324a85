#include "publication/publication_update.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <variant>

namespace burdockwheel::publication {

using std::chrono::milliseconds;

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
      7,
      12,
      {PublishedItem{"servers/w-1", 8, worker},
       PublishedItem{"op", 9, PublishedConfiguration{"{}"}},
       PublishedItem{"x", 10, UnreadableItem{"not-json"}},
       PublishedItem{"y", 11, UnrelatedItem()}, RemovedItem{"z", 12},
       PublishedItem{"e", 12, PublishedEvacuation{{"fd-2"}}}}};
  const auto decoded = TryDecodeUpdate(EncodeUpdate(update));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->from == 7U);
  BOOST_TEST(decoded->to == 12U);
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
  BOOST_TEST(std::get<RemovedItem>(decoded->changes[4]).name == "z");
}

BOOST_AUTO_TEST_CASE(RefusesMalformedBodies) {
  BOOST_TEST(!TryDecodeUpdate("").has_value());
  BOOST_TEST(!TryDecodeUpdate(EncodeUpdate({5, 5, {}})).has_value());
  const std::string sound =
      EncodeUpdate({1, 3, {RemovedItem{"a", 2}, RemovedItem{"b", 3}}});
  std::mt19937_64 random(4);
  for (int round = 0; round < 10'000; ++round) {
    std::string bytes = sound;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    static_cast<void>(TryDecodeUpdate(bytes));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::publication
