#include "http/retry_after.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace burdockwheel::http {

namespace {

std::int64_t PauseOf(const std::string& value, int status = 503) {
  Answer answer;
  answer.status = status;
  answer.headers.push_back({"Retry-After", value});
  return PauseAskedBy(answer).count();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RetryAfterTest)

BOOST_AUTO_TEST_CASE(ReadsSecondsAndTheirFractions) {
  BOOST_TEST(PauseOf("2") == 2000);
  BOOST_TEST(PauseOf("0.25") == 250);
  BOOST_TEST(PauseOf("1.0004") == 1001);
}

BOOST_AUTO_TEST_CASE(AsksNothingOfWhatIsNoPause) {
  BOOST_TEST(PauseOf("2", 200) == 0);
  BOOST_TEST(PauseOf("2", 429) == 0);
  for (const char* value : {"", "0", "-1", "nan", "inf", "2s", "1e3", " 2",
                            "Fri, 04 Dec 2026 10:00:00 GMT"})
    BOOST_TEST(PauseOf(value) == 0, value);
  BOOST_TEST(PauseAskedBy({}).count() == 0);
}

BOOST_AUTO_TEST_CASE(IsBounded) {
  BOOST_TEST(PauseOf("99999999999999999999") == 3'600'000);
  BOOST_TEST(PauseOf(std::string(400, '9')) <= 3'600'000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
