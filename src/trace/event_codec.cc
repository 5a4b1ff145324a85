#include "trace/event_codec.h"

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "configuration/configuration_parser.h"
#include "configuration/configuration_serializer.h"

namespace burdockwheel::trace {

namespace {

using engine::Event;
using nlohmann::json;
using std::chrono::nanoseconds;

constexpr std::array<std::pair<model::AttemptResult, std::string_view>, 6>
    kResultNames{{{model::AttemptResult::kAnswered, "answered"},
                  {model::AttemptResult::kRefused, "refused"},
                  {model::AttemptResult::kNotSent, "not-sent"},
                  {model::AttemptResult::kBroken, "broken"},
                  {model::AttemptResult::kTimedOut, "timed-out"},
                  {model::AttemptResult::kCancelled, "cancelled"}}};

std::string_view ResultName(model::AttemptResult result) {
  for (const auto& [value, name] : kResultNames) {
    if (value == result) return name;
  }
  return "unknown";
}

model::AttemptResult ResultFrom(const std::string& text) {
  for (const auto& [value, name] : kResultNames) {
    if (name == text) return value;
  }
  throw std::invalid_argument("attempt result");
}

json ToJson(const model::WorkerReport& report) {
  return {{"in_flight", report.calls_in_flight},
          {"queued", report.calls_queued},
          {"is_draining", report.is_draining}};
}

model::WorkerReport ReportFrom(const json& text) {
  return {text.at("in_flight"), text.at("queued"), text.at("is_draining")};
}

json ToJson(const model::AttemptOutcome& outcome) {
  json text = {{"result", ResultName(outcome.result)},
               {"status", outcome.status},
               {"latency_ns", outcome.latency.count()},
               {"is_retry_forbidden", outcome.is_retry_forbidden}};
  if (outcome.report) text["report"] = ToJson(*outcome.report);
  return text;
}

model::AttemptOutcome OutcomeFrom(const json& text) {
  model::AttemptOutcome outcome;
  outcome.result = ResultFrom(text.at("result"));
  outcome.status = text.at("status");
  outcome.latency = nanoseconds(text.at("latency_ns").get<std::int64_t>());
  outcome.is_retry_forbidden = text.at("is_retry_forbidden");
  if (text.contains("report")) outcome.report = ReportFrom(text.at("report"));
  return outcome;
}

json ToJson(const model::WorkerRecord& worker) {
  return {{"address", worker.address.value},
          {"service", worker.service.value},
          {"failure_domain", worker.failure_domain.value},
          {"is_leaving", worker.state == model::WorkerState::kLeaving}};
}

model::WorkerRecord WorkerFrom(const json& text) {
  model::WorkerRecord worker;
  worker.address.value = text.at("address");
  worker.service.value = text.at("service");
  worker.failure_domain.value = text.at("failure_domain");
  worker.state = text.at("is_leaving").get<bool>()
                     ? model::WorkerState::kLeaving
                     : model::WorkerState::kLive;
  return worker;
}

// Writes each kind of event.
struct EventWriter {
  kernel::Instant start;

  std::int64_t SinceStart(kernel::Instant time) const {
    const std::chrono::nanoseconds since = time - this->start;
    return since.count();
  }

  json operator()(const engine::CallArrived& event) const {
    return {{"type", "call-arrived"},
            {"call", event.call.value},
            {"service", event.service.value},
            {"kind", event.kind_index},
            {"deadline_ns", this->SinceStart(event.deadline)},
            {"depth", event.depth},
            {"fingerprint", event.fingerprint}};
  }

  json operator()(const engine::CallerGone& event) const {
    return {{"type", "caller-gone"}, {"call", event.call.value}};
  }

  json operator()(const engine::AttemptEnded& event) const {
    return {{"type", "attempt-ended"},
            {"call", event.call.value},
            {"attempt", event.attempt.value},
            {"outcome", ToJson(event.outcome)}};
  }

  json operator()(const engine::ProbeAnswered& event) const {
    return {{"type", "probe-answered"},
            {"worker", event.worker.value},
            {"service", event.service.value},
            {"report", ToJson(event.report)},
            {"latency_ns", event.latency.count()}};
  }

  json operator()(const engine::TimerFired& /*event*/) const {
    return {{"type", "timer-fired"}};
  }

