#include "stand_ins/platform/platform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "stand_ins/common/http_client.h"

namespace burdockwheel::stand_ins {
namespace {

using Tcp = boost::asio::ip::tcp;

BOOST_AUTO_TEST_SUITE(PlatformTest)

// Seed 43 of the fault soak: the stand-in ended with its watches.
BOOST_AUTO_TEST_CASE(OutlivesTheWatchesThatItCuts) {
  boost::asio::io_context context;
  Platform platform(context);
  const auto port = platform.TryListen("127.0.0.1:0");
  BOOST_TEST_REQUIRE(port.HasValue());
  std::thread server([&context] { context.run(); });
  const std::string address = "127.0.0.1:" + std::to_string(port.Value());
  boost::asio::io_context callers;
  for (int round = 0; round < 20; ++round) {
    Tcp::socket first(callers);
    Tcp::socket second(callers);
    for (Tcp::socket* socket : {&first, &second}) {
      socket->connect({boost::asio::ip::address_v4::loopback(), port.Value()});
      boost::asio::write(
          *socket, boost::asio::buffer(std::string(
                       "GET /kv-watch?prefix=&after=100&wait_ms=9000 HTTP/1.1"
                       "\r\nHost: store\r\n\r\n")));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    const auto cut =
        TryHttpRequest(address, "POST", "/control", R"({"compact": true})");
    BOOST_TEST(cut.HasValue());
  }
  BOOST_TEST(TryHttpRequest(address, "GET", "/counts").HasValue());
  context.stop();
  server.join();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace burdockwheel::stand_ins
