#include "http/caller_listener.h"

#include <chrono>
#include <utility>

#include "http/ip_address.h"

namespace burdockwheel::http {

namespace {

constexpr std::chrono::milliseconds kSweepPeriod{500};
constexpr std::chrono::milliseconds kClosingSweepPeriod{20};
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

CallerListener::CallerListener(boost::asio::io_context& context,
                               const SessionLimits& limits,
                               std::size_t most_sessions, SessionHooks hooks)
    : context(context),
      limits(limits),
      most_sessions(most_sessions),
      hooks(std::move(hooks)),
      acceptor(context),
      sweep_timer(context) {}

CallerListener::~CallerListener() {
  for (const auto& session : this->sessions) session->EndWithListener();
}

kernel::Result<std::monostate, ListenFailure> CallerListener::TryListen(
    const std::string& address) {
  const auto endpoint = ParseEndpointOrNull(address);
  if (!endpoint) return ListenFailure::kAddressInvalid;
  boost::system::error_code error;
  this->acceptor.open(endpoint->protocol(), error);
  if (error) return ListenFailure::kNotPermitted;
  this->acceptor.set_option(boost::asio::socket_base::reuse_address(true),
                            error);
  this->acceptor.bind(*endpoint, error);
  if (error == boost::asio::error::address_in_use) {
    return ListenFailure::kAddressInUse;
  }
  if (error) return ListenFailure::kNotPermitted;
  this->acceptor.listen(boost::asio::socket_base::max_listen_connections,
                        error);
  if (error) return ListenFailure::kAddressInUse;
  this->Accept();
  this->SweepLater();
  return std::monostate();
}

void CallerListener::AnnounceClose() {
  this->is_close_announced = true;
  for (const auto& session : this->sessions) session->AnnounceClose();
}

void CallerListener::CloseWhenIdle() {
  this->is_closing = true;
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  this->Sweep();
}

void CallerListener::Accept() {
  this->acceptor.async_accept(
      this->lifetime.Guard([this](const boost::system::error_code& error,
                                  boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) return;
        if (this->is_closing) return;
        if (!error) {
          this->OnAccepted(std::move(socket));
          this->Accept();
          return;
        }
        this->OnAcceptFailed();
      }));
}

// Out of file descriptors, most likely: accept again a little later.
void CallerListener::OnAcceptFailed() {
  if (this->hooks.on_rejected) this->hooks.on_rejected("", 0);
  auto timer = std::make_shared<boost::asio::steady_timer>(this->context);
  timer->expires_after(kAcceptRetryDelay);
  timer->async_wait(this->lifetime.Guard(
      [this, timer](const boost::system::error_code& failed) {
        if (!failed && !this->is_closing) this->Accept();
      }));
}

void CallerListener::OnAccepted(boost::asio::ip::tcp::socket socket) {
  // A connection beyond the bound is closed at once: nothing of it was run.
  if (this->sessions.size() >= this->most_sessions) {
    if (this->hooks.on_rejected) this->hooks.on_rejected("", 0);
    return;
  }
  auto session = std::make_shared<CallerSession>(std::move(socket),
                                                 this->limits, this->hooks);
  if (this->is_close_announced) session->AnnounceClose();
  this->sessions.push_back(session);
  session->Start(std::chrono::steady_clock::now());
}

void CallerListener::SweepLater() {
  this->sweep_timer.expires_after(this->is_closing ? kClosingSweepPeriod
                                                   : kSweepPeriod);
  this->sweep_timer.async_wait(
      this->lifetime.Guard([this](const boost::system::error_code& error) {
        if (!error) this->Sweep();
      }));
}

void CallerListener::Sweep() {
  const auto now = std::chrono::steady_clock::now();
  for (const auto& session : this->sessions) {
    session->CloseIfOverdue(now);
    if (this->is_closing) session->CloseWhenIdle();
  }
  std::erase_if(this->sessions,
                [](const auto& session) { return session->IsClosed(); });
  this->SweepLater();
}

}  // namespace burdockwheel::http
