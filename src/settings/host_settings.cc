#include "settings/host_settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

#include "configuration/located_json.h"
#include "configuration/object_reader.h"

namespace burdockwheel::settings {

namespace {

using configuration::ConfigurationFaults;
using configuration::FaultReason;
using configuration::NameForm;
using configuration::ObjectReader;
using configuration::Presence;
using configuration::Range;
using configuration::StringForm;

constexpr std::size_t kMostSettingsBytes = 64'000;
constexpr Range kSeedPeersRange{0, 256};
constexpr Range kSwitchedOffRange{0, 8};
constexpr Range kKeyCountRange{1, 2};
constexpr Range kKeyIdRange{0, std::numeric_limits<std::uint32_t>::max()};
constexpr Range kKeyLifetimeRange{1000, 86'400'000};  // milliseconds
constexpr Range kKeysRange{1, 10'000'000};
constexpr Range kAnswerBytesRange{0, std::int64_t{1} << 32U};
constexpr Range kMemoryRange{32, 1'048'576};  // MiB
constexpr Range kBodyBytesRange{1024, std::int64_t{64} << 20U};
constexpr Range kConnectTimeoutRange{1, 10'000};  // milliseconds
constexpr Range kLoadIntervalRange{0, 60'000};    // milliseconds
constexpr Range kAnnounceRange{0, 60'000};        // milliseconds
constexpr Range kWatchWaitRange{100, 30'000};     // milliseconds
constexpr Range kStopWaitRange{0, 600'000};       // milliseconds
constexpr double kMostRetryShare = 1;
constexpr double kMostRetrySlack = 100'000;
constexpr double kMaxHedgeShare = 1;
constexpr double kMaxWarmUpExcess = 1'000;
constexpr double kMaxWarmUpSlack = 100'000;
constexpr Range kRetryLevelsRange{1, 16};
constexpr double kMostGraceSeconds = 3600;
constexpr std::chrono::duration<double> kSecond{1};
// The share of the grace time in which every call is taken: the balancer looks
// elsewhere within two of its questions, a second apart.
constexpr double kAnnounceShare = 0.5;
// The process is gone this long before it would be killed.
constexpr std::chrono::milliseconds kEndMargin{250};
constexpr Range kAuditEntriesRange{16, 1'000'000};
constexpr Range kLogLinesRange{10, 100'000};
constexpr Range kSeedRange{0, std::numeric_limits<std::int64_t>::max()};
constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info",
                                                        "warning", "error"};

bool IsListenAddress(std::string_view text) {
  return TryParseIpEndpoint(text).has_value();
}

bool IsTargetAddress(std::string_view text) {
  const auto endpoint = TryParseIpEndpoint(text);
  return endpoint && endpoint->port != 0 && !endpoint->IsWildcard();
}

const StringForm& ListenForm() {
  static const StringForm kForm{IsListenAddress,
                                "an IP number and port, such as 0.0.0.0:8080"};
  return kForm;
}

const StringForm& TargetForm() {
  static const StringForm kForm{
      IsTargetAddress,
      "the IP number and port of one host, such as 10.0.0.7:8080"};
  return kForm;
}

const StringForm& SecretForm() {
  static const StringForm kForm{
      [](std::string_view text) {
        return text.size() == 2 * peer::EnvelopeKey::kBytes &&
               std::ranges::all_of(text, [](char character) {
                 return (character >= '0' && character <= '9') ||
                        (character >= 'a' && character <= 'f');
               });
      },
      "64 hexadecimal digits in lower case, which are 32 bytes"};
  return kForm;
}

const StringForm& HeaderForm() {
  static const StringForm kForm{
      [](std::string_view text) {
        // A token of RFC 9110, section 5.6.2.
        static constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
        return !text.empty() && text.size() <= 64 &&
               std::ranges::all_of(text, [](char character) {
                 return (character >= '0' && character <= '9') ||
                        (character >= 'a' && character <= 'z') ||
                        (character >= 'A' && character <= 'Z') ||
                        kMarks.find(character) != std::string_view::npos;
               });
      },
      "the name of an HTTP header"};
  return kForm;
}

const StringForm& LogLevelForm() {
  static const StringForm kForm{[](std::string_view text) {
                                  return std::ranges::find(kLogLevels, text) !=
                                         kLogLevels.end();
                                },
                                "debug, info, warning or error"};
  return kForm;
}

void ReadEndpoint(ObjectReader& reader, std::string_view key,
                  const StringForm& form, IpEndpoint& target) {
  std::string text;
  reader.ReadString(key, form, text, Presence::kRequired);
  if (const auto endpoint = TryParseIpEndpoint(text)) target = *endpoint;
}

peer::EnvelopeKey ReadPeerKey(ObjectReader& reader) {
  std::uint64_t id = 0;
  std::string secret;
  reader.ReadUnsigned("id", kKeyIdRange, id, Presence::kRequired);
  reader.ReadString("secret", SecretForm(), secret, Presence::kRequired);
  reader.Finish();
  peer::EnvelopeKey key;
  key.id = static_cast<std::uint32_t>(id);
  for (std::size_t index = 0; 2 * index < secret.size(); ++index) {
    const char* digits = secret.data() + 2 * index;
    std::from_chars(digits, digits + 2, key.secret[index], 16);
  }
  return key;
}

void ReadPeerKeys(ObjectReader& reader,
                  std::optional<peer::EnvelopeKeys>& target) {
  auto readers = reader.ReadObjects("peer_keys", kKeyCountRange);
  if (readers.empty()) return;
  auto& keys = target.emplace();
  keys.current = ReadPeerKey(readers[0]);
  if (readers.size() < 2) return;
  keys.accepted = ReadPeerKey(readers[1]);
  if (keys.accepted->id != keys.current.id) return;
  readers[1].AddFault(FaultReason::kDuplicateName, "id", "an id of its own");
}

void ReadListenAddresses(ObjectReader& reader, HostSettings& settings) {
  ReadEndpoint(reader, "caller_listen", ListenForm(), settings.caller_listen);
  ReadEndpoint(reader, "admin_listen", ListenForm(), settings.admin_listen);
  ReadEndpoint(reader, "peer_listen", ListenForm(), settings.peer_listen);
  std::string advertise;
  reader.ReadString("peer_advertise", TargetForm(), advertise);
  settings.peer_advertise = TryParseIpEndpoint(advertise);
  std::string metrics;
  reader.ReadString("metrics_listen", ListenForm(), metrics);
  settings.metrics_listen = TryParseIpEndpoint(metrics);
  if (settings.peer_listen.IsWildcard() && !reader.Has("peer_advertise")) {
    reader.AddFault(FaultReason::kMissing, "peer_advertise",
                    "the address that peers reach, since peer_listen stands "
                    "for every address");
  }
  const std::array<std::pair<std::string_view, const IpEndpoint*>, 3> all = {
      {{"caller_listen", &settings.caller_listen},
       {"admin_listen", &settings.admin_listen},
       {"peer_listen", &settings.peer_listen}}};
  for (std::size_t index = 1; index < all.size(); ++index) {
    if (all[index].second->port == 0) continue;
    const bool is_taken =
        std::any_of(all.begin(), all.begin() + static_cast<int>(index),
                    [&all, index](const auto& other) {
                      return other.second->port == all[index].second->port;
                    });
    if (!is_taken) continue;
    reader.AddFault(FaultReason::kDuplicateName, all[index].first,
                    "a port of its own");
  }
}

void ReadPlatform(ObjectReader& reader, PlatformSettings& platform) {
  auto object = reader.TryReadObject("platform", Presence::kRequired);
  if (!object) return;
  object->ReadString("kind", NameForm(), platform.kind);
  ReadEndpoint(*object, "address", TargetForm(), platform.address);
  object->ReadDuration("watch_wait_ms", kWatchWaitRange, platform.watch_wait);
  object->ReadBoolean("shared_reading", platform.is_shared);
  object->Finish();
}

void ReadStop(ObjectReader& reader, StopSettings& stop) {
  auto object = reader.TryReadObject("stop");
  if (!object) return;
  double grace = 0;
  object->ReadNumber("grace_s", 0, kMostGraceSeconds, grace);
  if (grace > 0) {
    const std::chrono::duration<double, std::milli> whole = grace * kSecond;
    stop.announce = std::chrono::duration_cast<std::chrono::milliseconds>(
        whole * kAnnounceShare);
    stop.most_wait = std::chrono::duration_cast<std::chrono::milliseconds>(
                         whole * (1 - kAnnounceShare)) -
                     kEndMargin;
    stop.most_wait = std::max(stop.most_wait, std::chrono::milliseconds(0));
  }
  object->ReadDuration("announce_ms", kAnnounceRange, stop.announce);
  object->ReadDuration("most_wait_ms", kStopWaitRange, stop.most_wait);
  object->Finish();
}

void ReadFleetRetry(ObjectReader& reader,
                    std::optional<FleetRetrySettings>& target) {
  auto object = reader.TryReadObject("fleet_retry");
  if (!object) return;
  auto& retry = target.emplace();
  object->ReadNumber("share", 0, kMostRetryShare, retry.share);
  object->ReadNumber("slack", 0, kMostRetrySlack, retry.slack);
  object->ReadInteger("levels", kRetryLevelsRange, retry.levels);
  object->Finish();
}

void ReadHedging(ObjectReader& reader, std::optional<HedgeSettings>& target) {
  auto object = reader.TryReadObject("hedging");
  if (!object) return;
  auto& hedging = target.emplace();
  object->ReadNumber("call_share", 0, kMaxHedgeShare, hedging.call_share);
  object->ReadNumber("time_share", 0, kMaxHedgeShare, hedging.time_share);
  object->Finish();
}

void ReadWarmUpLimit(ObjectReader& reader,
                     std::optional<WarmUpLimitSettings>& target) {
  auto object = reader.TryReadObject("warm_up_limit");
  if (!object) return;
  auto& limit = target.emplace();
  object->ReadNumber("excess", 0, kMaxWarmUpExcess, limit.excess);
  object->ReadNumber("slack", 0, kMaxWarmUpSlack, limit.slack);
  object->Finish();
}

void ReadBounds(ObjectReader& reader, HostSettings& settings) {
  reader.ReadDuration("key_lifetime_ms", kKeyLifetimeRange,
                      settings.key_lifetime);
  reader.ReadInteger("most_keys", kKeysRange, settings.most_keys);
  reader.ReadInteger64("most_answer_bytes", kAnswerBytesRange,
                       settings.most_answer_bytes);
  reader.ReadInteger64("memory_mb", kMemoryRange, settings.memory_mb);
  reader.ReadInteger64("most_body_bytes", kBodyBytesRange,
                       settings.most_body_bytes);
  reader.ReadDuration("load_interval_ms", kLoadIntervalRange,
                      settings.load_interval);
  reader.ReadDuration("worker_connect_timeout_ms", kConnectTimeoutRange,
                      settings.worker_connect_timeout);
  reader.ReadInteger("audit_entries", kAuditEntriesRange,
                     settings.audit_entries);
  reader.ReadInteger("log_call_lines_per_s", kLogLinesRange,
                     settings.log_call_lines_per_second);
  if (reader.Has("cross_domain_share")) {
    reader.ReadNumber("cross_domain_share", 0.0, 1.0,
                      settings.cross_domain_share.emplace(0));
  }
  ReadFleetRetry(reader, settings.fleet_retry);
  reader.ReadBoolean("prompt_return", settings.is_return_prompt);
  ReadHedging(reader, settings.hedging);
  ReadWarmUpLimit(reader, settings.warm_up_limit);
  ReadStop(reader, settings.stop);
}

void ReadLogLevel(ObjectReader& reader, LogLevel& level) {
  std::string name = "info";
  reader.ReadString("log_level", LogLevelForm(), name);
  const auto found = std::ranges::find(kLogLevels, name);
  level = static_cast<LogLevel>(found - kLogLevels.begin());
}

void ReadTest(ObjectReader& reader, HostSettings& settings) {
  reader.ReadBoolean("test_hooks", settings.has_test_hooks);
  auto object = reader.TryReadObject("test");
  if (!object) return;
  if (!settings.has_test_hooks) {
    reader.AddFault(FaultReason::kNotApplicable, "test",
                    "\"test_hooks\": true beside it");
  }
  if (object->Has("random_seed")) settings.test.random_seed = 0;
  std::uint64_t seed = 0;
  object->ReadUnsigned("random_seed", kSeedRange, seed);
  if (settings.test.random_seed) settings.test.random_seed = seed;
  object->ReadStrings("cut_peers", kSeedPeersRange, TargetForm(),
                      settings.test.cut_peers);
  object->ReadStrings("switched_off", kSwitchedOffRange, NameForm(),
                      settings.test.switched_off);
  object->Finish();
}

HostSettings ReadSettings(ObjectReader& reader) {
  HostSettings settings;
  reader.ReadString("host", NameForm(), settings.host.value,
                    Presence::kRequired);
  reader.ReadString("failure_domain", NameForm(), settings.failure_domain.value,
                    Presence::kRequired);
  ReadListenAddresses(reader, settings);
  ReadPlatform(reader, settings.platform);
  ReadPeerKeys(reader, settings.peer_keys);
  reader.ReadStrings("seed_peers", kSeedPeersRange, TargetForm(),
                     settings.seed_peers);
  reader.ReadString("message_conventions", NameForm(),
                    settings.message_conventions);
  reader.ReadString("caller_header", HeaderForm(), settings.caller_header);
  ReadBounds(reader, settings);
  ReadLogLevel(reader, settings.log_level);
  ReadTest(reader, settings);
  reader.Finish();
  return settings;
}

}  // namespace

kernel::Result<HostSettings, ConfigurationFaults> ParseHostSettings(
    std::string_view text, std::string_view file) {
  ConfigurationFaults faults;
  const auto document = configuration::LocatedJson::TryParse(
      text, file, kMostSettingsBytes, faults);
  if (!document) return faults;
  ObjectReader reader(*document, document->Root(), "", faults);
  auto settings = ReadSettings(reader);
  if (faults.empty()) return settings;
  std::ranges::stable_sort(faults, {},
                           &configuration::ConfigurationFault::line);
  return faults;
}

}  // namespace burdockwheel::settings
