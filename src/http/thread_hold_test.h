// A pause of an event loop, for tests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>

namespace burdockwheel::http::testing {

// Holds a thread that runs an io_context.
class ThreadHold {
 public:
  explicit ThreadHold(boost::asio::io_context& context) : context(context) {}

  // Returns once the thread is held.
  void Begin() {
    boost::asio::post(this->context, [this] {
      this->has_begun.set_value();
      this->is_over.get_future().wait();
    });
    this->has_begun.get_future().wait();
  }

  void End() { this->is_over.set_value(); }

 private:
  boost::asio::io_context& context;
  std::promise<void> has_begun;
  std::promise<void> is_over;
};

}  // namespace burdockwheel::http::testing
