// A client that keeps its channel, as PROTOCOL.md describes them.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace burdockwheel::review {

struct CallerOptions {
  std::string name;  // the first part of its request ids
  std::string method = "GET";
  std::string host;
  std::string path;
  std::string body;
  std::string first_path;  // read by the first request; empty: as the others
  std::chrono::milliseconds deadline{800};
  std::chrono::milliseconds pause{50};  // between two requests
  // Of the receive buffer and the segments; zero: as the system has them.
  int receive_buffer = 0;
  int segment_bytes = 0;
  // How many bytes are read at a time, and the pause between two reads.
  std::size_t read_bytes = 65536;
  std::chrono::milliseconds read_pause{0};
};

// What became of one request.
struct CallEnd {
  std::string request_id;
  int status = 0;         // 0: none
  bool is_whole = false;  // a whole answer came
  bool is_late = false;   // the client left at its time limit
  std::size_t bytes = 0;  // that came
  bool is_kept = false;   // it was not the first on its channel
};

// Sends one request after the other until it is stopped.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  using Hook = std::function<void(const std::string& request_id)>;
  using EndHook = std::function<void(const CallEnd& end)>;

  Caller(boost::asio::io_context& context, CallerOptions options,
         std::uint16_t port, Hook on_sent, EndHook on_end);

  void Start();
  // Sends nothing more; the request under way goes on.
  void Stop() { this->is_stopped = true; }
  bool IsIdle() const { return !this->is_waiting; }

 private:
  void Next();
  void Connect();
  void Send();
  void Read();
  void OnBytes();
  void End(const CallEnd& end);
  void Drop();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer pause_timer;
  boost::asio::steady_timer deadline_timer;
  CallerOptions options;
  std::uint16_t port;
  Hook on_sent;
  EndHook on_end;
  std::string request_id;
  std::string bytes;
  std::string outgoing;
  std::array<char, 65536> chunk{};
  std::uint64_t count = 0;
  std::uint64_t connection = 0;  // of the operations under way
  int sent_on_connection = 0;
  bool is_connected = false;
  bool is_waiting = false;
  bool is_stopped = false;
};

}  // namespace burdockwheel::review
