// A worker that writes its answer in parts and then ends the connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http/connection_ending_test.h"
#include "http/loopback_fixture_test.h"
#include "model/identifiers.h"

namespace burdockwheel::http::testing {

// Serves one connection, on a thread of its own with blocking sockets. Of the
// request that it answers in parts it reads the head only, so that a long body
// is still being written when the connection ends.
class StagedWorker {
 public:
  // After kClose, what arrives is read to its end.
  using Ending = ConnectionEnding;

  struct Plan {
    std::vector<std::string> parts;
    // Before each part and before the end.
    std::chrono::milliseconds pause{0};
    Ending ending = Ending::kClose;
    // The connection's first request is answered whole, the next one in parts.
    bool is_kept = false;
    // Each is called on the worker's thread, if set.
    std::function<void()> before_parts;
    std::function<void()> after_end;
  };

  StagedWorker(std::vector<std::string> parts, std::chrono::milliseconds pause,
               Ending ending, bool is_kept = false)
      : StagedWorker(
            Plan{std::move(parts), pause, ending, is_kept, nullptr, nullptr}) {}

  explicit StagedWorker(Plan plan)
      : plan(std::move(plan)),
        acceptor(this->context,
                 Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        thread([this] { this->Serve(); }) {}

  StagedWorker(const StagedWorker&) = delete;
  StagedWorker& operator=(const StagedWorker&) = delete;

  // Precondition: a connection was opened, since the thread waits for it.
  ~StagedWorker() { this->thread.join(); }

  model::WorkerAddress Address() const {
    return {"127.0.0.1:" +
            std::to_string(this->acceptor.local_endpoint().port())};
  }

 private:
  void Serve() {
    Tcp::socket socket(this->context);
    boost::system::error_code error;
    this->acceptor.accept(socket, error);
    if (error) return;
    socket.set_option(Tcp::no_delay(true), error);
    LimitWaiting(socket);
    if (this->plan.is_kept) {
      ReadHead(socket);
      Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst");
    }
    ReadHead(socket);
    if (this->plan.before_parts) this->plan.before_parts();
    for (const auto& part : this->plan.parts) {
      std::this_thread::sleep_for(this->plan.pause);
      Write(socket, part);
    }
    std::this_thread::sleep_for(this->plan.pause);
    this->End(socket);
  }

  void End(Tcp::socket& socket) const {
    EndConnection(socket, this->plan.ending);
    if (this->plan.after_end) this->plan.after_end();
    if (this->plan.ending == Ending::kClose) ReadToEnd(socket);
  }

  // Reads byte by byte, so that all of the body stays in the socket.
  static void ReadHead(Tcp::socket& socket) {
    std::string head;
    while (!head.ends_with("\r\n\r\n")) {
      const auto byte = ReadExactly(socket, 1);
      if (byte.empty()) return;
      head += byte;
    }
  }

  static void Write(Tcp::socket& socket, const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  }

  Plan plan;
  boost::asio::io_context context;
  Tcp::acceptor acceptor;
  std::thread thread;
};

}  // namespace burdockwheel::http::testing
