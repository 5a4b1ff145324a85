#include "stand_ins/soak/fault_injector.h"

#include <csignal>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace burdockwheel::stand_ins {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kWatchInterval{50};
// A gap of the watch beyond this says that the machine did not run the soak.
constexpr milliseconds kMachinePause{250};
constexpr milliseconds kRestartDelay{200};
constexpr milliseconds kLinkDelay{120};
constexpr milliseconds kStoreDelay{600};
constexpr milliseconds kLapseReturn{800};  // after the store's
constexpr milliseconds kPoisonDown{1000};
// A worker serves on for the platform's drain_ms and a little longer.
constexpr milliseconds kServesOn = PromiseLedger::kDrain + milliseconds(800);
// After that its address is free for as long as reuse_after_s says.
constexpr milliseconds kReuse{2000};
constexpr double kSlowness = 10;
constexpr double kFailingShare = 0.4;
constexpr double kSpoiledShare = 0.1;
constexpr double kLosingShare = 0.1;
constexpr int kPoisonedSends = 14;
constexpr int kFewestStaying = 2;

}  // namespace

FaultInjector::FaultInjector(SoakSystem& system, SoakCallers& callers)
    : system(system), callers(callers), watch_timer(system.Context()) {}

void FaultInjector::Start(const std::vector<SoakStep>& steps) {
  for (const auto& step : steps)
    this->After(step.at, [this, step] { this->Inject(step); });
}

void FaultInjector::After(milliseconds delay, Action action) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(this->system.Context());
  timer->expires_after(delay);
  timer->async_wait([timer, action = std::move(action)](const auto& error) {
    if (!error) action();
  });
}

void FaultInjector::NoteHost(std::size_t host, milliseconds length) {
  const auto now = steady_clock::now();
  this->system.Ledger().Disturbances().Note(PromiseLedger::HostPart(host), now,
                                            now + length);
}

void FaultInjector::NoteWorker(std::size_t place, milliseconds length) {
  const auto now = steady_clock::now();
  const auto& worker = *this->system.Workers()[place].worker;
  this->system.Ledger().Disturbances().Note(
      PromiseLedger::WorkerPart(worker.Name()), now, now + length);
}

void FaultInjector::NoteStore(milliseconds length) {
  const auto now = steady_clock::now();
  this->system.Ledger().Disturbances().Note(
      std::string(PromiseLedger::kStorePart), now, now + length);
}

void FaultInjector::Inject(const SoakStep& step) {
  const auto host = step.target % this->system.Hosts().size();
  const auto place = step.target % this->system.Workers().size();
  const bool is_done = this->InjectAtHost(step, host) ||
                       this->InjectAtStore(step) ||
                       this->InjectAtWorker(step, place);
  if (is_done) this->injected[step.fault] += 1;
}

bool FaultInjector::InjectAtHost(const SoakStep& step, std::size_t host) {
  auto& struck = this->system.Hosts()[host];
  switch (step.fault) {
    case SoakFault::kHostKilled:
      this->KillHost(host, step.length);
      return true;
    case SoakFault::kHostsKilled:
      for (std::size_t each = 0; each < this->system.Hosts().size(); ++each)
        this->KillHost(each, step.length / 4);
      return true;
    case SoakFault::kHostPaused:
      this->PauseHost(host, step.length);
      return true;
    case SoakFault::kHostStopped:
      this->StopHost(host);
      return true;
    case SoakFault::kHostReloaded:
      if (struck.process) struck.process->Signal(SIGHUP);
      return true;
    case SoakFault::kCallersReset:
      this->NoteHost(host, milliseconds(0));
      struck.callers->ResetAll();
      return true;
    case SoakFault::kCallersDelayed:
      this->NoteHost(host, step.length);
      struck.callers->SetFlow({true, true, kLinkDelay});
      this->After(step.length, [&struck] { struck.callers->SetFlow({}); });
      return true;
    case SoakFault::kPeersDeaf:
      this->NoteHost(host, step.length);
      struck.peer_datagrams->SetDeaf(true);
      struck.peer_streams->SetFlow({false, true, {}});
      this->After(step.length, [&struck] {
        struck.peer_datagrams->SetDeaf(false);
        struck.peer_streams->SetFlow({});
      });
      return true;
    case SoakFault::kPeersDelayed:
      this->NoteHost(host, step.length);
      struck.peer_datagrams->SetDelay(kLinkDelay);
      struck.peer_streams->SetFlow({true, true, kLinkDelay});
      this->After(step.length, [&struck] {
        struck.peer_datagrams->SetDelay({});
        struck.peer_streams->SetFlow({});
      });
      return true;
    case SoakFault::kStoreCutFromHost:
    case SoakFault::kStoreDeafToHost: {
      const bool is_cut = step.fault == SoakFault::kStoreCutFromHost;
      this->NoteHost(host, step.length);
      struck.store->SetFlow({!is_cut, false, {}});
      this->After(step.length, [&struck] {
        struck.store->SetFlow({});
        struck.store->ResetAll();
      });
      return true;
    }
    default:
      return false;
  }
}

