// Brings the published configuration to this host, and from it to its peers.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "configuration/configuration_acceptor.h"
#include "kernel/instant.h"
#include "membership/member_store.h"
#include "spread/actions.h"
#include "spread/events.h"
#include "spread/publication_fetch.h"
#include "spread/publication_server.h"
#include "spread/spread_settings.h"

namespace burdockwheel::spread {

// A few hosts of each failure domain watch the service; the others learn of a
// version from heartbeats and fetch from the peer that has it what changed.
// Every host also reads the service at a slow rate. Pure: the same events at
// the same times with the same seed give the same actions.
//
// Whoever feeds it hands TimerFired to the MembershipTable first whenever the
// process wakes, so that a pause is known before an event is acted on.
class ConfigurationSpread {
 public:
  static constexpr std::chrono::milliseconds kWatchWait{25'000};
  // Between the beginnings of two reads, whatever the service answers.
  static constexpr std::chrono::milliseconds kReadSpacing{200};
  // The same after a read that failed or brought nothing acceptable; up to
  // twice as long, at random.
  static constexpr std::chrono::milliseconds kRetrySpacing{1000};
  // Between the reads of a host that does not watch: half to one and a half.
  static constexpr std::chrono::milliseconds kFallbackInterval{10'000};
  static constexpr std::chrono::milliseconds kFetchTimeout{400};
  // How long a host waits for a peer to confirm what it holds, at the start and
  // after a pause, before it takes calls.
  static constexpr std::chrono::milliseconds kConfirmTimeout{2000};
  // How long a publication that was refused is not asked for again.
  static constexpr std::chrono::milliseconds kRefusalMemory{30'000};

  explicit ConfigurationSpread(const SpreadSettings& settings);

  // Takes one event and appends what is to be done to `actions`. `now` never
  // falls from one event to the next. The first event should be TimerFired.
  void Handle(kernel::Instant now, const Event& event, Actions& actions);

  // Tells whether calls may be taken: a configuration is in force, and a peer
  // confirmed it since the start and the last pause, or none could.
  bool IsReady() const { return this->is_ready; }
  bool IsWatching() const { return this->IsReaderNow(); }
  const configuration::ConfigurationAcceptor& Acceptor() const {
    return this->acceptor;
  }

 private:
  struct Holder {
    std::string host;
    configuration::ConfigurationStamp stamp;
  };

  void HandleEvent(kernel::Instant now, const TimerFired& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const ServiceDocumentRead& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const ServiceUnchanged& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const ServiceReadFailed& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const DocumentPublished& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const RequestArrived& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const PartArrived& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const LeaveBegun& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const ContactEstablished& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const MemberChanged& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const PauseDetected& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const StampReceived& event,
                   Actions& actions);

  // The service.
  bool IsReaderNow() const;
  void ReadIfDue(kernel::Instant now, Actions& actions);
  void EndRead(kernel::Instant now, bool is_useful);
  std::uint64_t ReadAfter(kernel::Instant now) const;

  // Peers.
  bool IsWanted(kernel::Instant now,
                const configuration::ConfigurationStamp& stamp) const;
  void FetchIfWanted(kernel::Instant now, Actions& actions);
  void StartFetch(kernel::Instant now, const std::string& address,
                  const Holder& holder, bool is_whole, Actions& actions);
  void SendRequest(kernel::Instant now, Actions& actions);
  void CompleteFetch(kernel::Instant now, Actions& actions);

  // Acceptance.
  configuration::AcceptanceRecord Offer(
      kernel::Instant now, const std::string& document,
      const configuration::ConfigurationSource& source,
      const std::optional<configuration::ConfigurationStamp>& claimed,
      Actions& actions);
  static void Note(const configuration::AcceptanceRecord& record,
                   Actions& actions);
  void RememberRefusal(kernel::Instant now,
                       const configuration::ConfigurationStamp& stamp);

  // Readiness.
  void BeginConfirmation(kernel::Instant now);
  void UpdateReadiness(kernel::Instant now, Actions& actions);

  bool IsConfirmationDue() const;
  kernel::Instant NextWakeUp() const;
  kernel::Instant::duration Jittered(std::chrono::milliseconds base);

  SpreadSettings settings;
  std::mt19937_64 random;
  configuration::ConfigurationAcceptor acceptor;
  PublicationServer server;

  std::map<std::uint64_t, std::string> domain_by_alive_peer;  // by incarnation
  bool is_leaving = false;

  bool is_reading = false;
  kernel::Instant read_begin;
  kernel::Instant next_watch;
  kernel::Instant next_fallback;
  // A version of the service that was refused as invalid, until a time.
  std::uint64_t refused_version = 0;
  kernel::Instant refused_version_until;

  // The highest stamp that a peer told of, whether it could be fetched or not.
  configuration::ConfigurationStamp newest_heard;
  std::map<std::string, Holder> holders;  // of higher stamps, by address
  std::optional<PublicationFetch> fetch;
  std::vector<std::pair<configuration::ConfigurationStamp, kernel::Instant>>
      refused_stamps;  // and until when each is not asked for

  bool is_started = false;
  bool has_contact = false;
  bool is_confirmed = false;
  kernel::Instant confirm_deadline;
  bool is_ready = false;
};

}  // namespace burdockwheel::spread
