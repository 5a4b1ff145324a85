#include "http/answer_reader.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "http/hostile_bytes_test.h"

namespace burdockwheel::http {

namespace {

constexpr std::size_t kMostBodyBytes = 4096;

// Feeds what the reader has left unread together with what follows, as a
// connection does.
AnswerState Feed(AnswerReader& reader, std::string& unread,
                 const std::string& bytes) {
  unread += bytes;
  std::size_t consumed = 0;
  const auto state = reader.Feed(unread, consumed);
  unread.erase(0, consumed);
  return state;
}

// Tells whether the answer fails, cut in two at any byte, and byte by byte.
bool IsFailedInAnyParts(const std::string& bytes) {
  std::vector<std::vector<std::string>> cuts;
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    cuts.push_back({bytes.substr(0, cut), bytes.substr(cut)});
  cuts.emplace_back();
  for (const char byte : bytes) cuts.back().emplace_back(1, byte);
  return std::all_of(cuts.begin(), cuts.end(), [](const auto& parts) {
    AnswerReader reader(kMostBodyBytes);
    reader.Begin(false);
    std::string unread;
    for (const auto& part : parts) {
      const auto state = Feed(reader, unread, part);
      if (state == AnswerState::kNeedsMore) continue;
      return state == AnswerState::kFailed;
    }
    return reader.FeedEnd() == AnswerState::kFailed;
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(AnswerReaderTest)

BOOST_AUTO_TEST_CASE(PassesOverInterimAnswers) {
  AnswerReader reader(kMostBodyBytes);
  reader.Begin(false);
  std::size_t consumed = 0;
  BOOST_TEST((reader.Feed("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                          consumed) == AnswerState::kComplete));
  const auto answer = reader.TakeAnswer();
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body == "ok");
  BOOST_TEST(reader.IsKeepAlive());
}

BOOST_AUTO_TEST_CASE(FailsAnAnswerThatEndsBeforeItsLength) {
  AnswerReader reader(kMostBodyBytes);
  reader.Begin(false);
  std::size_t consumed = 0;
  BOOST_TEST((reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
                          consumed) == AnswerState::kNeedsMore));
  BOOST_TEST((reader.FeedEnd() == AnswerState::kFailed));
}

// A head that ends early is no answer, however much of it looks whole.
BOOST_AUTO_TEST_CASE(FailsAHeadThatIsCutShortAtAnyByte) {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  const std::string status = "HTTP/1.1 200 OK\r\nEtag: 3e1b\r\n";
  const std::string after_interim = interim + status;
  for (const std::string& head :
       {status + "\r\n", status + "Content-Length: 0\r\n\r\n",
        status + "Content-Length: 9\r\n\r\n",
        status + "Transfer-Encoding: chunked\r\n\r\n",
        after_interim + "Content-Length: 9\r\n\r\n",
        interim + after_interim + "\r\n"}) {
    for (const bool is_head : {false, true}) {
      for (std::size_t size = 0; size < head.size(); ++size) {
        AnswerReader reader(kMostBodyBytes);
        reader.Begin(is_head);
        std::size_t consumed = 0;
        const auto state = reader.Feed(head.substr(0, size), consumed);
        BOOST_REQUIRE((state == AnswerState::kNeedsMore));
        BOOST_TEST((reader.FeedEnd() == AnswerState::kFailed),
                   head.substr(0, size));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(EndsAnAnswerWithoutLengthWithTheConnection) {
  AnswerReader reader(kMostBodyBytes);
  reader.Begin(false);
  std::size_t consumed = 0;
  BOOST_TEST((reader.Feed("HTTP/1.1 200 OK\r\n\r\nall of it", consumed) ==
              AnswerState::kNeedsMore));
  BOOST_TEST((reader.FeedEnd() == AnswerState::kComplete));
  BOOST_TEST(reader.TakeAnswer().body == "all of it");
  BOOST_TEST(!reader.IsKeepAlive());
}

BOOST_AUTO_TEST_CASE(ExpectsNoBodyAfterHead) {
  AnswerReader reader(kMostBodyBytes);
  reader.Begin(true);
  std::size_t consumed = 0;
  BOOST_TEST((reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
                          consumed) == AnswerState::kComplete));
}

BOOST_AUTO_TEST_CASE(FailsAnAnswerWithBothFramings) {
  AnswerReader reader(kMostBodyBytes);
  reader.Begin(false);
  std::size_t consumed = 0;
  BOOST_TEST((reader.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                          "Content-Length: 2\r\n\r\n0\r\n\r\n",
                          consumed) == AnswerState::kFailed));
}

// Bytes that are no answer may come until the connection is closed.
BOOST_AUTO_TEST_CASE(FailsBytesWithoutEndInsideItsBounds) {
  constexpr std::size_t kMaxTaken = kMostBodyBytes + std::size_t{320} * 1024;
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> endless = {
      {"", "x"},
      {"", "\r\n"},
      {head, "X: y\r\n"},
      {head, " folded\r\n"},
      {head + "X: ", "y"},
      {head + "\r\n", "no length "},
      {head + "Content-Length: 99999999999\r\n\r\n", "a length that lies "},
      {chunked, "1\r\nx\r\n"},
      {chunked + "1;", "extension="},
      {chunked + "5", "0"},
      {chunked + "0\r\n", "Trailer: x\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 102 Processing\r\nX: " + std::string(20'000, 'y') +
               "\r\n\r\n"}};
  for (const auto& [beginning, repeated] : endless) {
    AnswerReader reader(kMostBodyBytes);
    reader.Begin(false);
    std::string waiting = beginning;
    std::size_t taken = 0;
    auto state = AnswerState::kNeedsMore;
    while (state == AnswerState::kNeedsMore && taken <= kMaxTaken) {
      std::string block;
      while (block.size() < 4096) block += repeated;
      taken += block.size();
      waiting += block;
      std::size_t consumed = 0;
      state = reader.Feed(waiting, consumed);
      waiting.erase(0, consumed);
    }
    BOOST_TEST(
        (state == AnswerState::kFailed || state == AnswerState::kTooLarge),
        beginning << repeated.substr(0, 40) << " after " << taken);
  }
}

BOOST_AUTO_TEST_CASE(SurvivesTenThousandMalformedInputs) {
  const std::vector<std::string> samples = {
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
      "HTTP/1.0 503 Busy\r\nBurdockwheel-Run: not-run\r\n\r\nrest"};
  std::mt19937_64 random(1);
  for (int input = 0; input < 10'000; ++input) {
    const auto bytes = testing::Mutate(samples, random);
    AnswerReader reader(kMostBodyBytes);
    reader.Begin(random() % 8 == 0);
    std::size_t consumed = 0;
    auto state = reader.Feed(bytes, consumed);
    BOOST_REQUIRE(consumed <= bytes.size());
    if (state == AnswerState::kNeedsMore) state = reader.FeedEnd();
    if (state != AnswerState::kComplete) continue;
    BOOST_REQUIRE(reader.TakeAnswer().body.size() <= kMostBodyBytes);
  }
}

// Guards against a worker in trouble whose bytes reach the caller as an answer.
// A status code is a three-digit number from 100 to 599 (RFC 9110, section 15).
BOOST_AUTO_TEST_CASE(FailsAStatusThatIsNone) {
  for (const std::string status :
       {"000", "001", "099", "600", "999", "1000", "20", "abc", "2x0", "-20"}) {
    for (const std::string framing :
         {"Content-Length: 2\r\n\r\nok",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "\r\nok"}) {
      std::string bytes = "HTTP/1.1 ";
      bytes.append(status).append(" Trouble\r\n").append(framing);
      BOOST_TEST(IsFailedInAnyParts(bytes), status);
    }
  }
}

// A field name is a token (RFC 9110, section 5.1), and a line that begins with
// a blank continues the one before, which a gateway may refuse (RFC 9112,
// section 5.2): what was meant for framing would become part of another field.
BOOST_AUTO_TEST_CASE(FailsAFieldNameWithABlankOrAControlByte) {
  std::string bytes_of_none = " \x7f";
  for (char control = 0; control < ' '; ++control) bytes_of_none += control;
  for (const char byte : bytes_of_none) {
    // An empty line ends the head.
    if (byte == '\r' || byte == '\n') continue;
    const std::string none(1, byte);
    for (const std::string& name :
         {none + "Content-Length", "Content" + none + "-Length",
          "Content-Length" + none, none, none + none + "X"}) {
      for (const std::string before : {"", "Etag: 3e1b\r\n", "Etag:\r\n"}) {
        for (const std::string after :
             {"\r\nok", "Content-Length: 2\r\n\r\nok",
              "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}) {
          std::string head = "HTTP/1.1 200 OK\r\n";
          head.append(before).append(name).append(": 1\r\n").append(after);
          BOOST_TEST(IsFailedInAnyParts(head), head);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(FailsALineWithoutNameInTheHead) {
  for (const std::string line :
       {" \r\n", "\t\r\n", " folded\r\n", ": 1\r\n", "X\r\n"}) {
    for (const std::string before : {"", "Etag: 3e1b\r\n"}) {
      std::string head = "HTTP/1.1 200 OK\r\n";
      head.append(before).append(line).append("Content-Length: 2\r\n\r\nok");
      BOOST_TEST(IsFailedInAnyParts(head), head);
    }
  }
}

// Each head is checked, whichever answers came before it.
BOOST_AUTO_TEST_CASE(FailsABrokenHeadAroundAnInterimAnswer) {
  const std::string sound = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  for (const std::string& bytes :
       {sound + "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nok",
        sound + sound + "HTTP/1.1 600 \r\n\r\nok",
        sound + "HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 2\r\n\r\nok",
        sound + "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 103 Early Hints\r\nX: y\r\n\tz\r\n\r\n" + answer,
        "HTTP/1.1 103 Early Hints\r\nX\x01: y\r\n\r\n" + answer})
    BOOST_TEST(IsFailedInAnyParts(bytes), bytes);
}

// The trailer section has the fields of a head (RFC 9112, section 7.1.2).
BOOST_AUTO_TEST_CASE(FailsABrokenTrailer) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string chunks : {"", "2\r\nok\r\n", "5\r\nx\r\n y\r\n"}) {
    for (const std::string trailer :
         {" X: y\r\n", "X: y\r\n Z: 1\r\n", "X: y\r\n\tZ\r\n", "X Y: z\r\n",
          "X : y\r\n", "X\x01: y\r\n", "X: y\r\n\x7f: z\r\n"}) {
      std::string bytes = head;
      bytes.append(chunks).append("0\r\n").append(trailer).append("\r\n");
      BOOST_TEST(IsFailedInAnyParts(bytes), bytes);
    }
  }
}

BOOST_AUTO_TEST_CASE(TakesLinesWithBlanksInABody) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  for (const std::string& bytes :
       {head + "Content-Length: 11\r\n\r\nx\r\n y\r\n\tz\r\n",
        head +
            "Transfer-Encoding: chunked\r\n\r\n4\r\nx\r\n \r\n7\r\ny\r\n\tz\r\n"
            "\r\n0\r\nX: y\r\n\r\n"}) {
    AnswerReader reader(kMostBodyBytes);
    reader.Begin(false);
    std::string unread;
    auto state = AnswerState::kNeedsMore;
    for (const char byte : bytes) state = Feed(reader, unread, {byte});
    BOOST_REQUIRE((state == AnswerState::kComplete));
    BOOST_TEST(reader.TakeAnswer().body == "x\r\n y\r\n\tz\r\n");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
