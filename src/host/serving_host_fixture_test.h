// A host that serves callers, without peers and platform, for tests over
// loopback.
#pragma once

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "configuration/configuration_parser.h"
#include "host/serving_thread.h"
#include "http/loopback_fixture_test.h"
#include "model/worker_record.h"

namespace burdockwheel::host::testing {

// Runs a ServingThread until its planned stop is complete.
class ServingHost {
 public:
  // `document`: the configuration that is in force.
  ServingHost(settings::HostSettings host_settings, const std::string& document,
              const std::vector<model::WorkerRecord>& workers)
      : settings(std::move(host_settings)) {
    this->settings.host = {"host-1"};
    this->settings.failure_domain = {"fd-1"};
    const auto free = http::testing::FreeAddress();
    this->settings.caller_listen = *settings::TryParseIpEndpoint(free);
    this->serving = std::make_unique<ServingThread>(
        this->settings, model::Incarnation{1}, Hooks());
    BOOST_REQUIRE(this->serving->TryListen().HasValue());
    this->thread = std::thread([this] {
      this->serving->Run();
      this->is_gone = true;
      this->serving.reset();
    });
    auto parsed = configuration::ParseFleetConfiguration(document);
    BOOST_REQUIRE(parsed.HasValue());
    const auto in_force = std::make_shared<ConfigurationInForce>(
        std::make_shared<const model::FleetConfiguration>(
            std::move(parsed).Value()));
    BOOST_REQUIRE(
        this->serving->Inbox().TryPush(ConfigurationChanged{in_force}));
    BOOST_REQUIRE(this->serving->Inbox().TryPush(WorkersChanged{workers}));
    BOOST_REQUIRE(this->serving->Inbox().TryPush(ReadinessTold{true}));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }

  ServingHost(const ServingHost&) = delete;
  ServingHost& operator=(const ServingHost&) = delete;

  // Waits for the end of the stop, which BeginStop must have asked for.
  ~ServingHost() { this->thread.join(); }

  std::string Address() const { return this->settings.caller_listen.Text(); }
  void BeginStop() { this->serving->BeginStop(); }
  bool IsGone() const { return this->is_gone; }

 private:
  static ServingThread::Hooks Hooks() {
    ServingThread::Hooks hooks;
    hooks.record_change = [](const auto&) {};
    hooks.share_suspicion = [](const auto&) {};
    hooks.share_load = [](const auto&) {};
    hooks.show_readiness = [](const auto&) {};
    hooks.publish_report = [](const auto&) {};
    hooks.send_to_peer = [](const auto&, auto, const auto&) { return false; };
    hooks.announce_stop = [] {};
    hooks.announce_holders = [](const auto&) {};
    return hooks;
  }

  settings::HostSettings settings;
  std::unique_ptr<ServingThread> serving;
  std::atomic<bool> is_gone = false;
  std::thread thread;
};

}  // namespace burdockwheel::host::testing
