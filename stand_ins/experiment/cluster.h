// A running deployment: host, platform and worker processes on loopback.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "kernel/result.h"
#include "stand_ins/experiment/child_process.h"
#include "stand_ins/experiment/deployment.h"
#include "stand_ins/experiment/deployment_documents.h"
#include "stand_ins/experiment/port_range.h"
#include "stand_ins/load/run_check.h"

namespace burdockwheel::stand_ins {

struct ClusterOptions {
  Deployment deployment;
  std::string burdockwheel_path;  // the product's binary
  std::string stand_ins_folder;   // where the stand-ins' binaries are
  std::string work_folder;        // for settings and logs; must exist
  int base_port = 0;              // 0: the first range that nobody holds
  std::chrono::microseconds mean_service_time{50000};
  std::string service_time_law = "exponential";
  std::uint64_t seed = 1;
  // Protections that the hosts go without, to see that a check notices.
  std::vector<std::string> switched_off;
};

enum class ClusterFailure {
  kNoPorts,      // every range is held
  kNotStarted,   // a process could not be started
  kNotReady,     // a part did not answer in time
  kNotAccepted,  // the platform did not take a document
};

// The sums of a metric's samples over all label sets, by name.
using MetricSums = std::map<std::string, double>;

// Starts everything when asked and stops by id whatever is still running when
// it goes out of scope.
class Cluster {
 public:
  explicit Cluster(ClusterOptions options);
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;
  ~Cluster();

  // Starts the platform and workers, publishes, starts the hosts and waits
  // until all of them are ready.
  kernel::Result<std::monostate, ClusterFailure> TryStart();

  // Publishes a configuration with the next version.
  kernel::Result<std::monostate, ClusterFailure> TryPublish(
      const std::string& routing_policy);

  // Waits until every running host says that it is ready.
  kernel::Result<std::monostate, ClusterFailure> TryAwaitReady();

  const ClusterOptions& Options() const { return this->options; }
  const DeploymentAddresses& Addresses() const { return this->addresses; }

  // Indexes of a service's workers.
  std::vector<std::size_t> WorkersOf(const std::string& service) const;

  void ControlWorker(std::size_t worker, const nlohmann::json& controls) const;
  void ControlPlatform(const nlohmann::json& controls) const;
  void KillWorker(std::size_t worker);
  // `more` are further arguments, such as those of a cold start.
  void StartWorker(std::size_t worker,
                   const std::vector<std::string>& more = {});
  void SignalHost(std::size_t host, int number) const;
  void KillHost(std::size_t host);
  void StartHost(std::size_t host);
  // Lets the host send nothing to these peers and everything to the others.
  void CutLinks(std::size_t host, const std::vector<std::size_t>& peers) const;
  // Returns whether the host's process ended in time after SIGTERM.
  bool StopHost(std::size_t host);

  // Starts anew the workers that have ended by themselves; returns how many.
  int RestartEndedWorkers();

  // Tells whether a worker has ended, and its counts of runs with it.
  bool HasLostCounts() const { return this->has_lost_counts; }

  RunsByKey CollectRuns() const;
  // Sums of the numbers in the workers' counts.
  nlohmann::json CollectWorkerCounts() const;
  nlohmann::json CollectPlatformCounts() const;
  MetricSums CollectHostMetrics() const;
  // Over all hosts that run.
  ProcessUsage CollectHostUsage() const;

  // Asks every process to end, and kills those that have not in time.
  void Stop();

 private:
  std::optional<ChildProcess> StartProcess(
      const std::vector<std::string>& arguments, const std::string& name) const;
  bool TakePorts();
  // Writes an item of the store.
  bool TryPutItem(const std::string& key, const nlohmann::json& document) const;

  ClusterOptions options;
  std::optional<PortRange> ports;
  DeploymentAddresses addresses;
  std::uint64_t version = 0;
  std::optional<ChildProcess> platform;
  std::vector<std::optional<ChildProcess>> workers;
  std::vector<std::optional<ChildProcess>> hosts;
  bool has_lost_counts = false;
};

}  // namespace burdockwheel::stand_ins
