// The documents of a deployment: settings, configuration, workers and load.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "stand_ins/experiment/deployment.h"
#include "stand_ins/load/load_plan.h"

namespace burdockwheel::stand_ins {

// Where the parts of a deployment listen, all on loopback.
struct DeploymentAddresses {
  struct EntryHost {
    std::string id;
    std::string failure_domain;
    std::string caller;
    std::string admin;
    std::string peer;
  };
  struct Worker {
    std::string address;
    std::string service;
    std::string failure_domain;
  };

  std::string platform;
  std::vector<EntryHost> entry_hosts;
  std::vector<Worker> workers;
};

// Assigns ports from `base_port` upward. Workers and hosts are dealt out evenly
// over the failure domains.
DeploymentAddresses AssignAddresses(const Deployment& deployment,
                                    int base_port);

// `switched_off` names protections that the host goes without.
nlohmann::json HostSettingsDocument(
    const DeploymentAddresses& addresses,
    const DeploymentAddresses::EntryHost& host,
    const std::vector<std::string>& switched_off);

nlohmann::json ConfigurationDocument(const Deployment& deployment,
                                     std::uint64_t version,
                                     const std::string& routing_policy);

// What a worker writes of itself into the store.
nlohmann::json WorkerEntryDocument(const DeploymentAddresses::Worker& worker,
                                   int worker_slots);

// A plan in which each service gets a share of calls that fits its capacity;
// `rate` is of all calls together.
LoadPlan DeploymentLoadPlan(const Deployment& deployment,
                            const DeploymentAddresses& addresses, double rate);

}  // namespace burdockwheel::stand_ins
