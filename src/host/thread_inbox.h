// The way by which one thread of a host hands messages to another.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

#include "kernel/bounded_ring.h"

namespace burdockwheel::host {

// A bounded ring whose messages are handled on the thread of an io_context.
// One thread pushes.
template <typename Message>
class ThreadInbox {
 public:
  using Handler = std::function<void(Message)>;

  ThreadInbox(std::size_t capacity, boost::asio::io_context& context,
              Handler handler)
      : context(context),
        handler(std::move(handler)),
        ring(capacity, [this] { this->WakeConsumer(); }) {}

  // Returns false if the ring is full; the message is then dropped and counted.
  [[nodiscard]] bool TryPush(Message message) {
    return this->ring.TryPush(std::move(message));
  }

  std::uint64_t DroppedCount() const { return this->ring.DroppedCount(); }

 private:
  // One wake-up serves all messages that are there when it is handled.
  void WakeConsumer() {
    if (this->is_woken.exchange(true)) return;
    boost::asio::post(this->context, [this] {
      this->is_woken.store(false);
      this->ring.Drain(this->handler);
    });
  }

  boost::asio::io_context& context;
  Handler handler;
  std::atomic<bool> is_woken{false};
  kernel::BoundedRing<Message> ring;
};

}  // namespace burdockwheel::host
