#include "host/admin_server.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "telemetry/event_log.h"

namespace burdockwheel::host {

namespace {

constexpr std::size_t kMostAdminSessions = 64;
// Both threads turn many times in this; scrapers wait for seconds.
constexpr std::chrono::milliseconds kReportTimeout{500};
// Eight times the period at which the serving thread shows that it turns.
constexpr std::chrono::milliseconds kMostReadinessAge{2000};
constexpr http::SessionLimits kAdminLimits{
    .read = {.most_header_bytes = std::size_t{8} * 1024,
             .most_body_bytes = 4096}};

http::Answer TextAnswer(int status, std::string_view type, std::string body) {
  http::Answer answer;
  answer.status = status;
  answer.headers.push_back({"Content-Type", std::string(type)});
  answer.headers.push_back({"Cache-Control", "no-store"});
  answer.body = std::move(body);
  return answer;
}

http::Answer JsonAnswer(std::string body) {
  return TextAnswer(200, "application/json", std::move(body));
}

// Undoes percent-encoding (RFC 3986, 2.1); a malformed triplet stays as it is.
std::string Unescape(std::string_view text) {
  std::string plain;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const bool is_triplet = text[index] == '%' && index + 2 < text.size();
    if (!is_triplet) {
      plain.push_back(text[index] == '+' ? ' ' : text[index]);
      continue;
    }
    const std::string digits(text.substr(index + 1, 2));
    char* end = nullptr;
    const auto code = std::strtoul(digits.c_str(), &end, 16);
    if (end != digits.c_str() + 2) {
      plain.push_back(text[index]);
      continue;
    }
    plain.push_back(static_cast<char>(code));
    index += 2;
  }
  return plain;
}

}  // namespace

AdminServer::AdminServer(boost::asio::io_context& context,
                         const telemetry::AuditTrail& audit, Hooks hooks)
    : audit(audit),
      hooks(std::move(hooks)),
      report_timer(context),
      listener(context, kAdminLimits, kMostAdminSessions, this->SessionHooks()),
      metrics_listener(context, kAdminLimits, kMostAdminSessions,
                       this->SessionHooks()) {}

http::SessionHooks AdminServer::SessionHooks() {
  return {[this](const std::shared_ptr<http::Exchange>& exchange) {
            this->Handle(exchange);
          },
          [](const std::string& caller, int status) {
            telemetry::LogEvent(telemetry::LogLevel::kWarning,
                                "admin-request-unreadable",
                                {{"caller", caller}, {"status", status}});
          }};
}

kernel::Result<std::monostate, http::ListenFailure>
AdminServer::TryListenForMetrics(const std::string& address) {
  return this->metrics_listener.TryListen(address);
}

kernel::Result<std::monostate, http::ListenFailure> AdminServer::TryListen(
    const std::string& address) {
  return this->listener.TryListen(address);
}

void AdminServer::Update(const ReadinessShown& readiness) {
  this->is_ready = readiness.is_ready;
  this->readiness_at = std::chrono::steady_clock::now();
}

void AdminServer::Update(ServingReport report) {
  this->serving = std::move(report);
  this->has_serving = true;
  if (this->has_control) this->AnswerWaiting();
}

void AdminServer::Update(ControlReport report) {
  this->control = std::move(report);
  this->has_control = true;
  if (this->has_serving) this->AnswerWaiting();
}

// Reports are made when they are asked for: a host that nobody asks has no
// work with them.
void AdminServer::Handle(const std::shared_ptr<http::Exchange>& exchange) {
  const auto& target = exchange->request.target;
  const auto path = target.substr(0, target.find('?'));
  const bool needs_reports = path == "/metrics" || path == "/view";
  if (!needs_reports) {
    exchange->Respond(this->AnswerTo(exchange->request));
    return;
  }
  this->waiting.push_back(exchange);
  if (this->waiting.size() > 1) return;
  this->has_serving = false;
  this->has_control = false;
  this->report_timer.expires_after(kReportTimeout);
  this->report_timer.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    telemetry::LogEvent(telemetry::LogLevel::kWarning, "report-late",
                        {{"serving", this->has_serving ? 1 : 0},
                         {"control", this->has_control ? 1 : 0}});
    this->AnswerWaiting();
  });
  this->hooks.request_reports();
}

// A thread that is held up is answered for by its report before.
void AdminServer::AnswerWaiting() {
  this->report_timer.cancel();
  for (const auto& exchange : std::exchange(this->waiting, {}))
    exchange->Respond(this->AnswerTo(exchange->request));
}

// A serving thread that has stopped turning takes no calls, whatever it said.
bool AdminServer::IsReady() const {
  const auto age = std::chrono::steady_clock::now() - this->readiness_at;
  return this->is_ready && age < kMostReadinessAge;
}

http::Answer AdminServer::AnswerTo(const http::Request& request) const {
  if (request.method == "PUT" && request.target == "/test/cut-links") {
    return this->CutLinks(request);
  }
  const bool is_read = request.method == "GET" || request.method == "HEAD";
  if (!is_read) return TextAnswer(405, "text/plain", "");
  const auto path = request.target.substr(0, request.target.find('?'));
  if (path == "/live") return TextAnswer(200, "text/plain", "live\n");
  if (path == "/ready") {
    if (!this->IsReady()) {
      return TextAnswer(503, "text/plain", "not ready\n");
    }
    return TextAnswer(200, "text/plain", "ready\n");
  }
  if (path == "/metrics") {
    return TextAnswer(200, "text/plain; version=0.0.4",
                      this->serving.metrics + this->control.metrics);
  }
  if (path == "/view") return this->AnswerView();
  if (path == "/audit") return this->AnswerAudit(request.target);
  return TextAnswer(404, "text/plain", "");
}

http::Answer AdminServer::CutLinks(const http::Request& request) const {
  if (!this->hooks.cut_links) return TextAnswer(404, "text/plain", "");
  const auto list = nlohmann::json::parse(request.body, nullptr, false);
  if (!list.is_array()) return TextAnswer(400, "text/plain", "");
  std::set<std::string> addresses;
  for (const auto& address : list) {
    if (!address.is_string()) return TextAnswer(400, "text/plain", "");
    addresses.insert(address.get<std::string>());
  }
  this->hooks.cut_links(std::move(addresses));
  return TextAnswer(204, "text/plain", "");
}

http::Answer AdminServer::AnswerView() const {
  nlohmann::ordered_json view;
  view["serving"] =
      nlohmann::ordered_json::parse(this->serving.view, nullptr, false);
  view["control"] =
      nlohmann::ordered_json::parse(this->control.view, nullptr, false);
  return JsonAnswer(
      view.dump(1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n");
}

http::Answer AdminServer::AnswerAudit(const std::string& target) const {
  constexpr std::string_view kParameter = "?about=";
  const auto start = target.find(kParameter);
  const auto filter = start == std::string::npos
                          ? std::string()
                          : Unescape(target.substr(start + kParameter.size()));
  return JsonAnswer(telemetry::AuditEntriesAsJson(this->audit.Entries(filter)) +
                    "\n");
}

}  // namespace burdockwheel::host
