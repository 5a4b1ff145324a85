// The bounded rings that join the threads of a host.
#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace burdockwheel::kernel {

// Carries messages from one producer thread to one consumer thread. A full ring
// refuses the message and counts it; it never blocks the producer.
template <typename Message>
class BoundedRing {
 public:
  // `wake_consumer` is called on the producer's thread after each accepted
  // message.
  BoundedRing(std::size_t capacity, std::function<void()> wake_consumer)
      : queue(capacity), wake_consumer(std::move(wake_consumer)) {}

  // Returns false if the ring is full; the message is then dropped and counted.
  [[nodiscard]] bool TryPush(Message message) {
    if (!this->queue.push(std::move(message))) {
      this->dropped.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    this->wake_consumer();
    return true;
  }

  // Calls `handle` with each waiting message and returns their number. Consumer
  // thread only.
  template <typename Handler>
  std::size_t Drain(Handler&& handle) {
    std::size_t handled = 0;
    Message message;
    while (this->queue.pop(message)) {
      handle(std::move(message));
      ++handled;
    }
    return handled;
  }

  std::uint64_t DroppedCount() const {
    return this->dropped.load(std::memory_order_relaxed);
  }

 private:
  boost::lockfree::spsc_queue<Message> queue;
  std::function<void()> wake_consumer;
  std::atomic<std::uint64_t> dropped{0};
};

}  // namespace burdockwheel::kernel
