#include "ownership/idempotency_key.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace burdockwheel::ownership {

namespace {

IdempotencyKey SampleKey() {
  IdempotencyKey key{{"host-07"}, {0xfedcba9876543210U}, 42, {}};
  for (std::size_t at = 0; at < KeyNonce::kBytes; ++at)
    key.nonce.bytes[at] = static_cast<unsigned char>(at * 17);
  return key;
}

KeyParseFailure FailureOf(std::string_view text) {
  const auto parsed = ParseIdempotencyKey(text);
  BOOST_REQUIRE(!parsed.HasValue());
  return parsed.Failure();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(IdempotencyKeyTest)

BOOST_AUTO_TEST_CASE(ParsesItsOwnTextWithAndWithoutQuotes) {
  const std::string text = IdempotencyKeyText(SampleKey());
  BOOST_TEST(text ==
             "1-fedcba9876543210-000000000000002a-"
             "00112233445566778899aabbccddeeff-host-07");
  for (const std::string& form : {text, '"' + text + '"'}) {
    const auto parsed = ParseIdempotencyKey(form);
    BOOST_REQUIRE(parsed.HasValue());
    BOOST_TEST((parsed.Value() == SampleKey()));
  }
}

BOOST_AUTO_TEST_CASE(NamesEachFailure) {
  const std::string text = IdempotencyKeyText(SampleKey());
  BOOST_TEST((FailureOf("") == KeyParseFailure::kMalformed));
  BOOST_TEST((FailureOf("8e03978e-40d5-43e8-bc93-6894a57f9324") ==
              KeyParseFailure::kMalformed));
  BOOST_TEST((FailureOf('2' + text.substr(1)) ==
              KeyParseFailure::kUnsupportedVersion));
  BOOST_TEST((FailureOf(text.substr(0, text.size() - 7)) ==
              KeyParseFailure::kBadIssuer));
  BOOST_TEST((FailureOf(text.substr(0, text.size() - 8)) ==
              KeyParseFailure::kMalformed));
  BOOST_TEST((FailureOf(text + " x") == KeyParseFailure::kBadIssuer));
  BOOST_TEST(
      (FailureOf(text + std::string(64, 'x')) == KeyParseFailure::kTooLong));
}

BOOST_AUTO_TEST_CASE(ParsesNoMutatedTextAsTheSameKey) {
  std::mt19937_64 random(20260403);
  const std::string text = IdempotencyKeyText(SampleKey());
  for (int trial = 0; trial < 20000; ++trial) {
    std::string mutated = text;
    const std::size_t at = random() % mutated.size();
    mutated[at] = static_cast<char>(random() % 128);
    if (mutated == text) continue;
    const auto parsed = ParseIdempotencyKey(mutated);
    if (parsed.HasValue()) {
      // Hexadecimal digits may be of either case.
      mutated[at] = static_cast<char>(mutated[at] | 0x20);
      BOOST_REQUIRE((mutated == text || !(parsed.Value() == SampleKey())));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::ownership
