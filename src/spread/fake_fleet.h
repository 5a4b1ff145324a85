// Hosts joined by a fake network and a fake configuration service, for tests.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "configuration/configuration_stamp.h"
#include "kernel/instant.h"
#include "membership/membership_table.h"
#include "spread/configuration_spread.h"

namespace burdockwheel::spread {

struct FakeFleetSettings {
  std::size_t host_count = 19;
  std::size_t domain_count = 3;
  std::uint64_t seed = 1;
  double loss = 0.01;  // of messages between hosts
  SpreadProtections spread_protections;
  membership::MembershipProtections membership_protections;
};

// Runs the real decision code of every host in logical time.
class FakeFleet {
 public:
  using Instant = kernel::Instant;

  struct Host {
    std::unique_ptr<membership::MembershipTable> membership;
    std::unique_ptr<ConfigurationSpread> spread;
    std::string address;
    std::size_t domain = 0;
    std::uint64_t life = 0;  // events of earlier lives are dropped
    bool is_up = false;
    Instant paused_until;
    Instant next_wake_up;          // of the spread
    Instant next_period;           // of the membership
    std::uint64_t bytes_sent = 0;  // bodies to peers
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t service_reads = 0;
    configuration::ConfigurationStamp stamp;
    Instant in_force_since;
    bool has_gone_back = false;
    std::optional<Instant> hint_heard;  // the first word of a crash
    std::vector<std::string> causes;    // of the changes of the configuration
    std::optional<std::uint64_t> watch_after;  // a waiting watch
    std::uint64_t watch_number = 0;
  };

  explicit FakeFleet(const FakeFleetSettings& settings);

  // Starts a host anew; it finds the others through the platform's list.
  void Start(std::size_t index);
  void StartAll();
  void Kill(std::size_t index) { this->hosts[index].is_up = false; }
  // Nothing happens on the host until then.
  void Pause(std::size_t index, std::chrono::milliseconds length);
  void Run(std::chrono::milliseconds length);

  // Has a host suspect a call of crashing a worker.
  void RaiseCrashHint(std::size_t index);

  // Puts a document on the service.
  void Publish(std::uint64_t version, std::string document);

  // Returns the time from `since` until every host that is up had this version
  // in force, or nothing if one has not.
  std::optional<std::chrono::milliseconds> TimeToForce(std::uint64_t version,
                                                       Instant since) const;
  // The same for each host, in ascending order.
  std::vector<std::chrono::milliseconds> TimesToForce(std::uint64_t version,
                                                      Instant since) const;

  std::vector<Host> hosts;
  Instant now{std::chrono::hours(1)};
  // Tells whether the message is lost in a cut.
  std::function<bool(std::size_t from, std::size_t to)> is_cut;
  // Tells whether the service is out of the host's reach.
  std::function<bool(std::size_t host)> is_service_cut;
  // The document that the service gives to this host, if not the newest.
  std::function<std::optional<std::string>(std::size_t host)> stale_document;

 private:
  struct Step {
    Instant time;
    std::uint64_t order = 0;  // of equal times
    std::size_t host = 0;
    std::uint64_t life = 0;
    std::function<void(Host& host)> run;
    bool operator>(const Step& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  void At(Instant time, std::size_t host, std::function<void(Host&)> run);
  void HandOver(std::size_t index, const membership::Event& event);
  void HandOver(std::size_t index, const Event& event);
  void Send(std::size_t from, const std::string& address,
            std::function<void(std::size_t from, std::size_t to)> deliver,
            std::size_t bytes);
  void SendToPeer(std::size_t from, const SendMessage& message);
  void Read(std::size_t index, const ReadService& read);
  void AnswerRead(std::size_t index);
  void TakeInForce(std::size_t index, const ConfigurationInForce& action);
  std::optional<std::size_t> HostAt(const std::string& address) const;
  std::chrono::microseconds Delay(std::size_t from, std::size_t to);

  FakeFleetSettings settings;
  std::mt19937_64 random;
  std::priority_queue<Step, std::vector<Step>, std::greater<>> steps;
  std::uint64_t last_order = 0;
  std::uint64_t last_incarnation = 0;
  std::uint64_t service_version = 0;
  std::string service_document;
};

// Returns a fleet that has run for a minute with version 1 in force. Checks
// that each host is ready and knows all others.
FakeFleet StartedFleet(const FakeFleetSettings& settings);

// Returns a document of so many services of the size of real ones.
std::string FakeDocument(std::uint64_t version, std::size_t service_count,
                         int deadline_ms = 1000);

}  // namespace burdockwheel::spread
