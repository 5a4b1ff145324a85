#include "host/admin_server.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace burdockwheel::host {

namespace {

constexpr std::size_t kMostAdminSessions = 64;
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
      listener(context, kAdminLimits, kMostAdminSessions,
               [this](const std::shared_ptr<http::Exchange>& exchange) {
                 exchange->Respond(this->AnswerTo(exchange->request));
               }) {}

kernel::Result<std::monostate, http::ListenFailure> AdminServer::TryListen(
    const std::string& address) {
  return this->listener.TryListen(address);
}

void AdminServer::Update(ServingSnapshot snapshot) {
  this->serving = std::move(snapshot);
}

void AdminServer::Update(ControlSnapshot snapshot) {
  this->control = std::move(snapshot);
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
    if (!this->serving.is_ready) {
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
