// Many deadlines on one timer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>

#include "kernel/instant.h"
#include "kernel/lifetime.h"

namespace burdockwheel::http {

// Calls a function at a time unless it is cancelled before. Runs on the
// io_context's thread.
class DeadlineQueue {
 public:
  using Function = std::function<void()>;
  using Handle = std::multimap<kernel::Instant, Function>::iterator;

  explicit DeadlineQueue(boost::asio::io_context& context);

  Handle Add(kernel::Instant time, Function function);

  // Precondition: the function has not been called yet.
  void Cancel(Handle handle);

 private:
  void Arm();
  void CallExpired();

  boost::asio::steady_timer timer;
  kernel::Instant armed_for = kernel::Instant::max();
  std::multimap<kernel::Instant, Function> functions;
  kernel::Lifetime lifetime;
};

}  // namespace burdockwheel::http
