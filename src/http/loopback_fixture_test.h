// An io_context on a thread of its own, for tests over loopback.
#pragma once

#include <sys/socket.h>
#include <sys/time.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>

namespace burdockwheel::http::testing {

using Tcp = boost::asio::ip::tcp;

// Ends blocked reads and writes of the tests' own sockets.
inline constexpr std::chrono::seconds kSocketTimeout{10};

inline void LimitWaiting(Tcp::socket& socket,
                         std::chrono::microseconds limit = kSocketTimeout) {
  constexpr std::chrono::microseconds kSecond = std::chrono::seconds(1);
  timeval timeout{};
  timeout.tv_sec = limit / kSecond;
  timeout.tv_usec = (limit % kSecond).count();
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
             sizeof(timeout));
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &timeout,
             sizeof(timeout));
}

// Runs an io_context until the fixture ends.
class LoopbackFixture {
 public:
  LoopbackFixture()
      : work(boost::asio::make_work_guard(this->context)),
        thread([this] { this->context.run(); }) {}

  ~LoopbackFixture() {
    this->context.stop();
    this->thread.join();
  }

  LoopbackFixture(const LoopbackFixture&) = delete;
  LoopbackFixture& operator=(const LoopbackFixture&) = delete;

  // Runs the function on the fixture's thread and waits for its end.
  void OnThread(const std::function<void()>& function) {
    std::promise<void> done;
    boost::asio::post(this->context, [&function, &done] {
      function();
      done.set_value();
    });
    done.get_future().get();
  }

  boost::asio::io_context context;

 private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::thread thread;
};

// Returns a port that was free a moment ago.
inline std::string FreeAddress() {
  boost::asio::io_context context;
  Tcp::acceptor acceptor(
      context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// Reads what arrives until the end of the connection or the time-out.
inline std::string ReadToEnd(Tcp::socket& socket) {
  std::string received;
  char buffer[4096];
  while (true) {
    const auto size = recv(socket.native_handle(), buffer, sizeof(buffer), 0);
    if (size <= 0) return received;
    received.append(buffer, static_cast<std::size_t>(size));
  }
}

// Reads until `expected` bytes are there or the connection ends.
inline std::string ReadExactly(Tcp::socket& socket, std::size_t expected) {
  std::string received(expected, '\0');
  boost::system::error_code error;
  const auto size =
      boost::asio::read(socket, boost::asio::buffer(received), error);
  received.resize(size);
  return received;
}

}  // namespace burdockwheel::http::testing
