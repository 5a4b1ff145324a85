// Callers that keep their connections and a balancer that asks hosts whether
// they are ready.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "stand_ins/soak/promise_ledger.h"
#include "stand_ins/soak/soak_system.h"

namespace burdockwheel::stand_ins {

class SoakConnection;

// Runs on the io_context's thread of the system.
class SoakCallers {
 public:
  SoakCallers(SoakSystem& system, double calls_per_second, std::uint64_t seed);
  ~SoakCallers();

  void AskReadiness();
  bool AreAllReady() const;
  void Start();
  void Stop() { this->is_stopped = true; }

  // Sends a call that crashes workers, again and again as its caller would.
  void SendPoisoned(int times);

 private:
  struct Caller;

  std::size_t PickHost();
  void Ask(std::size_t host);
  void Think(Caller& caller);
  void Call(Caller& caller);
  SoakRequest DrawRequest();
  void Send(const std::shared_ptr<SoakConnection>& connection,
            const SoakRequest& request, std::function<void()> on_ended);
  void Resend(const std::string& target, int times);

  SoakSystem& system;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<int> misses;  // of readiness in a row, by host
  boost::asio::steady_timer ask_timer;
  std::chrono::duration<double> mean_gap;  // between two calls of one caller
  std::uint64_t next_request = 0;
  std::uint64_t next_poison = 0;
  bool is_stopped = false;
};

}  // namespace burdockwheel::stand_ins
