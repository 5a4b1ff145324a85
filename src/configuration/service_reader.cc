#include "configuration/service_reader.h"

#include <algorithm>
#include <array>
#include <set>

#include "configuration/configuration_parser.h"
#include "configuration/object_reader.h"
#include "configuration/path_pattern.h"

namespace burdockwheel::configuration {

namespace {

constexpr Range kSlotsRange{1, 1024};
constexpr Range kConnectionsRange{1, kMostCount};
constexpr Range kCrossingCostRange{0, 10'000'000};  // microseconds
constexpr Range kQueuedCallsRange{0, 65536};
constexpr Range kQueueWaitRange{0, 60'000};    // milliseconds
constexpr Range kDeadlineRange{1, 600'000};    // milliseconds
constexpr Range kHedgeAfterRange{0, 600'000};  // milliseconds
constexpr Range kWeightRange{1, 1000};
constexpr Range kWarmUpRange{0, kLongestTime.count()};  // milliseconds
constexpr Range kAttemptsRange{1, 10};
constexpr double kMostRetryShare = 1.0;
constexpr double kMostCrossingPrice = 10.0;
constexpr double kMostConnectionPrice = 1.0;

const StringForm& MethodForm() {
  static const StringForm kForm{
      [](std::string_view text) {
        static constexpr std::array<std::string_view, 7> kMethods = {
            "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
        return std::ranges::find(kMethods, text) != kMethods.end();
      },
      "GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS"};
  return kForm;
}

const StringForm& PatternForm() {
  static const StringForm kForm{
      IsPathPattern, "a path such as /slots/{plant}, without query or escapes"};
  return kForm;
}

const StringForm& TargetPathForm() {
  static const StringForm kForm{
      [](std::string_view text) {
        return text.starts_with('/') && text.size() <= kMostPathBytes &&
               std::ranges::all_of(text, [](char character) {
                 return character > ' ' && character < 0x7F;
               });
      },
      "an absolute path"};
  return kForm;
}

const StringForm& KeyForm() {
  static const StringForm kForm{[](std::string_view text) {
                                  return text == "required" ||
                                         text == "optional";
                                },
                                "\"required\" or \"optional\""};
  return kForm;
}

void ReadKey(ObjectReader& reader, model::CallKind& kind) {
  std::string key = "required";
  reader.ReadString("key", KeyForm(), key);
  kind.is_key_required = !kind.is_idempotent && key == "required";
  if (kind.is_idempotent && reader.Has("key")) {
    reader.AddFault(FaultReason::kNotApplicable, "key",
                    "no key for a call that is idempotent");
  }
}

void ReadHedging(ObjectReader& reader, model::CallKind& kind) {
  reader.ReadDuration("hedge_after_ms", kHedgeAfterRange, kind.hedge_after);
  if (kind.hedge_after.count() == 0) return;
  if (!kind.is_idempotent) {
    reader.AddFault(FaultReason::kNotApplicable, "hedge_after_ms",
                    "0 for a call that is not idempotent");
  } else if (kind.hedge_after >= kind.deadline) {
    reader.AddFault(FaultReason::kOutOfRange, "hedge_after_ms",
                    "less than deadline_ms");
  }
}

model::CallKind ReadKind(ObjectReader& reader) {
  model::CallKind kind;
  reader.ReadString("name", NameForm(), kind.name, Presence::kRequired);
  reader.ReadString("method", MethodForm(), kind.method, Presence::kRequired);
  reader.ReadString("path", PatternForm(), kind.path_pattern,
                    Presence::kRequired);
  reader.ReadBoolean("idempotent", kind.is_idempotent, Presence::kRequired);
  reader.ReadInteger("weight", kWeightRange, kind.weight);
  reader.ReadDuration("deadline_ms", kDeadlineRange, kind.deadline);
  reader.ReadInteger("attempts", kAttemptsRange, kind.most_attempts);
  ReadHedging(reader, kind);
  ReadKey(reader, kind);
  reader.Finish();
  return kind;
}

void ReadWorker(ObjectReader& reader, model::ServiceDefinition& service) {
  reader.ReadInteger("slots", kSlotsRange, service.worker_slots);
  reader.ReadInteger("connections", kConnectionsRange,
                     service.worker_connections);
  reader.ReadString("health_path", TargetPathForm(), service.health_path);
  reader.ReadNumber("warm_up_calls_per_s", 0.0, kMostWarmUpCalls,
                    service.warm_up.calls_per_second);
  reader.ReadDuration("warm_up_ms", kWarmUpRange, service.warm_up.duration);
  reader.Finish();
}

void ReadRouting(ObjectReader& reader, const ParserChecks& checks,
                 model::ServiceDefinition& service) {
  reader.ReadString("policy", NameForm(), service.routing_policy);
  reader.ReadBoolean("prefer_own_failure_domain",
                     service.locality.is_local_preferred);
  reader.ReadDuration("crossing_cost_us", kCrossingCostRange,
                      service.locality.crossing_cost);
  reader.ReadNumber("crossing_price", 0.0, kMostCrossingPrice,
                    service.locality.crossing_price);
  reader.ReadNumber("connection_price", 0.0, kMostConnectionPrice,
                    service.connection_price);
  reader.Finish();
  if (service.routing_policy.empty() || !checks.is_policy_known) return;
  if (!checks.is_policy_known(service.routing_policy)) {
    reader.AddFault(FaultReason::kUnknownName, "policy",
                    "the name of a routing policy");
  }
}

void ReadQueue(ObjectReader& reader, model::QueueLimits& queue) {
  reader.ReadInteger("most_calls", kQueuedCallsRange, queue.most_calls);
  reader.ReadDuration("most_wait_ms", kQueueWaitRange, queue.most_wait);
  reader.Finish();
}

}  // namespace

model::ServiceDefinition ReadService(ObjectReader& reader,
                                     const ParserChecks& checks,
                                     Presence calls) {
  model::ServiceDefinition service;
  reader.ReadString("service", LongNameForm(), service.name.value,
                    Presence::kRequired);
  if (auto worker = reader.TryReadObject("worker"))
    ReadWorker(*worker, service);
  if (auto routing = reader.TryReadObject("routing"))
    ReadRouting(*routing, checks, service);
  if (auto queue = reader.TryReadObject("queue"))
    ReadQueue(*queue, service.queue);
  if (auto retry = reader.TryReadObject("retry")) {
    retry->ReadNumber("share", 0.0, kMostRetryShare, service.retry_share);
    retry->Finish();
  }
  std::set<std::string> names;
  for (auto& call :
       reader.ReadObjects("calls", {1, kMostKindsOfService}, calls)) {
    service.kinds.push_back(ReadKind(call));
    const std::string& name = service.kinds.back().name;
    if (!name.empty() && !names.insert(name).second)
      call.AddFault(FaultReason::kDuplicateName, "name", "a name of its own");
  }
  reader.Finish();
  return service;
}

}  // namespace burdockwheel::configuration
