#include "stand_ins/experiment/cluster.h"

#include <csignal>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "stand_ins/common/http_client.h"
#include "stand_ins/experiment/metrics_text.h"

namespace burdockwheel::stand_ins {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kStartTimeout{20000};
constexpr std::chrono::milliseconds kStopTimeout{6000};
constexpr std::chrono::milliseconds kLookInterval{20};

// Where the store holds documents that `burdockwheel bundle` wrote.
constexpr const char* kConfigurationKey = "burdockwheel/configuration";

bool IsOk(const std::string& address, const char* target) {
  const auto reply = TryHttpRequest(address, "GET", target);
  return reply.HasValue() && reply.Value().status == 200;
}

bool Await(const std::function<bool()>& is_done) {
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  while (!is_done()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kLookInterval);
  }
  return true;
}

Json GetJson(const std::string& address, const char* target) {
  const auto reply = TryHttpRequest(address, "GET", target);
  if (!reply.HasValue()) return Json::object();
  Json json = Json::parse(reply.Value().body, nullptr, false);
  return json.is_object() ? json : Json::object();
}

double Milliseconds(std::chrono::microseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

Cluster::Cluster(ClusterOptions options)
    : options(std::move(options)),
      workers(static_cast<std::size_t>(this->options.deployment.WorkerCount())),
      hosts(static_cast<std::size_t>(this->options.deployment.entry_hosts)) {}

Cluster::~Cluster() { this->Stop(); }

std::optional<ChildProcess> Cluster::StartProcess(
    const std::vector<std::string>& arguments, const std::string& name) const {
  auto started = ChildProcess::TryStart(
      arguments, this->options.work_folder + "/" + name + ".log");
  if (!started.HasValue()) return std::nullopt;
  return std::move(started).Value();
}

bool Cluster::TakePorts() {
  int base_port = this->options.base_port;
  if (base_port == 0) {
    this->ports = PortRange::TakeOrNull();
    if (!this->ports) return false;
    base_port = this->ports->FirstPort();
  }
  this->addresses = AssignAddresses(this->options.deployment, base_port);
  return true;
}

kernel::Result<std::monostate, ClusterFailure> Cluster::TryStart() {
  if (!this->TakePorts()) return ClusterFailure::kNoPorts;
  this->platform =
      this->StartProcess({this->options.stand_ins_folder + "/platform_stand_in",
                          "--listen=" + this->addresses.platform},
                         "platform");
  if (!this->platform) return ClusterFailure::kNotStarted;
  for (std::size_t worker = 0; worker < this->workers.size(); ++worker)
    this->StartWorker(worker);
  if (!Await([this] { return IsOk(this->addresses.platform, "/counts"); }))
    return ClusterFailure::kNotReady;
  for (const auto& worker : this->addresses.workers) {
    if (!Await([&worker] { return IsOk(worker.address, "/load"); }))
      return ClusterFailure::kNotReady;
  }
  for (const auto& worker : this->addresses.workers) {
    const Json entry =
        WorkerEntryDocument(worker, this->options.deployment.worker_slots);
    if (!this->TryPutItem("servers/" + worker.address, entry))
      return ClusterFailure::kNotAccepted;
  }
  auto published = this->TryPublish("");
  if (!published.HasValue()) return published;
  for (std::size_t host = 0; host < this->hosts.size(); ++host)
    this->StartHost(host);
  return this->TryAwaitReady();
}

kernel::Result<std::monostate, ClusterFailure> Cluster::TryAwaitReady() {
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    if (!this->hosts[host]) return ClusterFailure::kNotStarted;
    const std::string& admin = this->addresses.entry_hosts[host].admin;
    if (!Await([&admin] { return IsOk(admin, "/ready"); }))
      return ClusterFailure::kNotReady;
  }
  return std::monostate();
}

bool Cluster::TryPutItem(const std::string& key, const Json& document) const {
  const auto reply = TryHttpRequest(this->addresses.platform, "PUT",
                                    "/items?key=" + key, document.dump());
  return reply.HasValue() && reply.Value().status == 204;
}

kernel::Result<std::monostate, ClusterFailure> Cluster::TryPublish(
    const std::string& routing_policy) {
  ++this->version;
  const Json document = ConfigurationDocument(this->options.deployment,
                                              this->version, routing_policy);
  if (!this->TryPutItem(kConfigurationKey, document))
    return ClusterFailure::kNotAccepted;
  return std::monostate();
}

std::vector<std::size_t> Cluster::WorkersOf(const std::string& service) const {
  std::vector<std::size_t> found;
  for (std::size_t at = 0; at < this->addresses.workers.size(); ++at) {
    if (this->addresses.workers[at].service == service) found.push_back(at);
  }
  return found;
}

void Cluster::ControlWorker(std::size_t worker, const Json& controls) const {
  (void)TryHttpRequest(this->addresses.workers[worker].address, "POST",
                       "/control", controls.dump());
}

void Cluster::ControlPlatform(const Json& controls) const {
  (void)TryHttpRequest(this->addresses.platform, "POST", "/control",
                       controls.dump());
}

