// Workers in trouble whose answers have a head that breaks HTTP.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "http/arrival_fixture_test.h"

namespace burdockwheel::http {

namespace {

using Ending = testing::StagedWorker::Ending;

const std::string kRequest = "GET /a HTTP/1.1\r\nHost: w\r\n\r\n";
const std::string kHead = "HTTP/1.1 200 OK\r\nEtag: 3e1b\r\n";

class MalformedHeadFixture : public testing::ArrivalFixture {
 public:
  void CheckBroken(const std::vector<std::string>& parts) {
    for (const auto ending : {Ending::kClose, Ending::kReset}) {
      this->ForEachArrival(
          kRequest, parts, ending, [](const testing::Ended& ended) {
            BOOST_TEST((ended.outcome.result == model::AttemptResult::kBroken));
            BOOST_TEST((ended.outcome.cause == model::BreakCause::kMalformed));
            BOOST_TEST(ended.answer.headers.empty());
            BOOST_TEST(ended.answer.body.empty());
          });
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(MalformedHeadTest, MalformedHeadFixture)

BOOST_AUTO_TEST_CASE(AStatusOfZeroIsNoAnswer) {
  const std::string status = "HTTP/1.1 000 \r\n";
  this->CheckBroken({status, "Content-Length: 2\r\n\r\n", "ok"});
  this->CheckBroken({"HTTP/1.1 0", "00 \r\n\r\n", "ok"});
  this->CheckBroken(
      {status + "Transfer-Encoding: chunked\r\n", "\r\n2\r\nok\r\n0\r\n\r\n"});
}

BOOST_AUTO_TEST_CASE(ANameWithABlankIsNoField) {
  this->CheckBroken({kHead, "Content-Length : 2\r\n", "\r\nok"});
  this->CheckBroken({kHead, "Content Length: 2\r\n", "\r\nok"});
  this->CheckBroken({"HTTP/1.1 200 OK\r\n", " Content-Length: 2\r\n\r\nok"});
}

BOOST_AUTO_TEST_CASE(ANameWithAControlByteIsNoField) {
  this->CheckBroken({kHead, "X\x01Y: 2\r\nContent-Length: 2\r\n\r\nok"});
  this->CheckBroken({kHead + "X", "\tY: 2\r\nContent-Length: 2\r\n\r\nok"});
  this->CheckBroken({kHead + "\x7f", "X: 2\r\nContent-Length: 2\r\n\r\nok"});
}

// The body would end elsewhere than the worker meant.
BOOST_AUTO_TEST_CASE(ALineThatBeginsWithABlankContinuesNoField) {
  this->CheckBroken({kHead, " Content-Length: 2\r\n", "\r\nok"});
  this->CheckBroken({kHead + "\t", "Content-Length: 2\r\n\r\nok"});
  this->CheckBroken(
      {kHead + " Transfer-Encoding: chunked\r\n", "\r\n2\r\nok\r\n0\r\n\r\n"});
  this->CheckBroken({kHead, " X: y\r\nContent-Length: 2\r\n\r\n", "ok"});
}

BOOST_AUTO_TEST_CASE(AHeadAfterAnInterimAnswerIsChecked) {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  this->CheckBroken({interim, "HTTP/1.1 000 \r\n", "\r\nok"});
  this->CheckBroken({interim + kHead, " Content-Length: 2\r\n\r\n", "ok"});
}

BOOST_AUTO_TEST_CASE(ATrailerIsCheckedLikeAHead) {
  const std::string chunked =
      kHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
  this->CheckBroken({chunked, "X Y: z\r\n\r\n"});
  this->CheckBroken({chunked + "X: y\r\n", " Z: 1\r\n\r\n"});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
