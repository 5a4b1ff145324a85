#include "http/buffer_release.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::http {

BOOST_AUTO_TEST_SUITE(BufferReleaseTest)

// Guards against a large answer being kept for as long as its connection.
BOOST_AUTO_TEST_CASE(GivesTheMemoryOfALargeBufferBack) {
  std::string large(std::size_t{8} << 20U, 'a');
  ReleaseBuffer(large);
  BOOST_TEST(large.empty());
  BOOST_TEST(large.capacity() <= kMostKeptBytes);
  std::string small(kMostKeptBytes / 2, 'a');
  const auto capacity = small.capacity();
  ReleaseBuffer(small);
  BOOST_TEST(small.empty());
  BOOST_TEST(small.capacity() == capacity);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
