// Reads and watches what the platform publishes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "http/deadline_queue.h"
#include "http/worker_pool.h"
#include "kernel/result.h"

namespace burdockwheel::platform {

enum class PlatformFailure {
  kUnreachable,  // no whole answer came in time
  kRefused,      // an answer other than 200 or 204
  kMalformed,    // an answer without its version
};

// A value that the platform published.
struct PublishedValue {
  std::uint64_t version = 0;
  std::string text;
  bool is_unchanged = false;  // nothing newer than was asked for; no text
};

// Speaks to the platform by HTTP. Runs on the io_context's thread.
class PlatformClient {
 public:
  using Handler =
      std::function<void(kernel::Result<PublishedValue, PlatformFailure>)>;

  PlatformClient(boost::asio::io_context& context,
                 http::DeadlineQueue& deadlines);

  // Reads the published configuration at `address` once something newer than
  // version `after` is there, or says after `wait` that there is nothing. A
  // wait of zero reads at once.
  void ReadConfiguration(const std::string& address, std::uint64_t after,
                         std::chrono::milliseconds wait, Handler handler);

  // The same for the list of hosts and its generation.
  void ReadHosts(const std::string& address, std::uint64_t after,
                 std::chrono::milliseconds wait, Handler handler);

 private:
  void Read(const std::string& address, const std::string& path,
            const char* version_header, std::uint64_t after,
            std::chrono::milliseconds wait, Handler handler);

  http::WorkerPool pool;
  model::AttemptId last_attempt;
};

}  // namespace burdockwheel::platform
