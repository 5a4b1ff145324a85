#include "configuration/configuration_parser.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "configuration/configuration_serializer.h"

namespace burdockwheel::configuration {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::string_view kSlotCalendar = R"({
  "service": "slot-calendar",
  "worker": {"slots": 8, "connections": 200},
  "routing": {
    "policy": "peak-ewma",
    "prefer_own_failure_domain": false,
    "crossing_cost_us": 4000
  },
  "queue": {"most_calls": 64, "most_wait_ms": 50},
  "retry": {"share": 0.25},
  "calls": [
    {"name": "read-slots", "method": "GET", "path": "/slots/{plant}",
     "idempotent": true, "weight": 2, "deadline_ms": 800, "attempts": 2,
     "hedge_after_ms": 40},
    {"name": "hold-slot", "method": "POST", "path": "/slots/{plant}/holds",
     "idempotent": false, "key": "optional"}
  ]
})";

// Returns line, pointer and reason of each fault of a short file.
std::vector<std::string> ServiceFaults(std::string_view text) {
  const auto result = ParseServiceDefinition(text, "f.json");
  std::vector<std::string> messages;
  if (result.HasValue()) return messages;
  for (const auto& fault : result.Failure()) {
    messages.push_back(std::to_string(fault.line) + ": " + fault.pointer +
                       ": " + std::string(FaultReasonName(fault.reason)));
  }
  return messages;
}

void CheckFaults(std::string_view text,
                 const std::vector<std::string>& expected) {
  BOOST_TEST(ServiceFaults(text) == expected, boost::test_tools::per_element());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationParserTest)

