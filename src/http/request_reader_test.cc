#include "http/request_reader.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "http/hostile_bytes_test.h"

namespace burdockwheel::http {

namespace {

struct Faulty {
  const char* name;
  std::string bytes;
  int status;
};

std::ostream& operator<<(std::ostream& out, const Faulty& faulty) {
  return out << faulty.name;
}

const std::vector<Faulty> kFaulty = {
    {"both framings",
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     400},
    {"both framings, other order",
     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
     "Content-Length: 3\r\n\r\n0\r\n\r\n",
     400},
    {"two lengths that differ",
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
     "Content-Length: 4\r\n\r\nabcd",
     400},
    {"negative length",
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400},
    {"unknown coding",
     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n"
     "\r\n0\r\n\r\n",
     501},
    {"no host", "GET / HTTP/1.1\r\n\r\n", 400},
    {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
    {"blank before colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400},
    {"unknown expectation",
     "POST / HTTP/1.1\r\nHost: a\r\nExpect: tea\r\nContent-Length: 1\r\n\r\n",
     417},
    {"body beyond the limit",
     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n", 413},
    {"chunk beyond the limit",
     "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
     "1388\r\n" +
         std::string(5000, 'x') + "\r\n0\r\n\r\n",
     413},
    {"header beyond the limit",
     "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n",
     431},
    {"target without slash", "GET a HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"not HTTP", "\x16\x03\x01\x02\x03hello\r\n\r\n", 400},
};

constexpr ReadLimits kLimits{.most_header_bytes = std::size_t{8} * 1024,
                             .most_body_bytes = 4096};

}  // namespace

BOOST_AUTO_TEST_SUITE(RequestReaderTest)

BOOST_DATA_TEST_CASE(RefusesFaultyRequests,
                     boost::unit_test::data::make(kFaulty), faulty) {
  RequestReader reader(kLimits);
  std::size_t consumed = 0;
  BOOST_TEST((reader.Feed(faulty.bytes, consumed) == ReadState::kFailed));
  BOOST_TEST(reader.FailureStatus() == faulty.status);
}

BOOST_AUTO_TEST_CASE(ReadsPipelinedRequestsFedByteByByte) {
  const std::string bytes =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\n\r\n"
      "GET /b?c=d HTTP/1.1\r\nHost: h\r\n\r\n";
  RequestReader reader(kLimits);
  std::vector<Request> requests;
  std::string inbox;
  for (const char byte : bytes) {
    inbox.push_back(byte);
    std::size_t consumed = 0;
    const auto state = reader.Feed(inbox, consumed);
    inbox.erase(0, consumed);
    BOOST_REQUIRE((state != ReadState::kFailed));
    if (state != ReadState::kComplete) continue;
    requests.push_back(reader.TakeRequest());
  }
  BOOST_REQUIRE(requests.size() == 2U);
  BOOST_TEST(requests[0].body == "abc");
  BOOST_TEST(requests[1].target == "/b?c=d");
}

BOOST_AUTO_TEST_CASE(TellsOnceThatTheCallerWantsToContinue) {
  RequestReader reader(kLimits);
  std::size_t consumed = 0;
  const std::string head =
      "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
      "Content-Length: 2\r\n\r\n";
  BOOST_TEST((reader.Feed(head, consumed) == ReadState::kWantsContinue));
  BOOST_TEST(consumed == head.size());
  BOOST_TEST((reader.Feed("a", consumed) == ReadState::kNeedsMore));
  BOOST_TEST((reader.Feed("b", consumed) == ReadState::kComplete));
  BOOST_TEST(reader.TakeRequest().body == "ab");
}

BOOST_AUTO_TEST_CASE(SurvivesTenThousandMalformedInputs) {
  std::vector<std::string> samples;
  for (const auto& faulty : kFaulty) {
    if (faulty.bytes.size() < 1000) samples.push_back(faulty.bytes);
  }
  samples.push_back(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello");
  std::mt19937_64 random(1);
  for (int input = 0; input < 10'000; ++input) {
    auto bytes = testing::Mutate(samples, random);
    RequestReader reader(kLimits);
    for (int rounds = 0; rounds < 8 && !bytes.empty(); ++rounds) {
      std::size_t consumed = 0;
      const auto state = reader.Feed(bytes, consumed);
      BOOST_REQUIRE(consumed <= bytes.size());
      bytes.erase(0, consumed);
      if (state == ReadState::kFailed) break;
      if (state != ReadState::kComplete) break;
      BOOST_REQUIRE(reader.TakeRequest().body.size() <= 4096U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
