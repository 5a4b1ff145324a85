// Runs one worker stand-in until it is told to stop.
#include <utility>
// Boost 1.74's asio/awaitable.hpp lacks this include.
#include <docopt/docopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <map>
#include <string>

#include "stand_ins/worker/worker.h"

namespace {

using burdockwheel::stand_ins::ServiceTimeShapeOrNull;
using burdockwheel::stand_ins::Worker;
using burdockwheel::stand_ins::WorkerSettings;

constexpr char kUsage[] =
    R"(A worker for tests: slots, a bounded queue and drawn service times.

Usage:
  worker_stand_in --listen=ADDRESS [options]
  worker_stand_in --help

Options:
  --listen=ADDRESS    IP number and port, such as 127.0.0.1:9001.
  --slots=N           Calls that run at the same time [default: 6].
  --queue=N           Calls that may wait for a slot [default: 64].
  --mean-ms=MS        Mean service time in ms [default: 10].
  --law=NAME          constant, exponential or lognormal [default: exponential].
  --seed=N            Seed of all that is drawn [default: 1].
  --silent-when-full  Calls without a place get no answer at all.
  --pause-ms=MS       Refusals ask not to be called for so long [default: 0].
  --cold-ms=MS        Length of the cold start in ms [default: 0].
  --cold-factor=F     Slowness at the begin of the cold start [default: 10].

SIGTERM drains: new calls are refused, and the worker ends with the last call.
)";

std::chrono::microseconds Microseconds(const std::string& milliseconds) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::duration<double, std::milli>(std::stod(milliseconds)));
}

int Run(const std::map<std::string, docopt::value>& options) {
  WorkerSettings settings;
  settings.controls.slots = std::stoi(options.at("--slots").asString());
  settings.controls.most_queued = std::stoi(options.at("--queue").asString());
  settings.controls.mean_service_time =
      Microseconds(options.at("--mean-ms").asString());
  settings.controls.is_silent_when_full =
      options.at("--silent-when-full").asBool();
  settings.controls.pause = std::chrono::ceil<std::chrono::milliseconds>(
      Microseconds(options.at("--pause-ms").asString()));
  settings.seed = std::stoull(options.at("--seed").asString());
  settings.cold_start.length =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Microseconds(options.at("--cold-ms").asString()));
  settings.cold_start.factor =
      std::stod(options.at("--cold-factor").asString());
  const auto shape = ServiceTimeShapeOrNull(options.at("--law").asString());
  if (!shape) {
    std::cerr << "worker_stand_in: unknown --law\n";
    return 2;
  }
  settings.shape = *shape;
  boost::asio::io_context context(1);
  Worker worker(context, settings);
  const std::string address = options.at("--listen").asString();
  const auto port = worker.TryListen(address);
  if (!port.HasValue()) {
    std::cerr << "worker_stand_in: cannot listen at " << address << '\n';
    return 1;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) {
    worker.Drain([&] { context.stop(); });
  });
  context.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(docopt::docopt(kUsage, {argv + 1, argv + argc}));
  } catch (const std::logic_error& error) {
    std::cerr << "worker_stand_in: " << error.what() << '\n';
    return 2;
  }
}
