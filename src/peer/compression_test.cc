#include "peer/compression.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

namespace burdockwheel::peer {

BOOST_AUTO_TEST_SUITE(CompressionTest)

BOOST_AUTO_TEST_CASE(BringsBackWhatItTook) {
  constexpr std::size_t kMost = 100'000;
  for (const std::size_t size : {0U, 1U, 100U, 100'000U}) {
    const std::string bytes(size, 'x');
    const auto frame = Compress(bytes);
    BOOST_TEST(frame.size() <= 100U);
    BOOST_TEST((TryDecompress(frame, kMost) == bytes));
  }
  BOOST_TEST(!TryDecompress(Compress(std::string(kMost + 1, 'x')), kMost));
}

BOOST_AUTO_TEST_CASE(RefusesWhatIsNoFrame) {
  constexpr std::size_t kMost = 10'000;
  BOOST_TEST(!TryDecompress("", kMost));
  BOOST_TEST(!TryDecompress("no frame", kMost));
  const std::string sound = Compress(std::string(1000, 'y') + "tail");
  BOOST_TEST(!TryDecompress(sound.substr(0, sound.size() - 1), kMost));
  std::mt19937_64 random(7);
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = sound;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    const auto content = TryDecompress(bytes, kMost);
    if (content) BOOST_TEST(content->size() <= kMost);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::peer
