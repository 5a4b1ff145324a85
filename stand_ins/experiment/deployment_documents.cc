#include "stand_ins/experiment/deployment_documents.h"

#include <nlohmann/json.hpp>

namespace burdockwheel::stand_ins {
namespace {

using Json = nlohmann::json;

constexpr int kCallDeadlineMs = 4000;
constexpr std::chrono::milliseconds kCallerTimeout{6000};
constexpr std::size_t kMostSeedPeers = 5;

std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

std::string DomainOf(const Deployment& deployment, int index) {
  return "fd-" + std::to_string(index % deployment.failure_domains + 1);
}

Json ServiceDocument(const DeployedService& service, int worker_slots,
                     const std::string& routing_policy) {
  Json calls = Json::array();
  for (const DeployedKind& kind : service.kinds) {
    calls.push_back({{"name", kind.name},
                     {"method", kind.method},
                     {"path", kind.path_pattern},
                     {"idempotent", kind.is_idempotent},
                     {"deadline_ms", kCallDeadlineMs}});
  }
  Json document{{"service", service.name},
                {"worker", {{"slots", worker_slots}}},
                {"calls", calls}};
  if (!routing_policy.empty()) document["routing"]["policy"] = routing_policy;
  return document;
}

}  // namespace

DeploymentAddresses AssignAddresses(const Deployment& deployment,
                                    int base_port) {
  int port = base_port;
  DeploymentAddresses addresses;
  addresses.platform = Loopback(port++);
  for (int host = 0; host < deployment.entry_hosts; ++host) {
    addresses.entry_hosts.push_back({"host-" + std::to_string(host + 1),
                                     DomainOf(deployment, host), Loopback(port),
                                     Loopback(port + 1), Loopback(port + 2)});
    port += 3;
  }
  for (const DeployedService& service : deployment.services) {
    for (int worker = 0; worker < service.workers; ++worker) {
      addresses.workers.push_back(
          {Loopback(port++), service.name, DomainOf(deployment, worker)});
    }
  }
  return addresses;
}

Json HostSettingsDocument(const DeploymentAddresses& addresses,
                          const DeploymentAddresses::EntryHost& host,
                          const std::vector<std::string>& switched_off) {
  Json seeds = Json::array();
  for (const auto& peer : addresses.entry_hosts) {
    if (peer.id != host.id && seeds.size() < kMostSeedPeers)
      seeds.push_back(peer.peer);
  }
  return {
      {"host", host.id},
      {"failure_domain", host.failure_domain},
      {"caller_listen", host.caller},
      {"admin_listen", host.admin},
      {"peer_listen", host.peer},
      {"platform", {{"kind", "store"}, {"address", addresses.platform}}},
      {"peer_keys",
       Json::array({{{"id", 1}, {"secret", std::string(64, '7')}}})},
      {"seed_peers", seeds},
      {"stop", {{"announce_ms", 200}, {"most_wait_ms", 3000}}},
      {"log_level", "warning"},
      {"test_hooks", true},
      {"test", {{"switched_off", switched_off}}},
  };
}

Json ConfigurationDocument(const Deployment& deployment, std::uint64_t version,
                           const std::string& routing_policy) {
  Json services = Json::array();
  for (const DeployedService& service : deployment.services) {
    services.push_back(
        ServiceDocument(service, deployment.worker_slots, routing_policy));
  }
  return {{"version", version},
          {"most_entry_hosts", deployment.most_entry_hosts},
          {"services", services}};
}

Json WorkerEntryDocument(const DeploymentAddresses::Worker& worker,
                         int worker_slots) {
  return {{"service", worker.service},
          {"address", worker.address},
          {"zone", worker.failure_domain},
          {"version", "v1"},
          {"concurrency", worker_slots},
          {"state", "ready"},
          {"warmup_ms", 0},
          {"seq", 1}};
}

LoadPlan DeploymentLoadPlan(const Deployment& deployment,
                            const DeploymentAddresses& addresses, double rate) {
  LoadPlan plan;
  plan.rate = rate;
  plan.threads = 2;
  for (const auto& host : addresses.entry_hosts)
    plan.entry_hosts.push_back(host.caller);
  for (const auto& worker : addresses.workers)
    plan.workers.push_back({worker.address, worker.service});
  for (const DeployedService& service : deployment.services) {
    for (const DeployedKind& deployed : service.kinds) {
      LoadKind kind;
      kind.name = deployed.name;
      kind.share = static_cast<double>(service.workers) /
                   static_cast<double>(service.kinds.size());
      kind.method = deployed.method;
      kind.path = deployed.path;
      kind.service = service.name;
      kind.request_bytes = deployed.request_bytes;
      kind.answer_bytes = deployed.answer_bytes;
      kind.is_keyed = !deployed.is_idempotent;
      kind.timeout = kCallerTimeout;
      plan.kinds.push_back(kind);
    }
  }
  return plan;
}

}  // namespace burdockwheel::stand_ins
