#include <boost/test/unit_test.hpp>
#include <chrono>
#include <ctime>
#include <memory>
#include <string>

#include "configuration/configuration_parser.h"
#include "configuration/configuration_serializer.h"
#include "spread/configuration_delta.h"
#include "spread/configuration_messages.h"
#include "spread/configuration_spread.h"
#include "spread/fake_fleet.h"
#include "spread/publication_fetch.h"
#include "spread/publication_server.h"

namespace burdockwheel::spread {

namespace {

using configuration::ConfigurationStamp;

constexpr std::size_t kTargetServices = 460;
const kernel::Instant kNow{std::chrono::hours(1)};

std::shared_ptr<const model::FleetConfiguration> Parsed(
    const std::string& document) {
  auto parsed = configuration::ParseFleetConfiguration(document);
  BOOST_REQUIRE(parsed.HasValue());
  return std::make_shared<const model::FleetConfiguration>(
      std::move(parsed).Value());
}

ConfigurationStamp StampOf(const model::FleetConfiguration& configuration) {
  return {configuration.version,
          configuration::DigestFleetConfiguration(configuration)};
}

// Fetches from the server what leads from `base`; returns the bytes and counts
// the parts.
std::string Fetch(PublicationServer& server, const ConfigurationStamp& base,
                  const ConfigurationStamp& wanted, int& parts) {
  PublicationFetch fetch;
  fetch.request = {base, wanted, 0};
  for (parts = 1; parts <= static_cast<int>(kMostParts); ++parts) {
    const auto part = server.PartOrNothing(kNow, fetch.request);
    BOOST_REQUIRE(part.has_value());
    const auto read = TryDecodePart(EncodePart(*part));
    BOOST_REQUIRE(read.has_value());
    const auto progress = fetch.Take(*read);
    if (progress == PublicationFetch::Progress::kComplete) break;
    BOOST_REQUIRE((progress == PublicationFetch::Progress::kMoreWanted));
  }
  return fetch.bytes;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PublicationServerTest)

// A host that is cut off from the platform gets routes from its peers too.
BOOST_AUTO_TEST_CASE(CarriesRoutesAndCallerLimits) {
  const auto document = [](int version, int deadline_ms, int idle_ms) {
    return R"({"version":)" + std::to_string(version) +
           R"(,"services":[{"service":"a"},{"service":"b"}],
               "caller_limits":{"idle_timeout_ms":)" +
           std::to_string(idle_ms) + R"(},
               "prefix_routes":[{"name":"r","host":"h.example","prefix":"/x/",
                 "idempotent":true,"deadline_ms":)" +
           std::to_string(deadline_ms) +
           R"(,"targets":[{"service":"a","weight":9},
                          {"service":"b","weight":1}]}]})";
  };
  const auto before = Parsed(document(1, 500, 15000));
  for (const auto& after :
       {Parsed(document(2, 300, 15000)), Parsed(document(2, 500, 9000)),
        Parsed(document(2, 500, 15000))}) {
    for (const bool is_whole : {false, true}) {
      const auto delta = EncodeDelta(
          is_whole ? ConfigurationDigests() : DigestsOf(*before), *after);
      const auto text = TryApplyDelta(is_whole ? nullptr : before.get(), delta);
      BOOST_REQUIRE(text.has_value());
      BOOST_TEST((StampOf(*Parsed(*text)) == StampOf(*after)));
    }
  }
}

BOOST_AUTO_TEST_CASE(SendsOnlyWhatChanged) {
  const auto before = Parsed(FakeDocument(1, kTargetServices, 1000));
  const auto after = Parsed(FakeDocument(2, kTargetServices - 1, 900));
  PublicationServer server;
  server.Publish(StampOf(*before), before);
  server.Publish(StampOf(*after), after);
  int parts = 0;
  const auto delta = Fetch(server, StampOf(*before), StampOf(*after), parts);
  BOOST_TEST(parts == 1);
  const auto text = TryApplyDelta(before.get(), delta);
  BOOST_REQUIRE(text.has_value());
  BOOST_TEST(*text == configuration::SerializeFleetConfiguration(*after));
  int whole_parts = 0;
  const auto whole = Fetch(server, {}, StampOf(*after), whole_parts);
  BOOST_TEST(whole_parts > 1);
  const auto whole_text = TryApplyDelta(nullptr, whole);
  BOOST_REQUIRE(whole_text.has_value());
  BOOST_TEST(*whole_text == *text);
  BOOST_TEST_MESSAGE(kTargetServices << " services: whole " << whole.size()
                                     << " bytes in " << whole_parts
                                     << " parts, one change " << delta.size()
                                     << " bytes");
  const auto begin = std::clock();
  configuration::ConfigurationAcceptor acceptor;
  const auto record = acceptor.Offer(*text, {});
  const auto end = std::clock();
  BOOST_TEST(IsAccepted(record.verdict));
  BOOST_TEST_MESSAGE(
      "processor time to accept one: "
      << 1000.0 * static_cast<double>(end - begin) / CLOCKS_PER_SEC << " ms");
}

