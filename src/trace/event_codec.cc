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

constexpr std::array<model::AttemptResult, 7> kResults{
    model::AttemptResult::kAnswered,    model::AttemptResult::kRefused,
    model::AttemptResult::kMisdirected, model::AttemptResult::kNotSent,
    model::AttemptResult::kBroken,      model::AttemptResult::kTimedOut,
    model::AttemptResult::kCancelled};

model::AttemptResult ResultFrom(const std::string& text) {
  for (const auto result : kResults) {
    if (model::AttemptResultName(result) == text) return result;
  }
  throw std::invalid_argument("attempt result");
}

json ToJson(const model::WorkerReport& report) {
  json text = {{"in_flight", report.calls_in_flight},
               {"queued", report.calls_queued},
               {"is_draining", report.is_draining}};
  if (report.slots > 0) text["slots"] = report.slots;
  if (report.slowdown) text["slowdown"] = *report.slowdown;
  if (report.warm_up) text["warm_up_ms"] = report.warm_up->count();
  return text;
}

model::WorkerReport ReportFrom(const json& text) {
  model::WorkerReport report;
  report.calls_in_flight = text.at("in_flight");
  report.calls_queued = text.at("queued");
  report.is_draining = text.at("is_draining");
  report.slots = text.value("slots", 0);
  if (text.contains("slowdown")) report.slowdown = text.at("slowdown");
  if (text.contains("warm_up_ms"))
    report.warm_up =
        std::chrono::milliseconds(text.at("warm_up_ms").get<std::int64_t>());
  return report;
}

json ToJson(const model::WorkerNotice& notice) {
  return {{"is_leaving", notice.is_leaving},
          {"pause_ms", notice.pause.count()}};
}

model::WorkerNotice NoticeFrom(const json& text) {
  model::WorkerNotice notice;
  notice.is_leaving = text.at("is_leaving");
  notice.pause =
      std::chrono::milliseconds(text.at("pause_ms").get<std::int64_t>());
  return notice;
}

json ToJson(const model::AttemptOutcome& outcome) {
  json text = {{"result", model::AttemptResultName(outcome.result)},
               {"status", outcome.status},
               {"latency_ns", outcome.latency.count()},
               {"is_retry_forbidden", outcome.is_retry_forbidden}};
  if (outcome.is_promise_of_not_run) text["is_promise_of_not_run"] = true;
  if (outcome.report) text["report"] = ToJson(*outcome.report);
  if (outcome.notice != model::WorkerNotice())
    text["notice"] = ToJson(outcome.notice);
  return text;
}

model::AttemptOutcome OutcomeFrom(const json& text) {
  model::AttemptOutcome outcome;
  outcome.result = ResultFrom(text.at("result"));
  outcome.status = text.at("status");
  outcome.latency = nanoseconds(text.at("latency_ns").get<std::int64_t>());
  outcome.is_retry_forbidden = text.at("is_retry_forbidden");
  outcome.is_promise_of_not_run = text.value("is_promise_of_not_run", false);
  if (text.contains("report")) outcome.report = ReportFrom(text.at("report"));
  if (text.contains("notice")) outcome.notice = NoticeFrom(text.at("notice"));
  return outcome;
}

json ToJson(const model::WorkerRecord& worker) {
  json text = {{"address", worker.id.value},
               {"service", worker.service.value},
               {"failure_domain", worker.failure_domain.value},
               {"is_leaving", worker.state == model::WorkerState::kLeaving}};
  if (worker.is_evacuated) text["is_evacuated"] = true;
  return text;
}

