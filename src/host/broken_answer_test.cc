// What callers get of answers that their workers have not sent whole.
#include <boost/asio/connect.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "host/serving_host_fixture_test.h"
#include "http/ip_address.h"
#include "http/loopback_fixture_test.h"
#include "http/staged_worker_test.h"

namespace burdockwheel::host {

namespace {

using http::testing::StagedWorker;
using http::testing::Tcp;
using Ending = StagedWorker::Ending;

// More than the buffers of all sockets on the way hold.
constexpr std::size_t kUploadBytes = std::size_t{24} << 20U;

constexpr const char* kDocument = R"({"version": 1, "most_entry_hosts": 25,
  "caller_limits": {"body_bytes": 33554432},
  "services": [{"service": "bookings", "worker": {"connections": 25},
    "calls": [{"name": "book", "method": "POST", "path": "/bookings",
      "idempotent": false, "key": "optional", "deadline_ms": 60000}]}]})";

// Sends an upload through a host to a worker that answers it so, and returns
// what the caller receives until its connection ends.
std::string Upload(const std::vector<std::string>& parts, Ending ending) {
  const StagedWorker worker(parts, std::chrono::milliseconds(20), ending);
  const auto address = worker.Address();
  settings::HostSettings settings;
  settings.most_body_bytes = kUploadBytes;
  settings.stop = {std::chrono::milliseconds(10),
                   std::chrono::milliseconds(10)};
  testing::ServingHost host(settings, kDocument,
                            {{.id = {address.value},
                              .address = address,
                              .service = {"bookings"},
                              .failure_domain = {"fd-1"}}});
  boost::asio::io_context context;
  Tcp::socket caller(context);
  caller.connect(*http::ParseEndpointOrNull(host.Address()));
  http::testing::LimitWaiting(caller);
  boost::system::error_code error;
  boost::asio::write(
      caller,
      boost::asio::buffer("POST /bookings HTTP/1.1\r\nHost: h\r\n"
                          "Connection: close\r\nContent-Length: " +
                          std::to_string(kUploadBytes) + "\r\n\r\n" +
                          std::string(kUploadBytes, 'u')),
      error);
  BOOST_TEST(!error);
  auto received = http::testing::ReadToEnd(caller);
  host.BeginStop();
  return received;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(BrokenAnswerTest)

BOOST_AUTO_TEST_CASE(CallersGetNoPartOfAnAnswerThatWasReset) {
  const auto received =
      Upload({"HTTP/1.1 200 OK\r\n\r\n", "part of it"}, Ending::kReset);
  BOOST_TEST(received.starts_with("HTTP/1.1 502 "), received);
  BOOST_TEST(received.find("part of it") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(CallersGetNoAnswerWithAFoldedLine) {
  const auto received = Upload(
      {"HTTP/1.1 200 OK\r\nEtag: 3e1b\r\n", " Content-Length: 2\r\n\r\n", "ok"},
      Ending::kClose);
  BOOST_TEST(received.starts_with("HTTP/1.1 502 "), received);
}

BOOST_AUTO_TEST_CASE(CallersGetAnEarlyAnswerThatTheWorkerHasEnded) {
  const auto received =
      Upload({"HTTP/1.1 200 OK\r\n\r\n", "all of it"}, Ending::kCloseThenReset);
  BOOST_TEST(received.starts_with("HTTP/1.1 200 "), received);
  BOOST_TEST(received.ends_with("\r\n\r\nall of it"), received);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::host