bool FaultInjector::InjectAtStore(const SoakStep& step) {
  switch (step.fault) {
    case SoakFault::kStoreDown:
      this->SetStoreFlag("down", step.length);
      return true;
    case SoakFault::kStoreSilent:
      this->SetStoreFlag("silent", step.length);
      return true;
    case SoakFault::kStoreSlow:
      this->NoteStore(step.length);
      this->system.ControlStore({{"slow_ms", kStoreDelay.count()}});
      this->After(step.length, [this] {
        this->system.ControlStore({{"slow_ms", 0}});
      });
      return true;
    case SoakFault::kStoreLapse:
      this->SetStoreFlag("down", step.length);
      this->LapseEntries(step.length, step.target % 3);
      return true;
    case SoakFault::kStoreForgets:
      this->NoteStore(milliseconds(0));
      this->system.ControlStore({{"compact", true}});
      return true;
    case SoakFault::kRouteMoved:
      this->system.MoveRoute();
      return true;
    case SoakFault::kPoisonedCall:
      this->callers.SendPoisoned(kPoisonedSends);
      return true;
    default:
      return false;
  }
}

bool FaultInjector::InjectAtWorker(const SoakStep& step, std::size_t place) {
  auto& struck = this->system.Workers()[place];
  if (!struck.worker->IsAlive() || struck.is_leaving) return false;
  SoakWorkerFaults faults;
  switch (step.fault) {
    case SoakFault::kWorkerCrashed:
      if (this->system.CountStaying(struck.worker->Service()) <= kFewestStaying)
        return false;
      this->CrashWorker(place, step.length);
      return true;
    case SoakFault::kWorkerLeaves:
      return this->RetireWorker(place, true);
    case SoakFault::kWorkerRemoved:
      return this->RetireWorker(place, false);
    case SoakFault::kWorkerSlow:
      faults.slowness = kSlowness;
      break;
    case SoakFault::kWorkerFailing:
      faults.failing = kFailingShare;
      break;
    case SoakFault::kWorkerSpoiling:
      faults.breaking_off = kSpoiledShare;
      faults.doubling = kSpoiledShare;
      break;
    case SoakFault::kWorkerLosing:
      faults.losing = kLosingShare;
      break;
    default:
      return this->Inject(step.fault, place);
  }
  this->NoteWorker(place, step.length);
  struck.worker->SetFaults(faults);
  this->After(step.length, [&struck] { struck.worker->SetFaults({}); });
  return true;
}

// Faults of the link to a worker last for as long as one of a host may.
bool FaultInjector::Inject(SoakFault fault, std::size_t place) {
  constexpr milliseconds kLength{2500};
  auto& struck = this->system.Workers()[place];
  this->NoteWorker(place, kLength);
  switch (fault) {
    case SoakFault::kWorkerLinkReset:
      struck.relay->ResetAll();
      return true;
    case SoakFault::kWorkerChannelDead:
      struck.relay->DeadenAll();
      return true;
    case SoakFault::kWorkerLinkSilent:
    case SoakFault::kWorkerLinkOneWay: {
      const bool is_one_way = fault == SoakFault::kWorkerLinkOneWay;
      struck.relay->SetFlow({is_one_way, false, {}});
      this->After(kLength, [&struck] { struck.relay->SetFlow({}); });
      return true;
    }
    default:
      return false;
  }
}

void FaultInjector::KillHost(std::size_t host, milliseconds down) {
  auto& struck = this->system.Hosts()[host];
  this->NoteHost(host, down + kRestartDelay);
  if (struck.is_down) return;
  struck.is_down = true;
  struck.process.reset();
  this->After(down, [this, host] {
    if (!this->system.Hosts()[host].process)
      (void)this->system.TryStartHost(host);
  });
}

void FaultInjector::PauseHost(std::size_t host, milliseconds length) {
  auto& struck = this->system.Hosts()[host];
  if (!struck.process) return;
  this->NoteHost(host, length);
  struck.process->Signal(SIGSTOP);
  this->After(length, [&struck] {
    if (struck.process) struck.process->Signal(SIGCONT);
  });
}