  json operator()(const engine::ConfigurationAccepted& event) const {
    return {{"type", "configuration-accepted"},
            {"configuration",
             json::parse(configuration::SerializeFleetConfiguration(
                 *event.configuration))}};
  }

  json operator()(const engine::WorkersListed& event) const {
    json workers = json::array();
    for (const auto& worker : event.workers) workers.push_back(ToJson(worker));
    return {{"type", "workers-listed"}, {"workers", std::move(workers)}};
  }

  json operator()(const engine::CrashSuspected& event) const {
    return {{"type", "crash-suspected"},
            {"fingerprint", event.fingerprint},
            {"service", event.service.value},
            {"worker", event.worker.value},
            {"crashes", event.crashes}};
  }

  json operator()(const engine::StopBegun& /*event*/) const {
    return {{"type", "stop-begun"}};
  }
};

engine::CallArrived CallArrivedFrom(const json& text, kernel::Instant start) {
  engine::CallArrived event;
  event.call.value = text.at("call");
  event.service.value = text.at("service");
  event.kind_index = text.at("kind");
  event.deadline =
      start + nanoseconds(text.at("deadline_ns").get<std::int64_t>());
  event.depth = text.at("depth");
  event.fingerprint = text.at("fingerprint");
  return event;
}

engine::AttemptEnded AttemptEndedFrom(const json& text) {
  engine::AttemptEnded event;
  event.call.value = text.at("call");
  event.attempt.value = text.at("attempt");
  event.outcome = OutcomeFrom(text.at("outcome"));
  return event;
}

engine::ProbeAnswered ProbeAnsweredFrom(const json& text) {
  engine::ProbeAnswered event;
  event.worker.value = text.at("worker");
  event.service.value = text.at("service");
  event.report = ReportFrom(text.at("report"));
  event.latency = nanoseconds(text.at("latency_ns").get<std::int64_t>());
  return event;
}

engine::ConfigurationAccepted ConfigurationFrom(const json& text) {
  auto parsed = configuration::ParseFleetConfiguration(
      text.at("configuration").dump(), "trace");
  if (!parsed.HasValue()) throw std::invalid_argument("configuration");
  return {std::make_shared<const model::FleetConfiguration>(
      std::move(parsed.Value()))};
}

engine::WorkersListed WorkersListedFrom(const json& text) {
  engine::WorkersListed event;
  for (const json& worker : text.at("workers"))
    event.workers.push_back(WorkerFrom(worker));
  return event;
}

engine::CrashSuspected CrashSuspectedFrom(const json& text) {
  engine::CrashSuspected event;
  event.fingerprint = text.at("fingerprint");
  event.service.value = text.at("service");
  event.worker.value = text.at("worker");
  event.crashes = text.at("crashes");
  return event;
}

}  // namespace

json ToJson(const Event& event, kernel::Instant start) {
  return std::visit(EventWriter{start}, event);
}

Event EventFromJson(const json& text, kernel::Instant start) {
  const std::string type = text.at("type");
  if (type == "call-arrived") return CallArrivedFrom(text, start);
  if (type == "caller-gone")
    return engine::CallerGone{{text.at("call").get<std::uint64_t>()}};
  if (type == "attempt-ended") return AttemptEndedFrom(text);
  if (type == "probe-answered") return ProbeAnsweredFrom(text);
  if (type == "timer-fired") return engine::TimerFired{};
  if (type == "configuration-accepted") return ConfigurationFrom(text);
  if (type == "workers-listed") return WorkersListedFrom(text);
  if (type == "crash-suspected") return CrashSuspectedFrom(text);
  if (type == "stop-begun") return engine::StopBegun{};
  throw std::invalid_argument("event type");
}

json ToJson(const engine::EngineSettings& settings) {
  return {{"failure_domain", settings.failure_domain.value},
          {"random_seed", settings.random_seed},
          {"most_depth", settings.most_depth}};
}

engine::EngineSettings SettingsFromJson(const json& text) {
  engine::EngineSettings settings;
  settings.failure_domain.value = text.at("failure_domain");
  settings.random_seed = text.at("random_seed");
  settings.most_depth = text.at("most_depth");
  return settings;
}

}  // namespace burdockwheel::trace
