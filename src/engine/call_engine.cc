#include "engine/call_engine.h"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "engine/call_flow.h"
#include "engine/service_state.h"

namespace burdockwheel::engine {

namespace {

// Limits how soon a service or the load watch may ask to be woken again.
constexpr std::chrono::milliseconds kMinWakeInterval{1};

}  // namespace

// Dispatches events to the call flow and the services, and schedules wake-ups.
class CallEngine::Implementation {
 public:
  explicit Implementation(const EngineSettings& settings)
      : settings(settings), flow(settings), load_watch(settings.load_watch) {}

  bool HasCalls() const { return this->flow.HasCalls(); }

  std::vector<ServiceReport> Report(kernel::Instant now) const {
    std::vector<ServiceReport> reports;
    reports.reserve(this->services.size());
    for (const auto& [name, service] : this->services) {
      reports.push_back(
          {name, service->Queue().Size(), service->Budget().Tokens(),
           service->Router().CountStandings(), service->Router().CountCold(now),
           service->Router().HeldBackCount(),
           service->Hedges() ? service->Hedges()->GetCounts()
                             : HedgeBudget::Counts()});
    }
    return reports;
  }

  void Handle(kernel::Instant now, const CallArrived& event, Actions& actions) {
    // The first call needs load reports at once if it arrives before the peers
    // are known.
    if (this->load_watch.NoteCall(now))
      this->must_update_watched_workers = true;
    const auto service = this->FindOrNull(event.service);
    this->flow.HandleCallArrived(now, event, service, actions);
    if (service != nullptr) this->AppendServiceActions(now, service, actions);
  }

  void Handle(kernel::Instant now, const CallerGone& event, Actions& actions) {
    this->flow.HandleCallerGone(now, event, actions);
  }

  void Handle(kernel::Instant now, const AttemptEnded& event,
              Actions& actions) {
    const auto service = this->flow.FindServiceOrNull(event.call);
    this->flow.HandleAttemptEnded(now, event, actions);
    if (service != nullptr) this->AppendServiceActions(now, service, actions);
  }

  void Handle(kernel::Instant now, const ProbeAnswered& event,
              Actions& actions) {
    const auto service = this->FindOrNull(event.service);
    if (service == nullptr) return;
    auto report = event.report;
    // Without a bound, workers need not report their warm-up: a missing report
    // does not mean that they are warm.
    if (!service->Router().IsWarmUpBounded()) report.warm_up.reset();
    // The report is about half a round trip old.
    service->Router().ObserveProbe(now, event.worker, report,
                                   event.latency / 2);
    this->load_watch.NoteProbeEnded(now, event.worker, report);
    this->flow.Dispatch(now, *service, actions);
    if (this->load_watch.IsEnabled())
      this->flow.ReconsiderHedges(now, *service, actions);
    this->AppendServiceActions(now, service, actions);
  }

  void Handle(kernel::Instant now, const ProbeFailed& event,
              Actions& /*actions*/) {
    this->load_watch.NoteProbeEnded(now, event.worker, std::nullopt);
  }

  void Handle(kernel::Instant now, const WorkerNoticed& event,
              Actions& actions) {
    const auto service = this->FindOrNull(event.service);
    if (service == nullptr) return;
    service->Router().ObserveNotice(now, event.worker, event.notice);
    this->AppendServiceActions(now, service, actions);
  }

  void Handle(kernel::Instant now, const PeerLoadReceived& event,
              Actions& actions) {
    std::vector<Service> changed_services;
    for (const auto& entry : event.digest) {
      const auto found = this->workers_by_hash.find(entry.worker);
      if (found == this->workers_by_hash.end()) continue;
      const auto service = this->FindOrNull(found->second.service);
      if (service == nullptr) continue;
      service->Router().ObserveProbe(now, found->second.worker, entry.report,
                                     entry.age);
      if (std::ranges::count(changed_services, service) == 0)
        changed_services.push_back(service);
    }
    for (const auto& service : changed_services) {
      this->flow.Dispatch(now, *service, actions);
      this->flow.ReconsiderHedges(now, *service, actions);
      this->AppendServiceActions(now, service, actions);
    }
  }

