// Answers operators and the platform's balancer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http/caller_listener.h"
#include "http/exchange.h"
#include "kernel/instant.h"
#include "kernel/result.h"
#include "telemetry/audit_trail.h"

namespace burdockwheel::host {

// Whether the serving thread takes calls; told several times a second.
struct ReadinessShown {
  bool is_ready = false;
};

// What the serving and control threads tell the admin thread when asked.
struct ServingReport {
  std::string metrics;  // Prometheus text format
  std::string view;     // a JSON object: workers, keys, calls in flight
};
struct ControlReport {
  std::string metrics;  // Prometheus text format
  std::string view;     // a JSON object: configuration, peers
};

// Serves the admin address: GET /live, /ready, /metrics, /view and
// /audit[?about=TEXT], and for tests PUT /test/cut-links. Runs on the admin
// thread.
class AdminServer {
 public:
  struct Hooks {
    // Cuts the links to these peers and no others; empty outside of tests.
    std::function<void(std::set<std::string>)> cut_links;
    // Asks both threads for their reports.
    std::function<void()> request_reports;
  };

  AdminServer(boost::asio::io_context& context,
              const telemetry::AuditTrail& audit, Hooks hooks);

  kernel::Result<std::monostate, http::ListenFailure> TryListen(
      const std::string& address);

  // Serves the same on a further address.
  kernel::Result<std::monostate, http::ListenFailure> TryListenForMetrics(
      const std::string& address);

  void Update(const ReadinessShown& readiness);
  void Update(ServingReport report);
  void Update(ControlReport report);

 private:
  http::SessionHooks SessionHooks();
  void Handle(const std::shared_ptr<http::Exchange>& exchange);
  void AnswerWaiting();
  bool IsReady() const;
  http::Answer AnswerTo(const http::Request& request) const;
  http::Answer CutLinks(const http::Request& request) const;
  http::Answer AnswerView() const;
  http::Answer AnswerAudit(const std::string& target) const;

  const telemetry::AuditTrail& audit;
  Hooks hooks;
  bool is_ready = false;
  kernel::Instant readiness_at;
  ServingReport serving;
  ControlReport control;
  // Requests that wait for the reports, and which of these have come.
  std::vector<std::shared_ptr<http::Exchange>> waiting;
  bool has_serving = false;
  bool has_control = false;
  boost::asio::steady_timer report_timer;
  http::CallerListener listener;
  http::CallerListener metrics_listener;
};

}  // namespace burdockwheel::host
