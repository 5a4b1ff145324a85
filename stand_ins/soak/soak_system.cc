#include "stand_ins/soak/soak_system.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "stand_ins/common/http_client.h"

namespace burdockwheel::stand_ins {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kStartTimeout{5000};
constexpr milliseconds kLookInterval{20};
constexpr std::size_t kSeedPeers = 3;
constexpr int kObjectiveMs = 400;

std::string VersionText(std::uint64_t version) {
  std::array<char, 9> text{};
  std::snprintf(text.data(), text.size(), "%08llx",
                static_cast<unsigned long long>(version));
  return text.data();
}

Json RouteDocument(std::string_view route, const std::string& service,
                   bool is_idempotent) {
  const std::string name(route);
  return {{"name", "r-" + name},
          {"kind", is_idempotent ? "idempotent" : "non_idempotent"},
          {"slo_ms", kObjectiveMs},
          {"priority", is_idempotent ? 2 : 0},
          {"match", {{"prefix", "/" + name + "/"}}},
          {"action",
           {{"service", service},
            {"timeout_ms", SoakSystem::kRouteTimeout.count()},
            {"attempts", SoakSystem::kAttempts}}}};
}

}  // namespace

SoakSystem::SoakSystem(boost::asio::io_context& context, const SoakPlan& plan,
                       SoakPaths paths, std::uint64_t seed)
    : context(context),
      plan(plan),
      paths(std::move(paths)),
      seed(seed),
      ledger(kGrace) {}

SoakSystem::~SoakSystem() {
  for (auto& host : this->hosts) host.process.reset();
  this->store.reset();
}

std::string SoakSystem::ServiceName(int service) {
  return "service-" + std::to_string(service);
}

std::string SoakSystem::DomainOf(std::size_t index) const {
  return "domain-" + std::to_string(index % static_cast<std::size_t>(
                                                this->plan.failure_domains));
}

std::string SoakSystem::SettingsPath(std::size_t host) const {
  return this->paths.work_folder + "/host-" + std::to_string(host) + ".json";
}

int SoakSystem::TakePort() {
  if (this->ports_left == 0) {
    auto range = PortRange::TakeOrNull();
    if (!range) return 0;
    this->next_port = range->FirstPort();
    this->ports_left = PortRange::kPorts - 1;
    this->port_ranges.push_back(std::move(*range));
  }
  this->ports_left -= 1;
  return this->next_port++;
}

std::string SoakSystem::TakeAddress() {
  return "127.0.0.1:" + std::to_string(this->TakePort());
}

bool SoakSystem::TryStart() {
  if (!this->TryStartStore()) return false;
  const int places = this->plan.services * this->plan.workers_per_service;
  this->workers.resize(static_cast<std::size_t>(places));
  for (std::size_t place = 0; place < this->workers.size(); ++place) {
    auto& worker = this->workers[place];
    const std::string own = this->TakeAddress();
    worker.address = this->TakeAddress();
    worker.failure_domain = this->DomainOf(place);
    worker.relay =
        std::make_unique<StreamRelay>(this->context, worker.address, own);
    worker.worker = std::make_unique<SoakWorker>(
        this->context, own, this->ledger, this->seed * 1000 + place);
    const int service = static_cast<int>(place) % this->plan.services;
    if (!this->BeginWorker(place, ServiceName(service))) return false;
  }
  this->MoveRoute();
  this->hosts.resize(static_cast<std::size_t>(this->plan.hosts));
  for (std::size_t host = 0; host < this->hosts.size(); ++host)
    this->MakeHost(host);
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    if (!this->TryStartHost(host)) return false;
  }
  return true;
}

bool SoakSystem::TryStartStore() {
  this->store_address = this->TakeAddress();
  auto started =
      ChildProcess::TryStart({this->paths.stand_ins + "/platform_stand_in",
                              "--listen=" + this->store_address},
                             this->paths.work_folder + "/store.log");
  if (!started.HasValue()) return false;
  this->store = std::move(started).Value();
  const auto end = steady_clock::now() + kStartTimeout;
  while (steady_clock::now() < end) {
    const auto reply = TryHttpRequest(this->store_address, "GET", "/counts");
    if (reply.HasValue()) return true;
    std::this_thread::sleep_for(kLookInterval);
  }
  return false;
}

void SoakSystem::MakeHost(std::size_t host) {
  auto& made = this->hosts[host];
  const std::string caller = this->TakeAddress();
  const std::string peer = this->TakeAddress();
  const std::string peer_relay = this->TakeAddress();
  const std::string store = this->TakeAddress();
  made.caller_address = this->TakeAddress();
  made.admin_address = this->TakeAddress();
  made.callers =
      std::make_unique<StreamRelay>(this->context, made.caller_address, caller);
  made.peer_streams =
      std::make_unique<StreamRelay>(this->context, peer_relay, peer);
  made.peer_datagrams =
      std::make_unique<DatagramRelay>(this->context, peer_relay, peer);
  made.store =
      std::make_unique<StreamRelay>(this->context, store, this->store_address);
  if (this->seeds.size() < kSeedPeers) this->seeds.push_back(peer_relay);
  this->WriteSettings(host, caller, peer, peer_relay, store);
}