BOOST_AUTO_TEST_CASE(ReadsEveryMemberOfAShortFile) {
  const auto result = ParseServiceDefinition(kSlotCalendar);
  BOOST_REQUIRE(result.HasValue());
  const auto& service = result.Value();
  BOOST_TEST(service.name.value == "slot-calendar");
  BOOST_TEST(service.worker_slots == 8);
  BOOST_TEST(service.worker_connections == 200);
  BOOST_TEST(service.routing_policy == "peak-ewma");
  BOOST_TEST(!service.locality.is_local_preferred);
  BOOST_TEST((service.locality.crossing_cost == microseconds(4000)));
  BOOST_TEST(service.queue.most_calls == 64);
  BOOST_TEST((service.queue.most_wait == milliseconds(50)));
  BOOST_TEST(service.retry_share == 0.25);
  BOOST_REQUIRE(service.kinds.size() == 2U);
  BOOST_TEST(service.kinds[0].is_idempotent);
  BOOST_TEST(!service.kinds[0].is_key_required);
  BOOST_TEST(service.kinds[0].weight == 2);
  BOOST_TEST((service.kinds[0].deadline == milliseconds(800)));
  BOOST_TEST(service.kinds[0].most_attempts == 2);
  BOOST_TEST((service.kinds[0].hedge_after == milliseconds(40)));
  BOOST_TEST(service.kinds[1].path_pattern == "/slots/{plant}/holds");
  BOOST_TEST(!service.kinds[1].is_key_required);
  BOOST_TEST((service.kinds[1].deadline == milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(CollectsEveryFaultWithItsLineAndPointer) {
  CheckFaults(R"({
  "service": "a b",
  "colour": 1,
  "worker": {"slots": 0, "connections": "many"},
  "queue": {"most_wait_s": 1,
            "most_calls": 1.5},
  "retry": [],
  "calls": [
    {"name": "x", "method": "FETCH", "path": "x", "idempotent": 1},
    {"name": "x", "method": "GET",
     "path": "/a/{b}", "idempotent": false, "hedge_after_ms": 5,
     "a/b~c": null}
  ]
})",
              {
                  "2: /service: malformed",
                  "3: /colour: unknown-key",
                  "4: /worker/slots: out-of-range",
                  "4: /worker/connections: wrong-type",
                  "5: /queue/most_wait_s: wrong-unit",
                  "6: /queue/most_calls: wrong-type",
                  "7: /retry: wrong-type",
                  "9: /calls/0/method: malformed",
                  "9: /calls/0/path: malformed",
                  "9: /calls/0/idempotent: wrong-type",
                  "10: /calls/1/name: duplicate-name",
                  "11: /calls/1/hedge_after_ms: not-applicable",
                  "12: /calls/1/a~1b~0c: unknown-key",
              });
}

BOOST_AUTO_TEST_CASE(SaysWhatWouldBeRight) {
  const auto result = ParseServiceDefinition(
      "{\"service\": \"a\", \"queue\": {\"most_wait_s\": 1},\n"
      " \"worker\": {\"slots\": 0}, \"calls\": [{\"name\": \"n\", "
      "\"method\": \"GET\", \"path\": \"/\", \"idempotent\": true}]}",
      "f.json");
  BOOST_REQUIRE(!result.HasValue());
  BOOST_REQUIRE(result.Failure().size() == 2U);
  BOOST_TEST(FaultMessage(result.Failure()[0]) ==
             "f.json:1: /queue/most_wait_s: wrong-unit: \"most_wait_ms\"");
  BOOST_TEST(
      FaultMessage(result.Failure()[1]) ==
      "f.json:2: /worker/slots: out-of-range: an integer from 1 to 1024");
}

BOOST_AUTO_TEST_CASE(ReportsMissingMembersAtTheirParent) {
  CheckFaults("{\n\n \"calls\": [{}]}",
              {"1: /service: missing", "3: /calls/0/name: missing",
               "3: /calls/0/method: missing", "3: /calls/0/path: missing",
               "3: /calls/0/idempotent: missing"});
}

BOOST_AUTO_TEST_CASE(ReportsTheLineOfANumberBeforeALineBreak) {
  CheckFaults(
      "{\"service\": \"a\", \"worker\": {\"slots\":\n  -4\n\n}, "
      "\"calls\": [{\"name\": \"n\", \"method\": \"GET\", \"path\": \"/\", "
      "\"idempotent\": true}]}",
      {"2: /worker/slots: out-of-range"});
}

BOOST_AUTO_TEST_CASE(ReportsTextThatIsNotJson) {
  const auto result = ParseServiceDefinition("{\n \"service\": \"a\",\n }");
  BOOST_REQUIRE(!result.HasValue());
  BOOST_REQUIRE(result.Failure().size() == 1U);
  BOOST_TEST((result.Failure()[0].reason == FaultReason::kNotJson));
  BOOST_TEST(result.Failure()[0].line == 3);
  BOOST_TEST(!ParseServiceDefinition("").HasValue());
  BOOST_TEST(!ParseServiceDefinition("\xff\xfe").HasValue());
  BOOST_TEST(!ParseServiceDefinition("{\"a\": 1e999}").HasValue());
  BOOST_TEST(!ParseServiceDefinition("[]").HasValue());
  BOOST_TEST(!ParseServiceDefinition("null").HasValue());
}

BOOST_AUTO_TEST_CASE(ReportsAMemberThatIsNamedTwice) {
  const auto messages = ServiceFaults("{\"service\": \"a\",\n\"service\": 3}");
  BOOST_REQUIRE(messages.size() == 3U);
  BOOST_TEST(messages[1] == "2: /service: duplicate-key");
}

BOOST_AUTO_TEST_CASE(BoundsDepthAndSize) {
  const std::string deep(200'000, '[');
  const auto result =
      ParseFleetConfiguration(deep.substr(0, kMostDocumentBytes));
  BOOST_REQUIRE(!result.HasValue());
  BOOST_TEST((result.Failure()[0].reason == FaultReason::kTooDeep));
  const auto large =
      ParseFleetConfiguration(std::string(kMostDocumentBytes + 1, ' '));
  BOOST_REQUIRE(!large.HasValue());
  BOOST_TEST((large.Failure()[0].reason == FaultReason::kTooLarge));
}

BOOST_AUTO_TEST_CASE(ReportsConflictsBetweenServices) {
  const auto result = ParseFleetConfiguration(R"({"version": 4,
"most_entry_hosts": 25, "services": [
{"service": "a", "worker": {"connections": 24}, "calls": [
 {"name": "k", "method": "GET", "path": "/x/{p}/y", "idempotent": true}]},
{"service": "a", "calls": [
 {"name": "k", "method": "GET", "path": "/x/{q}/y", "idempotent": true},
 {"name": "l", "method": "PUT", "path": "/x/{q}/y", "idempotent": true}]}
]})",
                                              "doc");
  BOOST_REQUIRE(!result.HasValue());
  std::vector<std::string> messages;
  for (const auto& fault : result.Failure())
    messages.push_back(FaultMessage(fault));
  const std::vector<std::string> expected = {
      "doc:3: /services/0/worker/connections: out-of-range: at least "
      "most_entry_hosts, 25, so that each host has a connection",
      "doc:5: /services/1/service: duplicate-name: a name other than that at "
      "doc:3",
      "doc:6: /services/1/calls/0/path: conflicting-route: a method and path "
      "that doc:4 /services/0/calls/0/path does not claim"};
  BOOST_TEST(messages == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ReportsPoliciesThatAreNotKnownOnlyIfAsked) {
  ParserChecks checks;
  checks.is_policy_known = [](const std::string& name) {
    return name == "two-choices";
  };
  BOOST_TEST(ParseServiceDefinition(kSlotCalendar).HasValue());
  const auto result = ParseServiceDefinition(kSlotCalendar, "f", checks);
  BOOST_REQUIRE(!result.HasValue());
  BOOST_TEST((result.Failure()[0].reason == FaultReason::kUnknownName));
  BOOST_TEST(result.Failure()[0].pointer == "/routing/policy");
}

BOOST_AUTO_TEST_CASE(ReadsBackWhatIsWritten) {
  auto service = ParseServiceDefinition(kSlotCalendar);
  BOOST_REQUIRE(service.HasValue());
  model::FleetConfiguration configuration;
  configuration.version = 7;
  configuration.services = {service.Value()};
  const auto text = SerializeFleetConfiguration(configuration);
  const auto read = ParseFleetConfiguration(text);
  BOOST_REQUIRE(read.HasValue());
  BOOST_TEST(SerializeFleetConfiguration(read.Value()) == text);
  BOOST_TEST(DigestFleetConfiguration(read.Value()) ==
             DigestFleetConfiguration(configuration));
  configuration.services[0].queue.most_calls += 1;
  BOOST_TEST(DigestFleetConfiguration(read.Value()) !=
             DigestFleetConfiguration(configuration));
}

// Hosts of different releases must come to the same digest.
BOOST_AUTO_TEST_CASE(WritesRoutesAsBefore) {
  model::PrefixRoute route;
  route.kind.name = "r-1";
  route.kind.is_idempotent = true;
  route.kind.deadline = std::chrono::milliseconds(1500);
  route.kind.objective = std::chrono::milliseconds(400);
  route.kind.priority = 2;
  route.kind.weight = 3;
  route.kind.most_attempts = 4;
  route.host = "a.example";
  route.prefix = "/p\"\\\x01/";
  model::PrefixRoute bare = route;
  route.targets = {{{"one"}, 90}, {{"two"}, 10}};
  const std::string members =
      R"({"name":"r-1","host":"a.example","prefix":"/p\"\\\u0001/",)"
      R"("idempotent":true,"deadline_ms":1500,"objective_ms":400,)"
      R"("priority":2,"weight":3,"attempts":4)";
  const std::string targets = R"(,"targets":[{"service":"one","weight":90},)"
                              R"({"service":"two","weight":10}])";
  BOOST_TEST(SerializePrefixRoutes({route, bare}) ==
             "[\n" + members + targets + "},\n" + members + "}\n]");
}

// Hosts of former versions read weights without a fraction as integers, and all
// hosts of a deployment digest the same text.
BOOST_AUTO_TEST_CASE(WritesWholeWeightsAsIntegers) {
  BOOST_TEST(SerializeNumber(0) == "0");
  BOOST_TEST(SerializeNumber(90) == "90");
  BOOST_TEST(SerializeNumber(1'000'000) == "1000000");
  BOOST_TEST(SerializeNumber(kMostTargetWeight) == "1000000000000000");
  BOOST_TEST(SerializeNumber(12.5) == "12.5");
  BOOST_TEST(SerializeNumber(0.1) == "0.1");
}

// Whatever part of a right document is lost or turned, the parser ends and says
// where the fault is.
BOOST_AUTO_TEST_CASE(SurvivesDamagedDocuments) {
  const std::string whole(kSlotCalendar);
  for (std::size_t place = 0; place < whole.size(); ++place) {
    std::string damaged = whole;
    damaged[place] = static_cast<char>(damaged[place] ^ 0x15);
    const auto turned = ParseServiceDefinition(damaged);
    if (!turned.HasValue()) BOOST_TEST(!turned.Failure().empty());
    const auto cut = ParseServiceDefinition(whole.substr(0, place));
    BOOST_TEST(!cut.HasValue());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::configuration
