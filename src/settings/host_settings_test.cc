#include "settings/host_settings.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace burdockwheel::settings {

namespace {

using std::chrono::milliseconds;

const std::string kSecret(64, 'a');

std::string Settings(const std::string& more) {
  return "{\"host\": \"entry-1\",\n\"failure_domain\": \"bergen-a\",\n"
         "\"caller_listen\": \"0.0.0.0:8080\",\n"
         "\"admin_listen\": \"127.0.0.1:9090\",\n"
         "\"peer_listen\": \"[::1]:7000\",\n"
         "\"platform\": {\n"
         "  \"address\": \"10.0.0.1:80\"},\n"
         "\"peer_keys\": [{\"id\": 1, \"secret\": \"" +
         kSecret + "\"}]" + more + "}";
}

std::vector<std::string> Faults(const std::string& text) {
  const auto result = ParseHostSettings(text, "s.json");
  std::vector<std::string> found;
  if (result.HasValue()) return found;
  for (const auto& fault : result.Failure()) {
    found.push_back(std::to_string(fault.line) + " " + fault.pointer + " " +
                    std::string(configuration::FaultReasonName(fault.reason)));
  }
  return found;
}

void CheckFaults(const std::string& text,
                 const std::vector<std::string>& expected) {
  BOOST_TEST(Faults(text) == expected, boost::test_tools::per_element());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HostSettingsTest)

BOOST_AUTO_TEST_CASE(FillsInDefaults) {
  const auto result = ParseHostSettings(Settings(""));
  BOOST_REQUIRE(result.HasValue());
  const auto& settings = result.Value();
  BOOST_TEST(settings.host.value == "entry-1");
  BOOST_TEST(settings.peer_listen.ip == "::1");
  BOOST_TEST(settings.peer_listen.Text() == "[::1]:7000");
  BOOST_TEST(!settings.peer_advertise.has_value());
  BOOST_TEST(settings.most_body_bytes == 1048576);
  BOOST_TEST(settings.HeldBodyBytes() == 32 << 20);
  BOOST_TEST(settings.UnreadAnswerBytes() == 64 << 20);
  BOOST_TEST((settings.stop.announce == milliseconds(3000)));
  BOOST_TEST(settings.caller_header == "Authorization");
  BOOST_TEST((settings.log_level == LogLevel::kInfo));
  BOOST_TEST(settings.peer_keys->current.id == 1U);
  BOOST_TEST(settings.peer_keys->current.secret[31] == 0xaa);
  BOOST_TEST(!settings.peer_keys->accepted.has_value());
}

BOOST_AUTO_TEST_CASE(ReadsEveryMember) {
  const auto result = ParseHostSettings(Settings(
      R"(, "peer_advertise": "10.0.0.9:7000", "key_lifetime_ms": 60000,
      "most_keys": 5, "most_answer_bytes": 1000, "most_body_bytes": 2048,
      "stop": {"announce_ms": 10, "most_wait_ms": 20}, "audit_entries": 16,
      "log_level": "error", "caller_header": "X-Member",
      "seed_peers": ["10.0.0.2:7000"], "worker_connect_timeout_ms": 9,
      "test_hooks": true, "test": {"random_seed": 7,
      "cut_peers": ["10.0.0.3:7000"]})"));
  BOOST_REQUIRE(result.HasValue());
  const auto& settings = result.Value();
  BOOST_TEST(settings.peer_advertise->Text() == "10.0.0.9:7000");
  BOOST_TEST((settings.key_lifetime == milliseconds(60000)));
  BOOST_TEST(settings.most_keys == 5);
  BOOST_TEST(settings.most_answer_bytes == 1000);
  BOOST_TEST(settings.most_body_bytes == 2048);
  BOOST_TEST((settings.stop.most_wait == milliseconds(20)));
  BOOST_TEST(settings.audit_entries == 16);
  BOOST_TEST((settings.log_level == LogLevel::kError));
  BOOST_TEST(settings.caller_header == "X-Member");
  BOOST_TEST(settings.seed_peers.at(0) == "10.0.0.2:7000");
  BOOST_TEST((settings.worker_connect_timeout == milliseconds(9)));
  BOOST_TEST(settings.test.random_seed.value() == 7U);
  BOOST_TEST(settings.test.cut_peers.at(0) == "10.0.0.3:7000");
}

BOOST_AUTO_TEST_CASE(CollectsEveryFault) {
  CheckFaults(
      Settings(R"(,
"key_lifetime_s": 60,
"most_keys": 0,
"most_body_bytes": "1 MiB",
"stop": {"announce_ms": -1, "wait": 2},
"log_level": "loud",
"caller_header": "a b",
"seed_peers": ["localhost:1", 7],
"test": {}
)"),
      {"9 /key_lifetime_s wrong-unit", "10 /most_keys out-of-range",
       "11 /most_body_bytes wrong-type", "12 /stop/announce_ms out-of-range",
       "12 /stop/wait unknown-key", "13 /log_level malformed",
       "14 /caller_header malformed", "15 /seed_peers/0 malformed",
       "15 /seed_peers/1 wrong-type", "16 /test not-applicable"});
}

BOOST_AUTO_TEST_CASE(ReportsWhatMustBeThere) {
  CheckFaults("{}", {"1 /host missing", "1 /failure_domain missing",
                     "1 /caller_listen missing", "1 /admin_listen missing",
                     "1 /peer_listen missing", "1 /platform missing"});
}

BOOST_AUTO_TEST_CASE(ReportsAddressesThatCannotWork) {
  CheckFaults(
      R"({"host": "h", "failure_domain": "d",
"caller_listen": "0.0.0.0:80",
"admin_listen": "0.0.0.0:80",
"peer_listen": "0.0.0.0:81",
"platform": {"address": "10.0.0.1:0", "watch_wait_ms": 1},
"peer_keys": [{"id": 1, "secret": "00"}, {"id": 1, "secret": ")" +
          kSecret + R"("}]})",
      {"1 /peer_advertise missing", "3 /admin_listen duplicate-name",
       "5 /platform/address malformed",
       "5 /platform/watch_wait_ms out-of-range",
       "6 /peer_keys/0/secret malformed", "6 /peer_keys/1/id duplicate-name"});
}

// A fault must not carry a secret into a log.
BOOST_AUTO_TEST_CASE(KeepsSecretsOutOfFaults) {
  const std::string secret = "5ec2e7";
  for (const char* after : {"\"}]}", "\n\"}]}", "\" 1}]}", ""}) {
    const auto result = ParseHostSettings(
        "{\"peer_keys\": [{\"id\": 1, \"secret\": \"" + secret + after);
    BOOST_REQUIRE(!result.HasValue());
    for (const auto& fault : result.Failure()) {
      const auto message = configuration::FaultMessage(fault);
      BOOST_TEST(message.find(secret) == std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IpEndpointTest)

BOOST_AUTO_TEST_CASE(TakesNumbersOnly) {
  BOOST_TEST(TryParseIpEndpoint("127.0.0.1:65535").has_value());
  BOOST_TEST(TryParseIpEndpoint("[::1]:0").has_value());
  for (const auto* text :
       {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "host:80",
        "127.0.0.1:8x", "::1:80", "[127.0.0.1]:80", "127.0.0.1:+80"})
    BOOST_TEST(!TryParseIpEndpoint(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::settings
