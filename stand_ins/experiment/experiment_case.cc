#include "stand_ins/experiment/experiment_case.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <nlohmann/json.hpp>

#include "stand_ins/experiment/cluster.h"

namespace burdockwheel::stand_ins {
namespace {

using Json = nlohmann::json;

constexpr double kFaultBegin = 0.2;
constexpr double kFaultEnd = 0.7;
constexpr std::size_t kFaultyHost = 0;

// Controls one worker of each service.
void ControlOneOfEach(Cluster& cluster, const Json& controls) {
  for (const DeployedService& service : cluster.Options().deployment.services)
    cluster.ControlWorker(cluster.WorkersOf(service.name).front(), controls);
}

void ControlAll(Cluster& cluster, const Json& controls) {
  for (std::size_t at = 0; at < cluster.Addresses().workers.size(); ++at)
    cluster.ControlWorker(at, controls);
}

// Sets controls of one worker of each service during the fault.
std::vector<CaseEvent> FaultOfOne(const Json& faulty, const Json& sound) {
  return {{kFaultBegin,
           [faulty](Cluster& cluster) { ControlOneOfEach(cluster, faulty); }},
          {kFaultEnd,
           [sound](Cluster& cluster) { ControlOneOfEach(cluster, sound); }}};
}

Json NoiseControls(int gap_ms) {
  return {{"noise", {{"gap_ms", gap_ms}, {"length_ms", 100}, {"factor", 5}}}};
}

// Every third worker of each service, counted from its second.
std::vector<std::size_t> ThirdOfWorkers(const Cluster& cluster) {
  std::vector<std::size_t> third;
  for (const DeployedService& service : cluster.Options().deployment.services) {
    const auto workers = cluster.WorkersOf(service.name);
    for (std::size_t at = 1; at < workers.size(); at += 3)
      third.push_back(workers[at]);
  }
  return third;
}

void KillThird(Cluster& cluster) {
  for (const std::size_t worker : ThirdOfWorkers(cluster))
    cluster.KillWorker(worker);
}

void StartThirdCold(Cluster& cluster) {
  for (const std::size_t worker : ThirdOfWorkers(cluster))
    cluster.StartWorker(worker, {"--cold-ms=3000", "--cold-factor=10"});
}

void KillDomain(Cluster& cluster) {
  const DeploymentAddresses& addresses = cluster.Addresses();
  const std::string lost = addresses.entry_hosts.front().failure_domain;
  for (std::size_t at = 0; at < addresses.workers.size(); ++at) {
    if (addresses.workers[at].failure_domain == lost) cluster.KillWorker(at);
  }
  for (std::size_t at = 0; at < addresses.entry_hosts.size(); ++at) {
    if (addresses.entry_hosts[at].failure_domain == lost) cluster.KillHost(at);
  }
}

void StartDomain(Cluster& cluster) {
  const DeploymentAddresses& addresses = cluster.Addresses();
  const std::string lost = addresses.entry_hosts.front().failure_domain;
  for (std::size_t at = 0; at < addresses.workers.size(); ++at) {
    if (addresses.workers[at].failure_domain == lost) cluster.StartWorker(at);
  }
  for (std::size_t at = 0; at < addresses.entry_hosts.size(); ++at) {
    if (addresses.entry_hosts[at].failure_domain == lost) cluster.StartHost(at);
  }
}

ExperimentCase SlowWorker() {
  return {"slow-worker", 0.7, 0,
          FaultOfOne({{"slow_factor", 10}}, {{"slow_factor", 1}})};
}

ExperimentCase NoisyNeighbours() {
  return {"noisy-neighbours", 0.7, 0, {{0, [](Cluster& cluster) {
                                          ControlAll(cluster,
                                                     NoiseControls(1000));
                                        }}}};
}

ExperimentCase RejectAll() {
  return {"reject-all", 0.7, 0,
          FaultOfOne({{"reject_all", true}}, {{"reject_all", false}})};
}

ExperimentCase Drain() {
  return {"drain", 0.7, 0,
          FaultOfOne({{"draining", true}}, {{"draining", false}})};
}

ExperimentCase ColdStart() {
  return {"cold-start",
          0.5,
          0,
          {{kFaultBegin, KillThird}, {kFaultBegin + 0.05, StartThirdCold}}};
}

ExperimentCase DomainLoss() {
  return {"domain-loss",
          0.5,
          0,
          {{kFaultBegin, KillDomain}, {kFaultEnd, StartDomain}}};
}

ExperimentCase HostPause() {
  return {"host-pause",
          0.7,
          0,
          {{kFaultBegin,
            [](Cluster& cluster) { cluster.SignalHost(kFaultyHost, SIGSTOP); }},
           {kFaultBegin + 0.2, [](Cluster& cluster) {
              cluster.SignalHost(kFaultyHost, SIGCONT);
            }}}};
}

ExperimentCase HostKill() {
  return {
      "host-kill",
      0.7,
      0,
      {{kFaultBegin, [](Cluster& cluster) { cluster.KillHost(kFaultyHost); }},
       {kFaultEnd, [](Cluster& cluster) { cluster.StartHost(kFaultyHost); }}}};
}

ExperimentCase PlatformDown() {
  return {"platform-down",
          0.7,
          0,
          {{kFaultBegin,
            [](Cluster& cluster) {
              cluster.ControlPlatform({{"down", true}});
            }},
           {kFaultEnd, [](Cluster& cluster) {
              cluster.ControlPlatform({{"down", false}});
            }}}};
}

const std::vector<ExperimentCase>& SingleCases() {
  static const std::vector<ExperimentCase> kCases = {
      {"steady-50", 0.5, 0, {}},
      {"steady-70", 0.7, 0, {}},
      {"steady-85", 0.85, 0, {}},
      {"steady-95", 0.95, 0, {}},
      {"twice-capacity", 2.0, 0, {}},
      {"crashing-call", 0.5, 2, {}},
      SlowWorker(),
      NoisyNeighbours(),
      RejectAll(),
      Drain(),
      ColdStart(),
      DomainLoss(),
      HostPause(),
      HostKill(),
      PlatformDown(),
  };
  return kCases;
}

}  // namespace

std::optional<ExperimentCase> ExperimentCaseOrNull(std::string_view name) {
  const std::size_t plus = name.find('+');
  if (plus != std::string_view::npos) {
    auto first = ExperimentCaseOrNull(name.substr(0, plus));
    const auto second = ExperimentCaseOrNull(name.substr(plus + 1));
    if (!first || !second) return std::nullopt;
    first->name = name;
    first->load = std::min(first->load, second->load);
    first->crashing_rate += second->crashing_rate;
    first->events.insert(first->events.end(), second->events.begin(),
                         second->events.end());
    std::ranges::stable_sort(first->events, {}, &CaseEvent::at);
    return first;
  }
  for (const ExperimentCase& single : SingleCases()) {
    if (single.name == name) return single;
  }
  return std::nullopt;
}

std::vector<std::string> ExperimentCaseNames() {
  std::vector<std::string> names;
  for (const ExperimentCase& single : SingleCases())
    names.push_back(single.name);
  return names;
}

void RestoreCluster(Cluster& cluster) {
  cluster.ControlPlatform({{"down", false}});
  Json sound = NoiseControls(0);
  sound["slow_factor"] = 1;
  sound["reject_all"] = false;
  sound["draining"] = false;
  ControlAll(cluster, sound);
  cluster.SignalHost(kFaultyHost, SIGCONT);
  (void)cluster.RestartEndedWorkers();
}

}  // namespace burdockwheel::stand_ins
