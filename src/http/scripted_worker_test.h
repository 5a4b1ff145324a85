// A worker that a test scripts, over loopback.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "http/loopback_fixture_test.h"
#include "model/identifiers.h"

namespace burdockwheel::http::testing {

// A worker that answers each connection's requests with given bytes. Runs on a
// thread of its own with blocking sockets.
class ScriptedWorker {
 public:
  // Returns the bytes to answer a request with; the connection is then closed
  // if `is_last` was set.
  using Script =
      std::function<std::string(const std::string& request, bool& is_last)>;

  // How the worker closes a connection.
  enum class Ending { kOrderly, kReset };

  // `on_connection`, if any, is called before the first request of each
  // connection.
  explicit ScriptedWorker(Script script,
                          std::function<void()> on_connection = nullptr,
                          Ending ending = Ending::kOrderly)
      : script(std::move(script)),
        on_connection(std::move(on_connection)),
        ending(ending),
        acceptor(this->context,
                 Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        thread([this] { this->Serve(); }) {}

  ~ScriptedWorker() {
    this->is_ending = true;
    boost::system::error_code ignored;
    Tcp::socket waker(this->context);
    waker.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
  }

  model::WorkerAddress Address() const {
    return {"127.0.0.1:" +
            std::to_string(this->acceptor.local_endpoint().port())};
  }

 private:
  void Serve() {
    while (!this->is_ending) {
      Tcp::socket socket(this->context);
      boost::system::error_code error;
      this->acceptor.accept(socket, error);
      if (error || this->is_ending) return;
      LimitWaiting(socket, std::chrono::milliseconds(20));
      this->ServeConnection(socket);
      if (this->ending == Ending::kOrderly) continue;
      // What was written arrives before the reset.
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      socket.set_option(Tcp::socket::linger(true, 0), error);
    }
  }

  void ServeConnection(Tcp::socket& socket) {
    if (this->on_connection) this->on_connection();
    char buffer[4096];
    bool is_last = false;
    while (!is_last) {
      const auto size = recv(socket.native_handle(), buffer, sizeof(buffer), 0);
      const bool is_timeout = size < 0 && errno == EAGAIN;
      if (is_timeout && !this->is_ending) continue;
      if (size <= 0) return;
      const auto answer = this->script(
          std::string(buffer, static_cast<std::size_t>(size)), is_last);
      boost::system::error_code ignored;
      boost::asio::write(socket, boost::asio::buffer(answer), ignored);
    }
  }

  Script script;
  std::function<void()> on_connection;
  Ending ending;
  boost::asio::io_context context;
  Tcp::acceptor acceptor;
  std::atomic<bool> is_ending{false};
  std::thread thread;
};

}  // namespace burdockwheel::http::testing
