// One backend server, as PROTOCOL.md describes it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "review/stand_ins_2/http_listener.h"

namespace burdockwheel::review {

struct WorkerOptions {
  std::string id;
  std::string service;
  std::string zone;
  std::chrono::milliseconds work{50};
  std::size_t answer_bytes = 1500;
};

// Runs six requests at a time and queues 24. A request that names another
// instance gets 421, one that finds no place 503 with Not-Executed.
class Worker {
 public:
  // Told when a request begins to run; `arrived` is false for its end, with the
  // reason "done", "caller left" or "worker left".
  struct Hooks {
    std::function<void(const Worker&, const std::string& request_id)>
        on_arrival;
    std::function<void(const Worker&, const std::string& request_id)> on_run;
    std::function<void(const Worker&, const std::string& request_id,
                       const std::string& how)>
        on_end;
  };

  Worker(boost::asio::io_context& context, WorkerOptions options, Hooks hooks);

  const WorkerOptions& Options() const { return this->options; }

  // What it writes of itself into the store.
  std::string Entry(const std::string& state);

  void SetDraining() { this->is_draining = true; }

  // The process ends; what it had at work is lost.
  void Leave();

 private:
  using Exchange = std::shared_ptr<HttpListener::Exchange>;
  struct Job {
    Exchange exchange;
    std::string request_id;
  };

  void Receive(const Exchange& exchange);
  void Run(const Job& job);
  std::string Load() const;

  static constexpr int kSlots = 6;
  static constexpr std::size_t kQueue = 24;

  boost::asio::io_context& context;
  WorkerOptions options;
  Hooks hooks;
  std::unique_ptr<HttpListener> listener;
  std::uint16_t port = 0;
  std::deque<Job> queue;
  int running = 0;
  std::uint64_t sequence = 0;
  std::int64_t born = 0;
  bool is_draining = false;
};

}  // namespace burdockwheel::review
