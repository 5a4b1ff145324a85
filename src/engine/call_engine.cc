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

// The shortest time between two wake-ups that a service asks for.
constexpr std::chrono::milliseconds kShortestWake{1};

}  // namespace

// Hands events to the flow of calls and to the services, and keeps the timers.
class CallEngine::Implementation {
 public:
  explicit Implementation(const EngineSettings& settings)
      : settings(settings), flow(settings) {}

  bool HasCalls() const { return this->flow.HasCalls(); }

  void Handle(kernel::Instant now, const CallArrived& event, Actions& actions) {
    const auto service = this->FindOrNull(event.service);
    this->flow.Arrive(now, event, service, actions);
    if (service != nullptr) this->Settle(now, service, actions);
  }

  void Handle(kernel::Instant now, const CallerGone& event, Actions& actions) {
    this->flow.LoseCaller(now, event, actions);
  }

  void Handle(kernel::Instant now, const AttemptEnded& event,
              Actions& actions) {
    const auto service = this->flow.ServiceOfOrNull(event.call);
    this->flow.EndAttempt(now, event, actions);
    if (service != nullptr) this->Settle(now, service, actions);
  }

  void Handle(kernel::Instant now, const ProbeAnswered& event,
              Actions& actions) {
    const auto service = this->FindOrNull(event.service);
    if (service == nullptr) return;
    service->Router().ObserveProbe(now, event.worker, event.report,
                                   event.latency);
    this->flow.Dispatch(now, *service, actions);
    this->Settle(now, service, actions);
  }

  void Handle(kernel::Instant now, const TimerFired& /*event*/,
              Actions& actions) {
    this->told_wake = kernel::Instant::max();
    while (const auto timer = this->flow.Timers().TryTake(now)) {
      if (timer->service == nullptr) {
        this->flow.WakeCall(now, timer->call, actions);
        continue;
      }
      timer->service->scheduled_wake = kernel::Instant::max();
      this->flow.Dispatch(now, *timer->service, actions);
      this->Settle(now, timer->service, actions);
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
      if (service == nullptr)
        service = std::make_shared<ServiceState>(
            this->settings, definition.name, this->probe_budget);
      old.erase(definition.name);
      this->Update(now, service, definition,
                   event.configuration->most_entry_hosts, actions);
    }
    for (const auto& [name, service] : old) {
      AdmissionQueue::Calls unserved;
      service->Queue().Update({}, {}, unserved);
      this->flow.RefuseUnserved(now, unserved, actions);
    }
  }

  void Handle(kernel::Instant now, const WorkersListed& event,
              Actions& actions) {
    this->workers.clear();
    for (const auto& worker : event.workers)
      this->workers[worker.service].push_back(worker);
    for (const auto& [name, service] : this->services)
      this->ListWorkers(now, service, actions);
  }

  void Handle(kernel::Instant now, const CrashSuspected& event,
              Actions& /*actions*/) {
    this->flow.Guard().PeerSuspects(now, event);
  }

  void Handle(kernel::Instant /*now*/, const StopBegun& /*event*/,
              Actions& /*actions*/) {
    this->flow.BeginStop();
  }

  // Appends what the event led to beside the calls: reports, audit, wake-up.
  void Finish(kernel::Instant now, Actions& actions) {
    this->flow.Guard().TakeActions(now, actions);
    kernel::Instant wanted = this->flow.Timers().Earliest();
    if (const auto wake = this->flow.Guard().NextWake())
      wanted = std::min(wanted, *wake);
    if (wanted >= this->told_wake) return;
    this->told_wake = wanted;
    actions.emplace_back(WakeAt{wanted});
  }

 private:
  using Service = std::shared_ptr<ServiceState>;

  Service FindOrNull(const model::ServiceName& name) const {
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : found->second;
  }

  void Update(kernel::Instant now, const Service& service,
              const model::ServiceDefinition& definition, int most_entry_hosts,
              Actions& actions) {
    AdmissionQueue::Calls unserved;
    service->Update(now, definition, most_entry_hosts, unserved);
    this->flow.RefuseUnserved(now, unserved, actions);
    this->ListWorkers(now, service, actions);
  }

  void ListWorkers(kernel::Instant now, const Service& service,
                   Actions& actions) {
    service->Router().UpdateWorkers(now, this->workers[service->Name()]);
    this->flow.Dispatch(now, *service, actions);
    this->Settle(now, service, actions);
  }

  // Does what any event of a service may lead to: probes, audit, a wake-up.
  void Settle(kernel::Instant now, const Service& service, Actions& actions) {
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
    if (is_overloaded == service.was_overloaded) return;
    service.was_overloaded = is_overloaded;
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
    wanted = std::max(wanted, now + kShortestWake);
    if (wanted >= service->scheduled_wake) return;
    service->scheduled_wake = wanted;
    this->flow.Timers().Push({wanted, {}, service});
  }

  EngineSettings settings;
  CallFlow flow;
  std::shared_ptr<routing::ProbeBudget> probe_budget =
      std::make_shared<routing::ProbeBudget>();
  std::unordered_map<model::ServiceName, Service> services;
  std::unordered_map<model::ServiceName, std::vector<model::WorkerRecord>>
      workers;
  // The wake-up that the host was last asked for and that has not come.
  kernel::Instant told_wake = kernel::Instant::max();
};

CallEngine::CallEngine(const EngineSettings& settings)
    : implementation(std::make_unique<Implementation>(settings)) {}

CallEngine::~CallEngine() = default;

bool CallEngine::HasCalls() const { return this->implementation->HasCalls(); }

void CallEngine::Handle(kernel::Instant now, const Event& event,
                        Actions& actions) {
  std::visit(
      [this, now, &actions](const auto& concrete) {
        this->implementation->Handle(now, concrete, actions);
      },
      event);
  this->implementation->Finish(now, actions);
}

}  // namespace burdockwheel::engine