  void Handle(kernel::Instant now, const PeersListed& event,
              Actions& /*actions*/) {
    this->load_watch.SetPeers(event.peers);
    this->warm_up_shares->SetHosts(now, event.known_hosts);
    this->host_count = static_cast<int>(event.peers.size()) + 1;
    for (const auto& [name, service] : this->services)
      service->UpdateHostCount(this->host_count);
  }

  void Handle(kernel::Instant now, const TimerFired& /*event*/,
              Actions& actions) {
    this->requested_wake = kernel::Instant::max();
    while (const auto timer = this->flow.Timers().TryTake(now)) {
      if (timer->service == nullptr) {
        this->flow.HandleCallTimer(now, timer->call, actions);
        continue;
      }
      timer->service->scheduled_wake = kernel::Instant::max();
      this->flow.Dispatch(now, *timer->service, actions);
      this->AppendServiceActions(now, timer->service, actions);
    }
  }

  void Handle(kernel::Instant now, const ConfigurationAccepted& event,
              Actions& actions) {
    std::unordered_map<model::ServiceName, std::shared_ptr<ServiceState>> old;
    std::swap(old, this->services);
    for (const auto& definition : event.configuration->services) {
      auto& service = this->services[definition.name];
      const auto found = old.find(definition.name);
      if (found != old.end()) service = std::move(found->second);
      if (service == nullptr) {
        service = std::make_shared<ServiceState>(
            this->settings, definition.name, this->probe_budget);
        service->Router().SetWarmUpShares(this->warm_up_shares);
      }
      old.erase(definition.name);
      this->Update(now, service, definition,
                   event.configuration->most_entry_hosts, actions);
    }
    for (const auto& [name, service] : old) {
      AdmissionQueue::Calls dropped;
      service->Queue().Update({}, {}, dropped);
      this->flow.EndDroppedCalls(now, dropped, actions);
    }
  }

  void Handle(kernel::Instant now, const WorkersListed& event,
              Actions& actions) {
    this->workers.clear();
    this->workers_by_hash.clear();
    for (const auto& worker : event.workers) {
      this->workers[worker.service].push_back(worker);
      const auto hash = load::HashOf(worker.id);
      const bool is_new =
          this->workers_by_hash
              .try_emplace(hash, load::WantedProbe{worker.id, worker.service})
              .second;
      // Two workers have the same hash, so peers' reports on it are ignored.
      if (!is_new) this->workers_by_hash[hash] = {};
    }
    this->must_update_watched_workers = true;
    for (const auto& [name, service] : this->services)
      this->ListWorkers(now, service, actions);
  }

  void Handle(kernel::Instant now, const CrashSuspected& event,
              Actions& /*actions*/) {
    this->flow.Guard().RecordPeerReport(now, event);
  }

  void Handle(kernel::Instant /*now*/, const StopBegun& event,
              Actions& /*actions*/) {
    this->flow.BeginStop(event.ends_at);
  }

  // Appends the actions that do not belong to one service: crash suspicions,
  // load probes and shares, and the next wake-up.
  void AppendHostActions(kernel::Instant now, Actions& actions) {
    this->flow.Guard().TakeActions(now, actions);
    this->AppendLoadActions(now, actions);
    kernel::Instant wanted = this->flow.Timers().Earliest();
    if (const auto wake = this->load_watch.NextWake())
      wanted = std::min(wanted, std::max(*wake, now + kMinWakeInterval));
    if (const auto wake = this->flow.Guard().NextWake())
      wanted = std::min(wanted, *wake);
    if (wanted >= this->requested_wake) return;
    this->requested_wake = wanted;
    actions.emplace_back(WakeAt{wanted});
  }

 private:
  using Service = std::shared_ptr<ServiceState>;

  void AppendLoadActions(kernel::Instant now, Actions& actions) {
    if (!this->load_watch.IsEnabled()) return;
    const auto wake = this->load_watch.NextWake();
    const bool is_due =
        this->must_update_watched_workers || (wake && *wake <= now);
    if (is_due) {
      this->must_update_watched_workers = false;
      std::vector<load::WatchedWorker> watched;
      for (const auto& [name, service] : this->services)
        service->Router().AppendWatched(name, watched);
      for (auto& probe : this->load_watch.TakeProbes(now, watched))
        actions.emplace_back(SendProbe{probe.worker, probe.service});
    }
    if (auto share = this->load_watch.TakeShare(now))
      actions.emplace_back(ShareLoad{std::move(*share)});
  }