model::WorkerRecord WorkerFrom(const json& text) {
  model::WorkerRecord worker;
  worker.id.value = text.at("address");
  worker.service.value = text.at("service");
  worker.failure_domain.value = text.at("failure_domain");
  worker.state = text.at("is_leaving").get<bool>()
                     ? model::WorkerState::kLeaving
                     : model::WorkerState::kLive;
  worker.is_evacuated = text.value("is_evacuated", false);
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

  json operator()(const engine::ProbeFailed& event) const {
    return {{"type", "probe-failed"},
            {"worker", event.worker.value},
            {"service", event.service.value}};
  }

  json operator()(const engine::WorkerNoticed& event) const {
    return {{"type", "worker-noticed"},
            {"worker", event.worker.value},
            {"service", event.service.value},
            {"notice", ToJson(event.notice)}};
  }

  json operator()(const engine::PeerLoadReceived& event) const {
    json entries = json::array();
    for (const auto& entry : event.digest) {
      entries.push_back({{"worker", entry.worker},
                         {"report", ToJson(entry.report)},
                         {"age_ms", entry.age.count()}});
    }
    return {{"type", "load-told"}, {"entries", std::move(entries)}};
  }

  json operator()(const engine::PeersListed& event) const {
    json peers = json::array();
    for (const auto& peer : event.peers) {
      peers.push_back({{"incarnation", peer.incarnation.value},
                       {"failure_domain", peer.failure_domain.value}});
    }
    json hosts = json::array();
    for (const auto& host : event.known_hosts) {
      hosts.push_back({{"address", host.address},
                       {"failure_domain", host.failure_domain.value}});
    }
    json text = {{"type", "peers-listed"}, {"peers", std::move(peers)}};
    if (!hosts.empty()) text["known_hosts"] = std::move(hosts);
    return text;
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

  json operator()(const engine::StopBegun& event) const {
    return {{"type", "stop-begun"},
            {"ends_at_ns", this->SinceStart(event.ends_at)}};
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

engine::PeerLoadReceived LoadToldFrom(const json& text) {
  engine::PeerLoadReceived event;
  for (const json& entry : text.at("entries")) {
    load::LoadEntry each;
    each.worker = entry.at("worker");
    each.report = ReportFrom(entry.at("report"));
    each.age = std::chrono::milliseconds(entry.at("age_ms").get<int>());
    event.digest.push_back(std::move(each));
  }
  return event;
}

engine::PeersListed PeersListedFrom(const json& text) {
  engine::PeersListed event;
  for (const json& peer : text.at("peers")) {
    event.peers.push_back({{peer.at("incarnation").get<std::uint64_t>()},
                           {peer.at("failure_domain").get<std::string>()}});
  }
  if (!text.contains("known_hosts")) return event;
  for (const json& host : text.at("known_hosts")) {
    event.known_hosts.push_back(
        {host.at("address").get<std::string>(),
         {host.at("failure_domain").get<std::string>()}});
  }
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
  if (type == "probe-failed") {
    return engine::ProbeFailed{{text.at("worker").get<std::string>()},
                               {text.at("service").get<std::string>()}};
  }
  if (type == "worker-noticed") {
    return engine::WorkerNoticed{{text.at("worker").get<std::string>()},
                                 {text.at("service").get<std::string>()},
                                 NoticeFrom(text.at("notice"))};
  }
  if (type == "load-told") return LoadToldFrom(text);
  if (type == "peers-listed") return PeersListedFrom(text);
  if (type == "timer-fired") return engine::TimerFired{};
  if (type == "configuration-accepted") return ConfigurationFrom(text);
  if (type == "workers-listed") return WorkersListedFrom(text);
  if (type == "crash-suspected") return CrashSuspectedFrom(text);
  if (type == "stop-begun") {
    const auto ends_at = text.value("ends_at_ns", std::int64_t{0});
    return engine::StopBegun{start + nanoseconds(ends_at)};
  }
  throw std::invalid_argument("event type");
}

json ToJson(const engine::EngineSettings& settings) {
  return {{"failure_domain", settings.failure_domain.value},
          {"random_seed", settings.random_seed},
          {"most_depth", settings.max_depth},
          {"load_interval_ms", settings.load_watch.interval.count()},
          {"incarnation", settings.load_watch.incarnation.value}};
}

engine::EngineSettings SettingsFromJson(const json& text) {
  engine::EngineSettings settings;
  settings.failure_domain.value = text.at("failure_domain");
  settings.random_seed = text.at("random_seed");
  settings.max_depth = text.at("most_depth");
  settings.load_watch.failure_domain = settings.failure_domain;
  settings.load_watch.interval =
      std::chrono::milliseconds(text.value("load_interval_ms", 0));
  settings.load_watch.incarnation.value =
      text.value("incarnation", std::uint64_t{0});
  return settings;
}

}  // namespace burdockwheel::trace
