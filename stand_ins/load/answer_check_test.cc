#include "stand_ins/load/answer_check.h"

#include <boost/test/unit_test.hpp>

#include "stand_ins/common/token_bytes.h"

namespace burdockwheel::stand_ins {
namespace {

constexpr std::uint64_t kToken = 42;

AnswerCheck CheckOf(std::uint64_t stated_token, std::uint64_t body_token,
                    std::size_t bytes) {
  AnswerCheck check(kToken, 100);
  check.ReadField("x-echo-token", FormatToken(stated_token));
  std::string body;
  AppendTokenBytes(body_token, bytes, &body);
  const std::string_view view = body;
  check.ReadBody(view.substr(0, bytes / 3));
  check.ReadBody(view.substr(bytes / 3));
  return check;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(AnswerCheckTest)

BOOST_AUTO_TEST_CASE(KnowsItsOwnWholeAnswer) {
  BOOST_TEST(CheckOf(kToken, kToken, 100).IsOwn());
  BOOST_TEST(!CheckOf(kToken, kToken, 100).IsForeign());
}

BOOST_AUTO_TEST_CASE(KnowsAnothersAnswerAndAShortOne) {
  BOOST_TEST(CheckOf(43, 43, 100).IsForeign());
  BOOST_TEST(!CheckOf(43, 43, 100).IsOwn());
  BOOST_TEST(CheckOf(kToken, 43, 100).IsForeign());
  BOOST_TEST(!CheckOf(kToken, kToken, 99).IsOwn());
  BOOST_TEST(!CheckOf(kToken, kToken, 101).IsOwn());
  BOOST_TEST(!CheckOf(kToken, kToken, 99).IsForeign());
}

BOOST_AUTO_TEST_CASE(ReadsWhatIsToldOfTheRun) {
  AnswerCheck check(kToken, 100);
  check.ReadField("Content-Type", "application/problem+json");
  check.ReadBody(R"({"type":"https://example.org/problems/overloaded",)");
  check.ReadBody(R"("run":"not-run"})");
  BOOST_TEST((check.Run() == ToldRun::kNotRun));
  BOOST_TEST(check.ProblemName() == "overloaded");
  AnswerCheck worker(kToken, 100);
  BOOST_TEST((worker.Run() == ToldRun::kNothing));
  worker.ReadField("Burdockwheel-Run", "not-run");
  BOOST_TEST((worker.Run() == ToldRun::kNotRun));
}

BOOST_AUTO_TEST_CASE(TakesAnUnclearProblemForUnknown) {
  AnswerCheck check(kToken, 100);
  check.ReadField("Content-Type", "application/problem+json");
  check.ReadBody("{");
  BOOST_TEST((check.Run() == ToldRun::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
