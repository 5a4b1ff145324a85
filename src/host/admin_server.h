// Answers operators and the platform's balancer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "http/caller_listener.h"
#include "http/exchange.h"
#include "kernel/result.h"
#include "telemetry/audit_trail.h"

namespace burdockwheel::host {

// What the serving and control threads tell the admin thread from time to time.
struct ServingSnapshot {
  bool is_ready = false;
  std::string metrics;  // Prometheus text format
  std::string view;     // a JSON object: workers, keys, calls in flight
};
struct ControlSnapshot {
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
  };

  AdminServer(boost::asio::io_context& context,
              const telemetry::AuditTrail& audit, Hooks hooks);

  kernel::Result<std::monostate, http::ListenFailure> TryListen(
      const std::string& address);

  void Update(ServingSnapshot snapshot);
  void Update(ControlSnapshot snapshot);

 private:
  http::Answer AnswerTo(const http::Request& request) const;
  http::Answer CutLinks(const http::Request& request) const;
  http::Answer AnswerView() const;
  http::Answer AnswerAudit(const std::string& target) const;

  const telemetry::AuditTrail& audit;
  Hooks hooks;
  ServingSnapshot serving;
  ControlSnapshot control;
  http::CallerListener listener;
};

}  // namespace burdockwheel::host