BOOST_AUTO_TEST_CASE(SendsTheWholeToThoseItDoesNotKnow) {
  const auto configuration = Parsed(FakeDocument(2, 5));
  PublicationServer server;
  server.Publish(StampOf(*configuration), configuration);
  const auto part =
      server.PartOrNothing(kNow, {{1, 77}, StampOf(*configuration), 0});
  BOOST_REQUIRE(part.has_value());
  BOOST_TEST(part->base.version == 0U);
}

BOOST_AUTO_TEST_CASE(LimitsThePartsOfASecond) {
  const auto configuration = Parsed(FakeDocument(2, 5));
  PublicationServer server;
  const ConfigurationRequest request{{}, StampOf(*configuration), 0};
  BOOST_TEST(!server.PartOrNothing(kNow, request).has_value());
  server.Publish(StampOf(*configuration), configuration);
  int answered = 0;
  for (int index = 0; index < 1000; ++index)
    answered += server.PartOrNothing(kNow, request).has_value() ? 1 : 0;
  BOOST_TEST(answered == PublicationServer::kMostPartsInSecond);
  BOOST_TEST(server.PartOrNothing(kNow + std::chrono::seconds(1), request)
                 .has_value());
}

BOOST_AUTO_TEST_CASE(RefusesDamagedBodies) {
  const auto request = EncodeRequest({{1, 2}, {3, 4}, 5});
  const auto part = EncodePart({{1, 2}, {3, 4}, 0, 1, "bytes"});
  BOOST_TEST(TryDecodeRequest(request).has_value());
  BOOST_TEST(TryDecodePart(part).has_value());
  for (std::size_t size = 0; size < request.size(); ++size)
    BOOST_TEST(!TryDecodeRequest(request.substr(0, size)).has_value());
  for (std::size_t size = 0; size < part.size(); ++size)
    BOOST_TEST(!TryDecodePart(part.substr(0, size)).has_value());
  BOOST_TEST(
      !TryDecodeRequest(EncodeRequest({{}, {}, kMostParts})).has_value());
  BOOST_TEST(!TryDecodePart(EncodePart({{}, {3, 4}, 1, 1, ""})).has_value());
  BOOST_TEST(!TryApplyDelta(nullptr, "garbage").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PublicationFetchTest)

BOOST_AUTO_TEST_CASE(BeginsAgainWhenThePeerHasGoneOn) {
  PublicationFetch fetch;
  fetch.request = {{1, 1}, {2, 2}, 0};
  const auto take = [&fetch](const ConfigurationPart& part) {
    return fetch.Take(part);
  };
  using Progress = PublicationFetch::Progress;
  BOOST_TEST((take({{1, 1}, {2, 2}, 0, 3, "a"}) == Progress::kMoreWanted));
  BOOST_TEST((take({{1, 1}, {2, 2}, 0, 3, "a"}) == Progress::kIgnored));
  BOOST_TEST((take({{1, 1}, {3, 3}, 0, 2, "c"}) == Progress::kMoreWanted));
  BOOST_TEST((take({{1, 1}, {2, 2}, 1, 3, "b"}) == Progress::kIgnored));
  BOOST_TEST((take({{}, {3, 3}, 1, 2, "x"}) == Progress::kIgnored));
  BOOST_TEST((take({{1, 1}, {3, 3}, 1, 2, "d"}) == Progress::kComplete));
  BOOST_TEST(fetch.bytes == "cd");
}

// A peer announces what its parts do not give.
BOOST_AUTO_TEST_CASE(IsNotRepeatedForWhatWasRefused) {
  const auto requests_in_20_seconds = [](bool is_protected) {
    SpreadSettings settings;
    settings.incarnation = {1};
    settings.protections.has_refusal_memory = is_protected;
    ConfigurationSpread spread(settings);
    int requests = 0;
    Actions actions;
    for (int step = 0; step < 40; ++step) {
      const auto now = kNow + step * std::chrono::milliseconds(500);
      std::vector<Event> events = {
          StampReceived{{"entry-2"}, {2}, "10.0.0.2:7000", {5, 5}}};
      while (!events.empty()) {
        actions.clear();
        spread.Handle(now, events.back(), actions);
        events.pop_back();
        for (const auto& action : actions) {
          const auto* send = std::get_if<SendMessage>(&action);
          if (send == nullptr || ++requests % 100 == 0) continue;
          const auto request = TryDecodeRequest(send->body);
          BOOST_REQUIRE(request.has_value());
          events.emplace_back(PartArrived{
              "entry-2", {request->base, {5, 5}, 0, 1, "not a delta"}});
        }
      }
    }
    BOOST_TEST(spread.Acceptor().Stamp().version == 0U);
    return requests;
  };
  BOOST_TEST(requests_in_20_seconds(true) == 1);
  BOOST_TEST(requests_in_20_seconds(false) > 40);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::spread