void Cluster::KillWorker(std::size_t worker) {
  this->has_lost_counts = true;
  this->workers[worker].reset();
}

void Cluster::StartWorker(std::size_t worker,
                          const std::vector<std::string>& more) {
  std::vector<std::string> arguments = {
      this->options.stand_ins_folder + "/worker_stand_in",
      "--listen=" + this->addresses.workers[worker].address,
      "--slots=" + std::to_string(this->options.deployment.worker_slots),
      "--mean-ms=" +
          std::to_string(Milliseconds(this->options.mean_service_time)),
      "--law=" + this->options.service_time_law,
      "--seed=" + std::to_string(this->options.seed * 1000 + worker)};
  arguments.insert(arguments.end(), more.begin(), more.end());
  this->workers[worker] =
      this->StartProcess(arguments, "worker-" + std::to_string(worker));
}

void Cluster::SignalHost(std::size_t host, int number) const {
  if (this->hosts[host]) this->hosts[host]->Signal(number);
}

void Cluster::KillHost(std::size_t host) { this->hosts[host].reset(); }

void Cluster::StartHost(std::size_t host) {
  const auto& addresses_of_host = this->addresses.entry_hosts[host];
  const std::string path =
      this->options.work_folder + "/" + addresses_of_host.id + ".json";
  std::ofstream(path) << HostSettingsDocument(this->addresses,
                                              addresses_of_host,
                                              this->options.switched_off)
                             .dump(2);
  this->hosts[host] = this->StartProcess(
      {this->options.burdockwheel_path, "serve", path}, addresses_of_host.id);
}

void Cluster::CutLinks(std::size_t host,
                       const std::vector<std::size_t>& peers) const {
  Json cut = Json::array();
  for (const std::size_t peer : peers)
    cut.push_back(this->addresses.entry_hosts[peer].peer);
  (void)TryHttpRequest(this->addresses.entry_hosts[host].admin, "PUT",
                       "/test/cut-links", cut.dump());
}

bool Cluster::StopHost(std::size_t host) {
  if (!this->hosts[host]) return false;
  this->hosts[host]->Signal(SIGTERM);
  const bool has_ended = this->hosts[host]->TryWait(kStopTimeout);
  this->hosts[host].reset();
  return has_ended;
}

int Cluster::RestartEndedWorkers() {
  int restarted = 0;
  for (std::size_t worker = 0; worker < this->workers.size(); ++worker) {
    auto& process = this->workers[worker];
    if (!process || process->IsRunning()) continue;
    this->has_lost_counts = true;
    this->StartWorker(worker);
    ++restarted;
  }
  return restarted;
}

RunsByKey Cluster::CollectRuns() const {
  RunsByKey runs;
  for (const auto& worker : this->addresses.workers) {
    const Json counts = GetJson(worker.address, "/counts");
    if (!counts.contains("runs")) continue;
    for (const auto& [key, count] : counts.at("runs").items())
      runs[key] += count.get<int>();
  }
  return runs;
}

Json Cluster::CollectWorkerCounts() const {
  Json sums = Json::object();
  for (const auto& worker : this->addresses.workers) {
    const Json counts = GetJson(worker.address, "/counts");
    for (const auto& [name, value] : counts.items()) {
      if (!value.is_number_integer()) continue;
      const auto number = value.get<std::int64_t>();
      const auto sum = sums.value(name, std::int64_t{0});
      // Maxima of single workers do not add up.
      sums[name] =
          name.starts_with("most_") ? std::max(sum, number) : sum + number;
    }
  }
  return sums;
}

Json Cluster::CollectPlatformCounts() const {
  return GetJson(this->addresses.platform, "/counts");
}

MetricSums Cluster::CollectHostMetrics() const {
  MetricSums sums;
  for (const auto& host : this->addresses.entry_hosts) {
    const auto reply = TryHttpRequest(host.admin, "GET", "/metrics");
    if (reply.HasValue()) AddMetrics(reply.Value().body, &sums);
  }
  return sums;
}

ProcessUsage Cluster::CollectHostUsage() const {
  ProcessUsage sum;
  for (const auto& host : this->hosts) {
    const auto usage = host ? host->UsageOrNull() : std::nullopt;
    if (!usage) continue;
    sum.cpu += usage->cpu;
    sum.resident_bytes += usage->resident_bytes;
  }
  return sum;
}

void Cluster::Stop() {
  std::vector<ChildProcess*> open;
  for (auto& host : this->hosts) {
    if (host) open.push_back(&*host);
  }
  for (auto& worker : this->workers) {
    if (worker) open.push_back(&*worker);
  }
  if (this->platform) open.push_back(&*this->platform);
  for (ChildProcess* process : open) {
    // A process that is paused ends only after it goes on.
    process->Signal(SIGCONT);
    process->Signal(SIGTERM);
  }
  const auto end = std::chrono::steady_clock::now() + kStopTimeout;
  for (ChildProcess* process : open) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    if (!process->TryWait(left)) process->Kill();
  }
  for (auto& host : this->hosts) host.reset();
  for (auto& worker : this->workers) worker.reset();
  this->platform.reset();
}

}  // namespace burdockwheel::stand_ins
