// Carries out the steps of a soak's plan.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "stand_ins/soak/soak_callers.h"
#include "stand_ins/soak/soak_plan.h"
#include "stand_ins/soak/soak_system.h"

namespace burdockwheel::stand_ins {

// Each fault is noted as a disturbance of the part that it strikes; planned
// work is noted apart. Runs on the io_context's thread of the system.
class FaultInjector {
 public:
  FaultInjector(SoakSystem& system, SoakCallers& callers);

  // Injects the steps at their times from now on.
  void Start(const std::vector<SoakStep>& steps);

  // Starts again hosts that have ended and watches the machine itself; goes on
  // for as long as the io_context runs.
  void Watch();

  // How often each fault was injected.
  const std::map<SoakFault, int>& Injected() const { return this->injected; }
  // Hosts that were killed since they outlived the time of their stop.
  int StopsOverrun() const { return this->stops_overrun; }
  int MachinePauses() const { return this->machine_pauses; }

 private:
  using Action = std::function<void()>;

  void Inject(const SoakStep& step);
  // Each returns false if the step fits no part now.
  bool InjectAtHost(const SoakStep& step, std::size_t host);
  bool InjectAtStore(const SoakStep& step);
  bool InjectAtWorker(const SoakStep& step, std::size_t place);
  bool Inject(SoakFault fault, std::size_t place);

  void KillHost(std::size_t host, std::chrono::milliseconds down);
  void PauseHost(std::size_t host, std::chrono::milliseconds length);
  void StopHost(std::size_t host);
  void SetStoreFlag(const std::string& name, std::chrono::milliseconds length);
  void LapseEntries(std::chrono::milliseconds length, std::size_t first);
  void CrashWorker(std::size_t place, std::chrono::milliseconds down);
  bool RetireWorker(std::size_t place, bool is_told);
  void LookAtHosts();
  void After(std::chrono::milliseconds delay, Action action);
  void NoteHost(std::size_t host, std::chrono::milliseconds length);
  void NoteWorker(std::size_t place, std::chrono::milliseconds length);
  void NoteStore(std::chrono::milliseconds length);

  SoakSystem& system;
  SoakCallers& callers;
  boost::asio::steady_timer watch_timer;
  std::map<std::string, int> store_flags;  // how many faults hold each
  std::map<SoakFault, int> injected;
  int stops_overrun = 0;
  int machine_pauses = 0;
};

}  // namespace burdockwheel::stand_ins
