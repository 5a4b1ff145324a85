// A worker that speaks the platform's protocol and tells the ledger what it
// sees.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>

#include "kernel/instant.h"
#include "stand_ins/common/http_server.h"

namespace burdockwheel::stand_ins {

class HttpExchange;
class PromiseLedger;
struct HttpAnswer;

// Shares, from 0 to 1, of the calls to which it happens.
struct SoakWorkerFaults {
  double slowness = 1;      // factor on the time of a call
  double failing = 0;       // an error of its own in place of a success
  double losing = 0;        // runs the call and closes without an answer
  double breaking_off = 0;  // half of the answer
  double doubling = 0;      // a second answer behind the first
};

// Serves one address. Each life has a name and a service of its own, so that an
// address can pass to another service. Runs on the io_context's thread.
class SoakWorker {
 public:
  static constexpr int kSlots = 6;
  static constexpr std::size_t kMostWaiting = 8;
  static constexpr std::chrono::milliseconds kMeanTime{20};
  // Calls to targets with this part take so long.
  static constexpr std::string_view kLongPart = "/long/";
  static constexpr std::chrono::milliseconds kLongTime{900};
  // Calls to targets with this part end the worker's life.
  static constexpr std::string_view kPoisonPart = "/poison/";
  static constexpr std::string_view kHealthPath = "/healthz";

  SoakWorker(boost::asio::io_context& context, std::string address,
             PromiseLedger& ledger, std::uint64_t seed);
  ~SoakWorker();

  // Begins a life; false if the address is not to be had.
  [[nodiscard]] bool TryBegin(const std::string& name_now,
                              const std::string& service_now);
  // Ends the life at once: its calls and connections are gone.
  void End();
  void BeginDrain() { this->is_draining = true; }
  void SetFaults(const SoakWorkerFaults& faults_now) {
    this->faults = faults_now;
  }
  // Called when a call has ended the worker's life.
  void OnCrash(std::function<void()> hook) { this->on_crash = std::move(hook); }

  const std::string& Name() const { return this->name; }
  const std::string& Service() const { return this->service; }
  bool IsAlive() const { return this->is_alive; }

 private:
  struct Call;
  using ExchangePointer = std::shared_ptr<HttpExchange>;

  void Receive(const ExchangePointer& exchange);
  void AnswerHealth(const ExchangePointer& exchange);
  void Reject(const ExchangePointer& exchange, int status);
  void Run(const ExchangePointer& exchange);
  void Finish(std::uint64_t number);
  void Forget(std::uint64_t number);
  void RunWaiting();
  HttpAnswer MakeAnswer(const HttpExchange& exchange, int status);
  bool IsDrawn(double share);
  std::chrono::nanoseconds DrawTime(std::string_view target);
  void AddLoad(HttpAnswer& answer) const;

  boost::asio::io_context& context;
  std::string address;
  PromiseLedger& ledger;
  std::mt19937_64 random;
  HttpServer server;
  std::string name;
  std::string service;
  bool is_alive = false;
  bool is_draining = false;
  SoakWorkerFaults faults;
  std::uint64_t next_call = 0;
  std::uint64_t next_seal = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Call>> calls;
  std::deque<std::pair<std::uint64_t, ExchangePointer>> waiting;
  std::function<void()> on_crash;
};

}  // namespace burdockwheel::stand_ins
