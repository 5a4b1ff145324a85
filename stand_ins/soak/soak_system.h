// The system under a soak: hosts as processes, and all around them on loopback.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "stand_ins/experiment/child_process.h"
#include "stand_ins/experiment/port_range.h"
#include "stand_ins/soak/datagram_relay.h"
#include "stand_ins/soak/promise_ledger.h"
#include "stand_ins/soak/soak_plan.h"
#include "stand_ins/soak/soak_worker.h"
#include "stand_ins/soak/stream_relay.h"

namespace burdockwheel::stand_ins {

struct SoakPaths {
  std::string burdockwheel;  // the product's binary
  std::string stand_ins;     // the folder of the stand-ins' binaries
  std::string work_folder;   // for settings and logs; must exist
};

// A host with the relays through which others reach it and it reaches them.
struct SoakHost {
  std::string caller_address;  // of the relay
  std::string admin_address;
  std::unique_ptr<StreamRelay> callers;
  std::unique_ptr<StreamRelay> peer_streams;
  std::unique_ptr<DatagramRelay> peer_datagrams;
  std::unique_ptr<StreamRelay> store;
  std::optional<ChildProcess> process;
  bool is_stopping = false;  // SIGTERM was sent
  bool is_down = false;      // and is started again by whoever killed it
};

// A worker with the relay through which hosts reach it.
struct SoakWorkerPlace {
  std::string address;  // of the relay
  std::string failure_domain;
  std::unique_ptr<StreamRelay> relay;
  std::unique_ptr<SoakWorker> worker;
  std::uint64_t sequence = 0;
  std::uint64_t born = 0;
  bool is_leaving = false;
};

// Runs on the io_context's thread; calls to the store's stand-in block it for
// less than a millisecond.
class SoakSystem {
 public:
  static constexpr std::chrono::milliseconds kGrace{3000};
  static constexpr std::string_view kReadRoute = "read";
  static constexpr std::string_view kBookRoute = "book";
  static constexpr std::string_view kMoveRoute = "move";
  static constexpr std::chrono::milliseconds kRouteTimeout{1500};
  static constexpr int kAttempts = 2;

  SoakSystem(boost::asio::io_context& context, const SoakPlan& plan,
             SoakPaths paths, std::uint64_t seed);
  ~SoakSystem();
  SoakSystem(const SoakSystem&) = delete;
  SoakSystem& operator=(const SoakSystem&) = delete;

  // Starts the store, workers and hosts; false if a part cannot be started.
  [[nodiscard]] bool TryStart();

  std::vector<SoakHost>& Hosts() { return this->hosts; }
  std::vector<SoakWorkerPlace>& Workers() { return this->workers; }
  PromiseLedger& Ledger() { return this->ledger; }
  boost::asio::io_context& Context() { return this->context; }
  int ServiceCount() const { return this->plan.services; }

  bool TryStartHost(std::size_t host);
  // Publishes the next configuration, which moves a route.
  void MoveRoute();
  void ControlStore(const nlohmann::json& controls) const;
  // Begins a new life at the place and publishes it.
  bool BeginWorker(std::size_t place, const std::string& service);
  void PublishWorker(std::size_t place, std::string_view state);
  void WithdrawWorker(std::size_t place) const;
  // Tells how many workers of the service are alive and do not leave.
  int CountStaying(const std::string& service) const;

  static std::string ServiceName(int service);

 private:
  int TakePort();
  std::string TakeAddress();
  bool TryStartStore();
  void MakeHost(std::size_t host);
  void WriteSettings(std::size_t host, const std::string& caller,
                     const std::string& peer, const std::string& peer_relay,
                     const std::string& store) const;
  bool TryPut(const std::string& key, const nlohmann::json& document) const;
  std::string DomainOf(std::size_t index) const;
  std::string SettingsPath(std::size_t host) const;

  boost::asio::io_context& context;
  SoakPlan plan;
  SoakPaths paths;
  std::uint64_t seed;
  PromiseLedger ledger;
  std::vector<PortRange> port_ranges;
  int next_port = 0;
  int ports_left = 0;
  std::string store_address;
  std::optional<ChildProcess> store;
  std::vector<std::string> seeds;
  std::vector<SoakHost> hosts;
  std::vector<SoakWorkerPlace> workers;
  std::uint64_t version = 0;
  std::uint64_t lives = 0;
};

}  // namespace burdockwheel::stand_ins