void FaultInjector::StopHost(std::size_t host) {
  auto& struck = this->system.Hosts()[host];
  if (!struck.process || struck.is_stopping) return;
  const auto now = steady_clock::now();
  struck.is_stopping = true;
  this->system.Ledger().StopAsked(now, host);
  this->system.Ledger().PlannedWork().Note(
      PromiseLedger::HostPart(host), now,
      now + SoakSystem::kGrace + kRestartDelay);
  struck.process->Signal(SIGTERM);
  const auto stopped = struck.process->Id();
  this->After(SoakSystem::kGrace, [this, &struck, stopped] {
    // Another life may have begun since.
    if (!struck.process || struck.process->Id() != stopped) return;
    this->stops_overrun += 1;
    struck.process->Kill();
  });
}

void FaultInjector::SetStoreFlag(const std::string& name, milliseconds length) {
  this->NoteStore(length);
  if (++this->store_flags[name] == 1) this->system.ControlStore({{name, true}});
  this->After(length, [this, name] {
    if (--this->store_flags[name] == 0)
      this->system.ControlStore({{name, false}});
  });
}

// Every third entry is gone while the store is away and soon back after it.
void FaultInjector::LapseEntries(milliseconds length, std::size_t first) {
  for (std::size_t place = first; place < this->system.Workers().size();
       place += 3) {
    auto& lapsed = this->system.Workers()[place];
    if (!lapsed.worker->IsAlive() || lapsed.is_leaving) continue;
    this->system.WithdrawWorker(place);
    this->After(length + kLapseReturn, [this, place, &lapsed] {
      if (lapsed.worker->IsAlive() && !lapsed.is_leaving)
        this->system.PublishWorker(place, "ready");
    });
  }
}

void FaultInjector::CrashWorker(std::size_t place, milliseconds down) {
  auto& struck = this->system.Workers()[place];
  if (!struck.worker->IsAlive()) return;
  this->NoteWorker(place, down);
  const std::string service = struck.worker->Service();
  struck.worker->End();
  this->After(down, [this, place, service] {
    this->system.WithdrawWorker(place);
    (void)this->system.BeginWorker(place, service);
  });
}

bool FaultInjector::RetireWorker(std::size_t place, bool is_told) {
  auto& struck = this->system.Workers()[place];
  if (this->system.CountStaying(struck.worker->Service()) <= kFewestStaying)
    return false;
  struck.is_leaving = true;
  if (is_told) {
    this->system.PublishWorker(place, "draining");
    struck.worker->BeginDrain();
  } else {
    this->system.WithdrawWorker(place);
  }
  const std::string name = struck.worker->Name();
  this->system.Ledger().WorkerLeaves(steady_clock::now(), name);
  this->After(kServesOn, [this, place, name] {
    auto& gone = this->system.Workers()[place];
    // A call may have crashed it, and another life may have begun.
    if (gone.worker->Name() != name || !gone.worker->IsAlive()) return;
    this->system.WithdrawWorker(place);
    this->NoteWorker(place, milliseconds(0));
    gone.worker->End();
    this->After(kReuse, [this, place] {
      const auto service =
          static_cast<int>(place + 1) % this->system.ServiceCount();
      (void)this->system.BeginWorker(place, SoakSystem::ServiceName(service));
    });
  });
  return true;
}

void FaultInjector::Watch() {
  for (std::size_t place = 0; place < this->system.Workers().size(); ++place) {
    this->system.Workers()[place].worker->OnCrash(
        [this, place] { this->CrashWorker(place, kPoisonDown); });
  }
  this->watch_timer.expires_after(kWatchInterval);
  this->watch_timer.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    const auto now = steady_clock::now();
    const auto due = this->watch_timer.expiry();
    if (now - due > kMachinePause) {
      this->machine_pauses += 1;
      this->system.Ledger().Disturbances().Note(
          std::string(PromiseLedger::kMachinePart), due, now);
    }
    this->LookAtHosts();
    this->Watch();
  });
}

void FaultInjector::LookAtHosts() {
  for (std::size_t host = 0; host < this->system.Hosts().size(); ++host) {
    auto& looked_at = this->system.Hosts()[host];
    if (!looked_at.process || looked_at.process->IsRunning()) continue;
    looked_at.process.reset();
    if (!looked_at.is_stopping) {
      this->system.Ledger().HostEnded(host);
      this->NoteHost(host, kRestartDelay);
    }
    this->After(kRestartDelay, [this, host] {
      if (!this->system.Hosts()[host].process)
        (void)this->system.TryStartHost(host);
    });
  }
}

}  // namespace burdockwheel::stand_ins
