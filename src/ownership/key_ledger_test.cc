#include "ownership/key_ledger.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace burdockwheel::ownership {

namespace {

using model::Refusal;
using model::RefusalReason;
using model::RunState;
using std::chrono::minutes;
using std::chrono::seconds;

OwnershipSettings Settings() {
  OwnershipSettings settings;
  settings.self = {{"a"}, {1}};
  settings.ledger.most_keys = 3;
  settings.ledger.most_answer_bytes = 1000;
  settings.ledger.most_bytes_each = 600;
  return settings;
}

CallDigest Digest(unsigned char first) {
  CallDigest digest;
  digest.bytes[0] = first;
  return digest;
}

ForwardedAnswer AnswerOf(std::size_t size) {
  return {200, {}, std::string(size, 'x')};
}

struct Fixture {
  IdempotencyKey Issue() {
    nonce.bytes[0] += 1;
    const auto issued = ledger.TryIssue(now, nonce);
    BOOST_REQUIRE(issued.HasValue());
    return issued.Value();
  }
  LedgerDecision Use(const IdempotencyKey& key, unsigned char digest = 1) {
    return ledger.Use(now, key, Digest(digest), now + seconds(1));
  }
  Refusal RefusalOf(const IdempotencyKey& key, unsigned char digest = 1) {
    return std::get<Refusal>(std::get<CallResult>(Use(key, digest)));
  }
  bool IsStarted(const IdempotencyKey& key) {
    return std::holds_alternative<StartRun>(Use(key));
  }

  kernel::Instant now;
  KeyNonce nonce;
  KeyLedger ledger{Settings()};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(KeyLedgerTest, Fixture)

BOOST_AUTO_TEST_CASE(RunsAKeyOnceAndKeepsItsAnswer) {
  const IdempotencyKey key = Issue();
  BOOST_TEST(IsStarted(key));
  BOOST_TEST(std::holds_alternative<JoinRun>(Use(key)));
  ledger.EndRun(now, key.sequence, AnswerOf(5));
  const auto result = std::get<CallResult>(Use(key));
  BOOST_TEST((std::get<ForwardedAnswer>(result) == AnswerOf(5)));
}

BOOST_AUTO_TEST_CASE(GivesNothingToAnotherCallOrAGuessedKey) {
  const IdempotencyKey key = Issue();
  BOOST_TEST(IsStarted(key));
  BOOST_TEST((RefusalOf(key, 2).reason == RefusalReason::kKeyMismatch));
  ledger.EndRun(now, key.sequence, AnswerOf(5));
  BOOST_TEST((RefusalOf(key, 2).reason == RefusalReason::kKeyMismatch));
  BOOST_TEST((RefusalOf(key, 2).run_state == RunState::kUnknown));
  IdempotencyKey guessed = key;
  guessed.nonce.bytes[15] ^= 1U;
  BOOST_TEST((RefusalOf(guessed).reason == RefusalReason::kKeyUnrecognized));
  IdempotencyKey later = key;
  later.sequence += 1;
  BOOST_TEST((RefusalOf(later).reason == RefusalReason::kKeyUnrecognized));
}

BOOST_AUTO_TEST_CASE(RecordsThatACallWasNotRun) {
  const IdempotencyKey key = Issue();
  BOOST_TEST(IsStarted(key));
  ledger.EndRun(now, key.sequence,
                Refusal{RefusalReason::kOverloaded, RunState::kNotRun});
  BOOST_TEST((RefusalOf(key).reason == RefusalReason::kOverloaded));
  BOOST_TEST((RefusalOf(key).run_state == RunState::kNotRun));
}

BOOST_AUTO_TEST_CASE(ClosesACallThatComesAfterItsDeadline) {
  const IdempotencyKey key = Issue();
  const auto decision = ledger.Use(now, key, Digest(1), now);
  const auto refusal = std::get<Refusal>(std::get<CallResult>(decision));
  BOOST_TEST((refusal.reason == RefusalReason::kDeadlineExceeded));
  BOOST_TEST((refusal.run_state == RunState::kNotRun));
  BOOST_TEST(!IsStarted(key));
}

BOOST_AUTO_TEST_CASE(NeverRunsAForgottenKey) {
  const IdempotencyKey key = Issue();
  now += minutes(10);
  BOOST_TEST((RefusalOf(key).reason == RefusalReason::kKeyExpired));
  BOOST_TEST((RefusalOf(key).run_state == RunState::kUnknown));
  BOOST_TEST(ledger.KeyCount() == 0U);
}

BOOST_AUTO_TEST_CASE(KeepsASlotWhoseCallIsInFlight) {
  const IdempotencyKey key = Issue();
  BOOST_TEST(IsStarted(key));
  now += minutes(11);
  BOOST_TEST(std::holds_alternative<JoinRun>(Use(key)));
  ledger.EndRun(now, key.sequence, AnswerOf(5));
  BOOST_TEST((RefusalOf(key).reason == RefusalReason::kKeyExpired));
  BOOST_TEST(ledger.RunsInFlight() == 0U);
  BOOST_TEST(ledger.AnswerBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(IssuesNoKeyWithoutAFreeSlot) {
  for (int count = 0; count < 3; ++count) Issue();
  const auto refused = ledger.TryIssue(now, nonce);
  BOOST_REQUIRE(!refused.HasValue());
  BOOST_TEST((refused.Failure().reason == RefusalReason::kKeysExhausted));
  BOOST_TEST((refused.Failure().run_state == RunState::kNotRun));
  now += minutes(10);
  BOOST_TEST(Issue().sequence == 4U);
}

BOOST_AUTO_TEST_CASE(DropsTheOldestAnswersBeyondItsBytes) {
  const IdempotencyKey first = Issue();
  const IdempotencyKey second = Issue();
  const IdempotencyKey large = Issue();
  for (const IdempotencyKey& key : {first, second, large})
    BOOST_TEST(IsStarted(key));
  ledger.EndRun(now, first.sequence, AnswerOf(500));
  ledger.EndRun(now, second.sequence, AnswerOf(500));
  ledger.EndRun(now, large.sequence, AnswerOf(601));
  BOOST_TEST((RefusalOf(first).reason == RefusalReason::kAnswerNotKept));
  BOOST_TEST((RefusalOf(large).reason == RefusalReason::kAnswerNotKept));
  BOOST_TEST(std::holds_alternative<ForwardedAnswer>(
      std::get<CallResult>(Use(second))));
  BOOST_TEST(ledger.AnswerBytes() <= Settings().ledger.most_answer_bytes);
}

BOOST_AUTO_TEST_CASE(StartsNothingOnceSealed) {
  const IdempotencyKey unused = Issue();
  const IdempotencyKey running = Issue();
  BOOST_TEST(IsStarted(running));
  ledger.Seal();
  BOOST_TEST((RefusalOf(unused).reason == RefusalReason::kHostStopping));
  BOOST_TEST((RefusalOf(unused).run_state == RunState::kNotRun));
  BOOST_TEST(std::holds_alternative<JoinRun>(Use(running)));
  BOOST_TEST(!ledger.TryIssue(now, nonce).HasValue());
  ledger.EndRun(now, running.sequence, AnswerOf(5));

  const auto first_part = ledger.EntriesAfter(now, 0, 1);
  BOOST_REQUIRE(first_part.size() == 1U);
  const auto second_part =
      ledger.EntriesAfter(now, first_part.back().sequence, 100000);
  BOOST_REQUIRE(second_part.size() == 1U);
  BOOST_TEST((first_part[0].entry.state == EntryState::kRefused));
  BOOST_TEST((second_part[0].entry.state == EntryState::kAnswered));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::ownership
