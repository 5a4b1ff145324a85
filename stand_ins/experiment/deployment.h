// The deployments that experiments run: their services, workers and hosts.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockwheel::stand_ins {

// One kind of call of a service, and how the load generator makes it.
struct DeployedKind {
  std::string name;
  std::string method;
  std::string path_pattern;
  std::string path;  // an example that fits the pattern
  bool is_idempotent = true;
  std::size_t request_bytes = 0;
  std::size_t answer_bytes = 400;
};

struct DeployedService {
  std::string name;
  int workers = 0;
  std::vector<DeployedKind> kinds;
};

struct Deployment {
  std::string name;
  int failure_domains = 1;
  int entry_hosts = 1;
  int most_entry_hosts = 1;  // that may run at the same time
  int worker_slots = 6;
  std::vector<DeployedService> services;

  int WorkerCount() const;

  // Calls a second that the service's workers can end.
  double CapacityOf(const DeployedService& service,
                    std::chrono::microseconds mean_service_time) const;
  double Capacity(std::chrono::microseconds mean_service_time) const;
};

// Returns the deployment with this name: fjordstein, association, demo or
// benchmark.
std::optional<Deployment> DeploymentOrNull(std::string_view name);

}  // namespace burdockwheel::stand_ins