  Service FindOrNull(const model::ServiceName& name) const {
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : found->second;
  }

  void Update(kernel::Instant now, const Service& service,
              const model::ServiceDefinition& definition, int most_entry_hosts,
              Actions& actions) {
    AdmissionQueue::Calls dropped;
    service->Update(now, definition, most_entry_hosts, dropped);
    // Until the peers are known, the limit assumes the maximum number of entry
    // hosts that the configuration allows.
    if (this->host_count > 1) service->UpdateHostCount(this->host_count);
    this->flow.EndDroppedCalls(now, dropped, actions);
    this->ListWorkers(now, service, actions);
  }

  void ListWorkers(kernel::Instant now, const Service& service,
                   Actions& actions) {
    service->Router().UpdateWorkers(now, this->workers[service->Name()]);
    this->flow.Dispatch(now, *service, actions);
    this->AppendServiceActions(now, service, actions);
  }

  // Appends the probes and audit records that are due for a service, and
  // schedules its next wake-up.
  void AppendServiceActions(kernel::Instant now, const Service& service,
                            Actions& actions) {
    auto probes = service->Router().TakeWantedProbes(now, this->flow.Random());
    for (auto& worker : probes)
      actions.emplace_back(SendProbe{std::move(worker), service->Name()});
    for (auto& change : service->Router().TakeChanges()) {
      actions.emplace_back(
          RecordChange{"worker " + change.worker.value,
                       std::string(routing::StandingName(change.from)),
                       std::string(routing::StandingName(change.to)),
                       std::string(routing::StandingCauseName(change.cause)),
                       std::move(change.evidence)});
    }
    this->AuditOverload(now, *service, actions);
    this->ScheduleWake(now, service);
  }

  static void AuditOverload(kernel::Instant now, ServiceState& service,
                            Actions& actions) {
    const bool is_overloaded = service.Queue().IsOverloaded(now);
    if (is_overloaded == service.was_overloaded_at_last_audit) return;
    service.was_overloaded_at_last_audit = is_overloaded;
    actions.emplace_back(
        RecordChange{"service " + service.Name().value,
                     is_overloaded ? "in-order" : "newest-first",
                     is_overloaded ? "newest-first" : "in-order",
                     is_overloaded ? "standing-queue" : "queue-emptied",
                     "waiting=" + std::to_string(service.Queue().Size())});
  }

  void ScheduleWake(kernel::Instant now, const Service& service) {
    kernel::Instant wanted = service->NextWake(now);
    if (wanted >= service->scheduled_wake) return;
    wanted = std::max(wanted, now + kMinWakeInterval);
    if (wanted >= service->scheduled_wake) return;
    service->scheduled_wake = wanted;
    this->flow.Timers().Push({wanted, {}, service});
  }

  EngineSettings settings;
  CallFlow flow;
  std::shared_ptr<routing::ProbeBudget> probe_budget =
      std::make_shared<routing::ProbeBudget>();
  std::shared_ptr<routing::WarmUpShares> warm_up_shares =
      std::make_shared<routing::WarmUpShares>(model::KnownHost{
          this->settings.peer_address, this->settings.failure_domain});
  std::unordered_map<model::ServiceName, Service> services;
  std::unordered_map<model::ServiceName, std::vector<model::WorkerRecord>>
      workers;
  load::LoadWatch load_watch;
  std::unordered_map<load::WorkerHash, load::WantedProbe> workers_by_hash;
  int host_count = 0;  // alive, including this one; 0 until the peers are known
  bool must_update_watched_workers = false;
  // The time of the newest WakeAt, until its TimerFired arrives.
  kernel::Instant requested_wake = kernel::Instant::max();
};

CallEngine::CallEngine(const EngineSettings& settings)
    : implementation(std::make_unique<Implementation>(settings)) {}

CallEngine::~CallEngine() = default;

bool CallEngine::HasCalls() const { return this->implementation->HasCalls(); }

std::vector<ServiceReport> CallEngine::Report(kernel::Instant now) const {
  return this->implementation->Report(now);
}

void CallEngine::Handle(kernel::Instant now, const Event& event,
                        Actions& actions) {
  std::visit(
      [this, now, &actions](const auto& concrete) {
        this->implementation->Handle(now, concrete, actions);
      },
      event);
  this->implementation->AppendHostActions(now, actions);
}

}  // namespace burdockwheel::engine