void SoakSystem::WriteSettings(std::size_t host, const std::string& caller,
                               const std::string& peer,
                               const std::string& peer_relay,
                               const std::string& store) const {
  const Json settings = {
      {"host", "host-" + std::to_string(host)},
      {"failure_domain", this->DomainOf(host)},
      {"caller_listen", caller},
      {"admin_listen", this->hosts[host].admin_address},
      {"peer_listen", peer},
      {"peer_advertise", peer_relay},
      {"platform", {{"kind", "store"}, {"address", store}}},
      {"message_conventions", "platform"},
      {"load_interval_ms", 100},
      {"seed_peers", this->seeds},
      {"fleet_retry",
       {{"share", PromiseLedger::kRetryRatio},
        {"slack", PromiseLedger::kRetrySlack},
        {"levels", 1}}},
      {"stop", {{"grace_s", std::chrono::duration<double>(kGrace).count()}}}};
  std::ofstream(this->SettingsPath(host)) << settings.dump(2);
}

bool SoakSystem::TryStartHost(std::size_t host) {
  auto& started = this->hosts[host];
  auto process = ChildProcess::TryStart(
      {this->paths.burdockwheel, "serve", this->SettingsPath(host)},
      this->paths.work_folder + "/host-" + std::to_string(host) + ".log");
  if (!process.HasValue()) return false;
  started.process = std::move(process).Value();
  started.is_stopping = false;
  started.is_down = false;
  this->ledger.HostStarted(host);
  return true;
}

bool SoakSystem::TryPut(const std::string& key, const Json& document) const {
  const auto reply = TryHttpRequest(this->store_address, "PUT",
                                    "/items?key=" + key, document.dump());
  constexpr int kDone = 204;
  return reply.HasValue() && reply.Value().status == kDone;
}

void SoakSystem::ControlStore(const Json& controls) const {
  (void)TryHttpRequest(this->store_address, "POST", "/control",
                       controls.dump());
}

void SoakSystem::MoveRoute() {
  this->version += 1;
  const int moved = static_cast<int>(this->version) % this->plan.services;
  const std::map<std::string, std::string> services = {
      {std::string(kReadRoute), ServiceName(0)},
      {std::string(kBookRoute), ServiceName(1)},
      {std::string(kMoveRoute), ServiceName(moved)}};
  Json upstreams = Json::array();
  for (int service = 0; service < this->plan.services; ++service) {
    upstreams.push_back({{"name", ServiceName(service)},
                         {"health_path", SoakWorker::kHealthPath},
                         {"max_conns", 200},
                         {"protocol", "h1"},
                         {"tls", false}});
  }
  const Json document = {
      {"version", VersionText(this->version)},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 1 << 20},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"listeners",
       Json::array(
           {{{"host", "soak.example"},
             {"policy",
              Json::array(
                  {RouteDocument(kReadRoute, services.at("read"), true),
                   RouteDocument(kBookRoute, services.at("book"), false),
                   RouteDocument(kMoveRoute, services.at("move"), true)})}}})},
      {"upstreams", upstreams}};
  this->ledger.ConfigurationSent(this->version, services);
  if (this->TryPut("op/config", document))
    this->ledger.ConfigurationAcknowledged(steady_clock::now(), this->version);
}

bool SoakSystem::BeginWorker(std::size_t place, const std::string& service) {
  auto& begun = this->workers[place];
  begun.is_leaving = false;
  begun.sequence = 0;
  this->lives += 1;
  begun.born = this->lives;
  if (!begun.worker->TryBegin("w-" + std::to_string(this->lives), service))
    return false;
  this->PublishWorker(place, "ready");
  return true;
}

void SoakSystem::PublishWorker(std::size_t place, std::string_view state) {
  auto& published = this->workers[place];
  published.sequence += 1;
  const Json entry = {{"service", published.worker->Service()},
                      {"address", published.address},
                      {"zone", published.failure_domain},
                      {"version", "v1"},
                      {"concurrency", SoakWorker::kSlots},
                      {"state", state},
                      {"warmup_ms", 0},
                      {"born", published.born},
                      {"seq", published.sequence}};
  (void)this->TryPut("servers/" + published.worker->Name(), entry);
}

void SoakSystem::WithdrawWorker(std::size_t place) const {
  (void)TryHttpRequest(
      this->store_address, "DELETE",
      "/items?key=servers/" + this->workers[place].worker->Name());
}

int SoakSystem::CountStaying(const std::string& service) const {
  int count = 0;
  for (const auto& place : this->workers) {
    const bool is_staying = place.worker->IsAlive() && !place.is_leaving &&
                            place.worker->Service() == service;
    if (is_staying) count += 1;
  }
  return count;
}

}  // namespace burdockwheel::stand_ins
