#include "http/hop_by_hop.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::http {

BOOST_AUTO_TEST_SUITE(HopByHopTest)

BOOST_AUTO_TEST_CASE(RemovesWhatConnectionNames) {
  std::vector<Header> headers = {{"Connection", "close, X-Trace"},
                                 {"x-trace", "1"},
                                 {"Keep-Alive", "timeout=5"},
                                 {"Accept", "text/plain"}};
  RemoveHopByHopHeaders(headers);
  BOOST_REQUIRE(headers.size() == 1U);
  BOOST_TEST(headers[0].name == "Accept");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
