// Accepts the connections of callers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <vector>

#include "http/caller_session.h"
#include "kernel/lifetime.h"
#include "kernel/result.h"

namespace burdockwheel::http {

enum class ListenFailure { kAddressInvalid, kAddressInUse, kNotPermitted };

// Serves HTTP/1.1 on one address. All of it runs on the io_context's thread.
class CallerListener {
 public:
  CallerListener(boost::asio::io_context& context, const SessionLimits& limits,
                 std::size_t most_sessions, SessionHooks hooks);
  // Closes the sessions, which refer to this object.
  ~CallerListener();
  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  // Opens the address, such as "127.0.0.1:8001", and begins to accept.
  kernel::Result<std::monostate, ListenFailure> TryListen(
      const std::string& address);

  // Takes other limits, for the connections that are open as well.
  void SetLimits(const SessionLimits& limits) { this->limits = limits; }

  // Lets the next answer on each connection, those accepted later included, be
  // its last.
  void AnnounceClose();

  // Accepts no further connections and ends those that are idle; the others
  // end after their present answer.
  void CloseWhenIdle();

  std::size_t SessionCount() const { return this->sessions.size(); }

 private:
  void Accept();
  void OnAcceptFailed();
  void OnAccepted(boost::asio::ip::tcp::socket socket);
  void SweepLater();
  void Sweep();

  boost::asio::io_context& context;
  SessionLimits limits;
  std::size_t most_sessions;
  SessionHooks hooks;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer sweep_timer;
  std::vector<std::shared_ptr<CallerSession>> sessions;
  bool is_close_announced = false;
  bool is_closing = false;
  kernel::Lifetime lifetime;
};

}  // namespace burdockwheel::http
