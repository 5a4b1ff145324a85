// Runs the platform stand-in until it is told to stop.
#include <utility>
// Boost 1.74's asio/awaitable.hpp lacks this include.
#include <docopt/docopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <string>

#include "stand_ins/platform/platform.h"

namespace {

constexpr char kUsage[] =
    R"(The platform for tests: a metadata store that can be read and watched.

Usage:
  platform_stand_in --listen=ADDRESS
  platform_stand_in --help

Options:
  --listen=ADDRESS    IP number and port, such as 127.0.0.1:9000.
)";

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, docopt::value> options =
      docopt::docopt(kUsage, {argv + 1, argv + argc});
  boost::asio::io_context context(1);
  burdockwheel::stand_ins::Platform platform(context);
  const std::string address = options.at("--listen").asString();
  if (!platform.TryListen(address).HasValue()) {
    std::cerr << "platform_stand_in: cannot listen at " << address << '\n';
    return 1;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
  return 0;
}
