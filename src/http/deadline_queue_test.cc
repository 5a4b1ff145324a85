#include "http/deadline_queue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

namespace burdockwheel::http {

BOOST_AUTO_TEST_SUITE(DeadlineQueueTest)

BOOST_AUTO_TEST_CASE(CallsInTheOrderOfTheDeadlines) {
  boost::asio::io_context context;
  DeadlineQueue deadlines(context);
  const auto now = std::chrono::steady_clock::now();
  std::vector<int> called;
  deadlines.Add(now + std::chrono::milliseconds(2),
                [&called] { called.push_back(2); });
  const auto cancelled = deadlines.Add(now + std::chrono::milliseconds(1),
                                       [&called] { called.push_back(0); });
  deadlines.Add(now + std::chrono::milliseconds(1),
                [&called] { called.push_back(1); });
  deadlines.Cancel(cancelled);
  context.run();
  BOOST_TEST((called == std::vector<int>{1, 2}));
}

// The timer may have expired, and its handler wait, when the queue ends.
BOOST_AUTO_TEST_CASE(EndsWhileAnExpiredDeadlineWaits) {
  boost::asio::io_context context;
  auto deadlines = std::make_unique<DeadlineQueue>(context);
  const auto now = std::chrono::steady_clock::now();
  boost::asio::steady_timer earlier(context, now);
  earlier.async_wait(
      [&deadlines](const boost::system::error_code&) { deadlines.reset(); });
  bool is_called = false;
  deadlines->Add(now + std::chrono::milliseconds(1),
                 [&is_called] { is_called = true; });
  std::this_thread::sleep_until(now + std::chrono::milliseconds(2));
  context.run();
  BOOST_TEST(!is_called);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
