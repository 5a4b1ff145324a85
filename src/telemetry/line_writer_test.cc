#include "telemetry/line_writer.h"

#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace burdockwheel::telemetry {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

BOOST_AUTO_TEST_SUITE(LineWriterTest)

struct Pipe {
  Pipe() { BOOST_REQUIRE(::pipe(this->ends.data()) == 0); }
  ~Pipe() {
    ::close(this->ends[0]);
    ::close(this->ends[1]);
  }

  std::string ReadSome() const {
    std::array<char, 4096> buffer{};
    const auto size = ::read(this->ends[0], buffer.data(), buffer.size());
    return {buffer.data(), static_cast<std::size_t>(size)};
  }

  std::array<int, 2> ends{};
};

BOOST_AUTO_TEST_CASE(LinesComeOutInOrder) {
  const Pipe pipe;
  {
    LineWriter writer(pipe.ends[1]);
    writer.Append("first");
    writer.Append("second");
  }
  BOOST_TEST(pipe.ReadSome() == "first\nsecond\n");
}

BOOST_AUTO_TEST_CASE(APipeThatNobodyReadsHoldsUpNobodyAndIsCounted) {
  const Pipe pipe;
  auto writer = std::make_unique<LineWriter>(pipe.ends[1]);
  const std::string line(1000, 'x');
  auto longest = steady_clock::duration::zero();
  for (int number = 0; number < 20'000; ++number) {
    const auto start = steady_clock::now();
    writer->Append(line);
    longest = std::max(longest, steady_clock::now() - start);
  }
  // A blocked writer would wait for ever; the bound allows for a busy machine.
  BOOST_TEST((longest < milliseconds(500)));
  BOOST_TEST(writer->Dropped() > 19'000U);
  const auto stop = steady_clock::now();
  writer.reset();
  BOOST_TEST((steady_clock::now() - stop < milliseconds(1500)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::telemetry
