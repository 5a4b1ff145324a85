#include "stand_ins/soak/stream_relay.h"

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <chrono>
#include <memory>
#include <string>

#include "http/ip_address.h"
#include "http/loopback_fixture_test.h"
#include "http/staged_worker_test.h"

namespace burdockwheel::stand_ins {
namespace {

using http::testing::StagedWorker;
using http::testing::Tcp;
using Ending = StagedWorker::Ending;

constexpr std::chrono::milliseconds kPause{20};

struct Received {
  std::string bytes;
  bool is_reset = false;
};

Received ReadToEnd(Tcp::socket& socket) {
  Received received;
  char buffer[4096];
  while (true) {
    const auto size = recv(socket.native_handle(), buffer, sizeof(buffer), 0);
    received.is_reset = size < 0 && errno == ECONNRESET;
    if (size <= 0) return received;
    received.bytes.append(buffer, static_cast<std::size_t>(size));
  }
}

struct RelayFixture : public http::testing::LoopbackFixture {
  // Sends the request to a worker behind a relay.
  Received Send(const std::string& request, Ending ending) {
    const StagedWorker worker({"part ", "of it"}, kPause, ending);
    const auto address = http::testing::FreeAddress();
    std::unique_ptr<StreamRelay> relay;
    this->OnThread([&] {
      relay = std::make_unique<StreamRelay>(this->context, address,
                                            worker.Address().value);
    });
    Tcp::socket caller(this->context);
    caller.connect(*http::ParseEndpointOrNull(address));
    http::testing::LimitWaiting(caller);
    boost::system::error_code ignored;
    boost::asio::write(caller, boost::asio::buffer(request), ignored);
    auto received = ReadToEnd(caller);
    this->OnThread([&relay] { relay.reset(); });
    return received;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StreamRelayTest, RelayFixture)

BOOST_AUTO_TEST_CASE(PassesAResetOn) {
  const auto received = this->Send("GET / HTTP/1.1\r\n\r\n", Ending::kReset);
  BOOST_TEST(received.bytes == "part of it");
  BOOST_TEST(received.is_reset);
}

BOOST_AUTO_TEST_CASE(PassesACloseOn) {
  const auto received = this->Send("GET / HTTP/1.1\r\n\r\n", Ending::kClose);
  BOOST_TEST(received.bytes == "part of it");
  BOOST_TEST(!received.is_reset);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
