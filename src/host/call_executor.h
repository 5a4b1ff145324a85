// Runs the calls of a host: feeds the call engine and does what it decides.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "engine/actions.h"
#include "engine/call_engine.h"
#include "engine/events.h"
#include "host/call_journal.h"
#include "host/call_submission.h"
#include "host/serving_metrics.h"
#include "http/message_conventions.h"
#include "http/worker_pool.h"
#include "telemetry/metric_text.h"

namespace burdockwheel::host {

// Joins the pure call engine with sockets and the clock. Runs on the serving
// thread.
class CallExecutor {
 public:
  // What leaves the serving thread.
  struct Hooks {
    std::function<void(const engine::RecordChange&)> record_change;
    std::function<void(const engine::ShareCrashSuspicion&)> share_suspicion;
    std::function<void(const load::LoadShare&)> share_load;
    // Sees each event before it is handled and its actions after; may be null.
    std::function<void(kernel::Instant, const engine::Event&,
                       const engine::Actions&)>
        trace;
  };

  // The references must outlive the executor.
  CallExecutor(boost::asio::io_context& context,
               const engine::EngineSettings& settings, http::WorkerPool& pool,
               const http::MessageConventions& conventions,
               ServingMetrics& metrics, CallJournal& journal, Hooks hooks);

  // Takes a call; `on_complete` is called once, perhaps from within.
  model::CallId Submit(CallSubmission submission, CallCompletion on_complete);

  // Gives a call up whose caller has gone; its completion is not called.
  void Abandon(model::CallId call);

  // Ends each unfinished call by a refusal that promises nothing, since the
  // process ends. Returns how many there were.
  std::size_t EndCalls();

  // Hands any other event to the engine.
  void Notify(engine::Event event);

  // Writes what is believed of the services and what the calls came to.
  void WriteMetrics(telemetry::MetricText& text) const;

  // Tells whether any call is unfinished.
  bool HasCalls() const { return this->engine.HasCalls(); }

  std::size_t CallCount() const { return this->calls.size(); }

 private:
  struct ActiveCall;

  void HandleWaiting();
  void Do(const engine::StartAttempt& action);
  void Do(const engine::RecordQueued& action);
  void Do(const engine::CancelAttempt& action);
  void Do(const engine::RelayAnswer& action);
  void Do(const engine::RefuseCall& action);
  void Do(const engine::SendProbe& action);
  void Do(const engine::ShareLoad& action);
  void Do(const engine::WakeAt& action);
  void Do(const engine::ShareCrashSuspicion& action);
  void Do(const engine::RecordChange& action);
  void OnAttemptEnded(model::CallId call, model::AttemptId attempt,
                      const model::AttemptOutcome& outcome,
                      http::Answer answer);
  void OnProbeEnded(const engine::SendProbe& probe,
                    const model::AttemptOutcome& outcome);

  boost::asio::steady_timer timer;
  engine::CallEngine engine;
  http::WorkerPool& pool;
  const http::MessageConventions& conventions;
  ServingMetrics& metrics;
  CallJournal& journal;
  Hooks hooks;
  std::deque<engine::Event> waiting;
  engine::Actions actions;
  bool is_handling = false;
  model::CallId last_call;
  std::uint64_t last_probe = 0;
  std::unordered_map<model::CallId, std::unique_ptr<ActiveCall>> calls;

 public:
  ~CallExecutor();
};

}  // namespace burdockwheel::host
