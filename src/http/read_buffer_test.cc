#include "http/read_buffer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstring>
#include <random>
#include <string>

namespace burdockwheel::http {

namespace {

void Fill(const boost::asio::mutable_buffer& room, const std::string& bytes) {
  std::memcpy(room.data(), bytes.data(), bytes.size());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ReadBufferTest)

// Guards against a pipelined request that is parsed twice: its bytes are
// consumed while the read behind them is outstanding.
BOOST_AUTO_TEST_CASE(KeepsTheRoomOfAnOutstandingReadWhileBytesAreConsumed) {
  ReadBuffer buffer;
  Fill(buffer.Prepare(8), "first");
  buffer.Commit(5);
  const auto room = buffer.Prepare(8);
  buffer.Consume(5);
  Fill(room, "second");
  buffer.Commit(6);
  BOOST_TEST(buffer.View() == "second");
}

// Reads, commits and consumes in random order; a string is the reference.
BOOST_AUTO_TEST_CASE(HoldsWhatWasReadAndNotConsumed) {
  std::mt19937_64 random(11);
  const auto draw = [&random](std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(0, most)(random);
  };
  ReadBuffer buffer;
  std::string reference;
  char next = 'a';
  for (int round = 0; round < 20'000; ++round) {
    const auto room = buffer.Prepare(1 + draw(40));
    for (auto steps = draw(3); steps > 0; --steps) {
      const auto size = draw(reference.size());
      buffer.Consume(size);
      reference.erase(0, size);
      BOOST_REQUIRE(buffer.View() == reference);
    }
    const std::string bytes(draw(std::min<std::size_t>(room.size(), 40)), next);
    next = next == 'z' ? 'a' : static_cast<char>(next + 1);
    Fill(room, bytes);
    buffer.Commit(bytes.size());
    reference += bytes;
    BOOST_REQUIRE(buffer.View() == reference);
    BOOST_REQUIRE(buffer.Size() == reference.size());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
