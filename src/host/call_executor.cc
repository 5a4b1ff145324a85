#include "host/call_executor.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "http/serializer.h"

namespace burdockwheel::host {

namespace {

using std::chrono::steady_clock;

// Probes have attempt numbers of their own, apart from the engine's.
constexpr std::uint64_t kFirstProbeAttempt = 1ULL << 63U;

constexpr std::chrono::milliseconds kProbeTimeout{100};

// A worker gets at least this, so that a rounded-down zero is not sent.
constexpr std::chrono::milliseconds kLeastDeadline{1};

}  // namespace

struct CallExecutor::ActiveCall {
  struct Ended {
    model::AttemptId attempt;
    std::chrono::nanoseconds latency{0};
    http::Answer answer;
  };

  CallSubmission submission;
  CallCompletion on_complete;
  CallJournal::Entry entry;
  kernel::Instant arrived;
  std::vector<Ended> ended;  // attempts with an answer
};

CallExecutor::CallExecutor(boost::asio::io_context& context,
                           const engine::EngineSettings& settings,
                           http::WorkerPool& pool,
                           const http::MessageConventions& conventions,
                           ServingMetrics& metrics, CallJournal& journal,
                           Hooks hooks)
    : timer(context),
      engine(settings),
      pool(pool),
      conventions(conventions),
      metrics(metrics),
      journal(journal),
      hooks(std::move(hooks)) {}

CallExecutor::~CallExecutor() = default;

model::CallId CallExecutor::Submit(CallSubmission submission,
                                   CallCompletion on_complete) {
  this->last_call.value += 1;
  const auto id = this->last_call;
  engine::CallArrived event;
  event.call = id;
  event.service = submission.service;
  event.kind_index = submission.kind_index;
  event.deadline = submission.deadline;
  event.depth = submission.depth;
  event.fingerprint = submission.fingerprint;
  auto call = std::make_unique<ActiveCall>();
  call->submission = std::move(submission);
  call->on_complete = std::move(on_complete);
  call->arrived = steady_clock::now();
  call->entry = this->journal.Admitted(call->arrived, call->submission);
  this->calls.emplace(id, std::move(call));
  this->metrics.calls_arrived += 1;
  this->Notify(std::move(event));
  return id;
}

void CallExecutor::Abandon(model::CallId call) {
  const auto found = this->calls.find(call);
  if (found == this->calls.end()) return;
  this->journal.CallerGone(steady_clock::now(), found->second->entry,
                           found->second->arrived);
  this->calls.erase(found);
  this->metrics.calls_abandoned += 1;
  this->Notify(engine::CallerGone{call});
}

std::size_t CallExecutor::EndCalls() {
  std::vector<model::CallId> unfinished;
  unfinished.reserve(this->calls.size());
  for (const auto& [id, call] : this->calls) unfinished.push_back(id);
  for (const auto id : unfinished) {
    this->Do(engine::RefuseCall{
        id,
        {model::RefusalReason::kHostStopping, model::RunState::kUnknown, {}},
        "the stop is over"});
    this->Notify(engine::CallerGone{id});
  }
  return unfinished.size();
}

// Completions may bring in further events, which wait until the actions of the
// present one are done.
void CallExecutor::Notify(engine::Event event) {
  this->waiting.push_back(std::move(event));
  if (this->is_handling) return;
  this->is_handling = true;
  this->HandleWaiting();
  this->is_handling = false;
}

void CallExecutor::HandleWaiting() {
  while (!this->waiting.empty()) {
    const auto event = std::move(this->waiting.front());
    this->waiting.pop_front();
    const auto now = steady_clock::now();
    this->actions.clear();
    this->engine.Handle(now, event, this->actions);
    if (this->hooks.trace) this->hooks.trace(now, event, this->actions);
    for (const auto& action : this->actions) {
      std::visit([this](const auto& concrete) { this->Do(concrete); }, action);
    }
  }
}

void CallExecutor::Do(const engine::StartAttempt& action) {
  const auto found = this->calls.find(action.call);
  if (found == this->calls.end()) {
    model::AttemptOutcome not_sent;
    not_sent.result = model::AttemptResult::kNotSent;
    this->waiting.push_back(
        engine::AttemptEnded{action.call, action.attempt, not_sent});
    return;
  }
  const auto& submission = found->second->submission;
  const auto now = steady_clock::now();
  this->journal.Sent(now, found->second->entry, action);
  const auto remaining = std::max(
      kLeastDeadline,
      std::chrono::floor<std::chrono::milliseconds>(action.deadline - now));
  std::vector<http::Header> further = {
      {this->conventions.deadline_header, std::to_string(remaining.count())},
      {this->conventions.request_id_header, submission.request_id}};
  if (!this->conventions.depth_header.empty()) {
    further.push_back(
        {this->conventions.depth_header, std::to_string(submission.depth + 1)});
  }
  if (!this->conventions.fence_header.empty())
    further.push_back({this->conventions.fence_header, action.worker.value});
  http::OutgoingRequest outgoing;
  outgoing.request_id = submission.request_id;
  outgoing.is_head = submission.request.method == "HEAD";
  outgoing.bytes.reserve(submission.request.body.size() + 512);
  http::AppendRequest(submission.request, further, outgoing.bytes);
  this->metrics.attempts_started += 1;
  this->pool.Send(
      action.attempt, action.worker, std::move(outgoing), action.deadline,
      [this, call = action.call, attempt = action.attempt](
          const model::AttemptOutcome& outcome, http::Answer answer) {
        this->OnAttemptEnded(call, attempt, outcome, std::move(answer));
      });
}

void CallExecutor::OnAttemptEnded(model::CallId call, model::AttemptId attempt,
                                  const model::AttemptOutcome& outcome,
                                  http::Answer answer) {
  const auto found = this->calls.find(call);
  if (found != this->calls.end()) {
    this->journal.AttemptEnded(steady_clock::now(), found->second->entry,
                               attempt, outcome);
    if (outcome.result == model::AttemptResult::kAnswered) {
      found->second->ended.push_back(
          {attempt, outcome.latency, std::move(answer)});
    }
  }
  this->Notify(engine::AttemptEnded{call, attempt, outcome});
}

void CallExecutor::Do(const engine::RecordQueued& action) {
  const auto found = this->calls.find(action.call);
  if (found == this->calls.end()) return;
  this->journal.Queued(steady_clock::now(), found->second->entry,
                       action.evidence);
}

void CallExecutor::Do(const engine::CancelAttempt& action) {
  const auto found = this->calls.find(action.call);
  if (found != this->calls.end())
    this->journal.Cancelled(steady_clock::now(), found->second->entry,
                            action.attempt);
  this->metrics.attempts_cancelled += 1;
  this->pool.Cancel(action.attempt);
}

void CallExecutor::Do(const engine::RelayAnswer& action) {
  const auto found = this->calls.find(action.call);
  if (found == this->calls.end()) return;
  const auto call = std::move(found->second);
  this->calls.erase(found);
  const auto ended = std::find_if(
      call->ended.begin(), call->ended.end(),
      [&action](const auto& one) { return one.attempt == action.attempt; });
  if (ended == call->ended.end()) return;
  const auto now = steady_clock::now();
  const auto latency = now - call->arrived;
  this->journal.Answered(now, call->entry, call->submission, call->arrived,
                         action.attempt, ended->answer);
  this->metrics.calls_answered += 1;
  constexpr int kFirstServerError = 500;
  const auto objective = call->submission.objective;
  auto outcome = CallOutcome::kInTime;
  if (objective.count() > 0 && latency > objective)
    outcome = CallOutcome::kLate;
  if (ended->answer.status >= kFirstServerError) outcome = CallOutcome::kFailed;
  this->metrics.AddCall(call->submission.kind_name, outcome, latency);
  this->metrics.added_latency.Add(latency - ended->latency);
  call->on_complete(std::move(ended->answer));
}

void CallExecutor::Do(const engine::RefuseCall& action) {
  const auto found = this->calls.find(action.call);
  if (found == this->calls.end()) return;
  const auto call = std::move(found->second);
  this->calls.erase(found);
  this->journal.Refused(steady_clock::now(), call->entry, call->arrived,
                        action);
  const auto reason = model::RefusalReasonName(action.refusal.reason);
  this->metrics.calls_refused[std::string(reason)] += 1;
  const bool is_run = action.refusal.run_state != model::RunState::kNotRun;
  this->metrics.AddCall(call->submission.kind_name,
                        is_run ? CallOutcome::kFailed : CallOutcome::kRefused,
                        steady_clock::now() - call->arrived);
  call->on_complete(action.refusal);
}

void CallExecutor::WriteMetrics(telemetry::MetricText& text) const {
  using telemetry::MetricLabel;
  using telemetry::MetricType;
  const auto services = this->engine.Report(steady_clock::now());
  text.Family("service_waiting_calls", MetricType::kGauge,
              "Calls that wait for a worker, by service.");
  for (const auto& service : services) {
    text.Sample(MetricLabel("service", service.service.value),
                static_cast<double>(service.waiting_calls));
  }
  text.Family("service_retry_tokens", MetricType::kGauge,
              "Further attempts that may be made now, by service.");
  for (const auto& service : services) {
    text.Sample(MetricLabel("service", service.service.value),
                service.retry_tokens);
  }
  text.Family("service_workers", MetricType::kGauge,
              "Workers by service and standing.");
  for (const auto& service : services) {
    for (const auto& [standing, count] : service.workers) {
      text.Sample(MetricLabel("service", service.service.value) + "," +
                      MetricLabel("standing", routing::StandingName(standing)),
                  count);
    }
  }
  text.Family("service_cold_workers", MetricType::kGauge,
              "Workers that are taken for cold, by service.");
  for (const auto& service : services) {
    text.Sample(MetricLabel("service", service.service.value),
                service.cold_workers);
  }
  text.Family("service_hedges", MetricType::kCounter,
              "Hedges by service and outcome, where they have a limit.");
  for (const auto& service : services) {
    const auto label = MetricLabel("service", service.service.value);
    const auto add = [&text, &label](const char* outcome, std::uint64_t count) {
      text.Sample(label + "," + MetricLabel("outcome", outcome),
                  static_cast<double>(count));
    };
    add("started", service.hedges.started);
    add("won", service.hedges.won);
    add("denied", service.hedges.denied);
  }
  text.Family("service_hedge_seconds", MetricType::kCounter,
              "Time that these hedges took, by service.");
  for (const auto& service : services) {
    text.Sample(MetricLabel("service", service.service.value),
                std::chrono::duration<double>(service.hedges.time).count());
  }
  text.Family("service_calls_held_back", MetricType::kCounter,
              "Calls that waited since only cold workers had room.");
  for (const auto& service : services) {
    text.Sample(MetricLabel("service", service.service.value),
                static_cast<double>(service.calls_held_back));
  }
}

void CallExecutor::Do(const engine::SendProbe& action) {
  this->last_probe += 1;
  this->metrics.probes_sent += 1;
  http::OutgoingRequest probe;
  probe.bytes = "GET " + this->conventions.probe_path +
                " HTTP/1.1\r\nHost: worker\r\n\r\n";
  this->metrics.probe_bytes += probe.bytes.size();
  this->pool.Send({kFirstProbeAttempt + this->last_probe}, action.worker,
                  std::move(probe), steady_clock::now() + kProbeTimeout,
                  [this, action](const model::AttemptOutcome& outcome,
                                 const http::Answer& answer) {
                    this->metrics.probe_bytes += answer.body.size();
                    auto told = outcome;
                    if (told.report && this->conventions.read_warm_up)
                      told.report->warm_up =
                          this->conventions.read_warm_up(answer.headers);
                    this->OnProbeEnded(action, told);
                  });
}

void CallExecutor::OnProbeEnded(const engine::SendProbe& probe,
                                const model::AttemptOutcome& outcome) {
  if (outcome.notice != model::WorkerNotice()) {
    this->Notify(
        engine::WorkerNoticed{probe.worker, probe.service, outcome.notice});
  }
  if (!outcome.report) {
    this->Notify(engine::ProbeFailed{probe.worker, probe.service});
    return;
  }
  this->Notify(engine::ProbeAnswered{probe.worker, probe.service,
                                     *outcome.report, outcome.latency});
}

void CallExecutor::Do(const engine::ShareLoad& action) {
  if (this->hooks.share_load) this->hooks.share_load(action.share);
}

void CallExecutor::Do(const engine::WakeAt& action) {
  this->timer.expires_at(action.time);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) this->Notify(engine::TimerFired());
  });
}

void CallExecutor::Do(const engine::ShareCrashSuspicion& action) {
  if (this->hooks.share_suspicion) this->hooks.share_suspicion(action);
}

void CallExecutor::Do(const engine::RecordChange& action) {
  if (this->hooks.record_change) this->hooks.record_change(action);
}

}  // namespace burdockwheel::host
