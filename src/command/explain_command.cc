#include "command/explain_command.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "explain/call_story.h"
#include "explain/log_line.h"
#include "http/deadline_queue.h"
#include "http/ip_address.h"
#include "http/worker_connection.h"

namespace burdockwheel::command {

namespace {

constexpr std::chrono::seconds kTimeout{5};
constexpr std::size_t kMostAnswerBytes = std::size_t{16} << 20U;
constexpr int kOk = 200;

// Percent-encodes what may not stand in a query (RFC 3986, 3.4).
std::string Escape(const std::string& text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string escaped;
  for (const char character : text) {
    const auto code = static_cast<unsigned char>(character);
    const bool is_plain = (code >= '0' && code <= '9') ||
                          (code >= 'A' && code <= 'Z') ||
                          (code >= 'a' && code <= 'z') || code == '-' ||
                          code == '.' || code == '_' || code == ':';
    if (is_plain) {
      escaped.push_back(character);
      continue;
    }
    escaped.push_back('%');
    escaped.push_back(kDigits[code >> 4U]);
    escaped.push_back(kDigits[code & 0xFU]);
  }
  return escaped;
}

std::optional<std::string> GetOrNull(const std::string& address,
                                     const std::string& target) {
  boost::asio::io_context context;
  http::DeadlineQueue deadlines(context);
  const http::ConnectionContext shared{context, deadlines,
                                       http::DefaultMessageConventions(),
                                       kMostAnswerBytes, kTimeout};
  const auto endpoint = http::ParseEndpointOrNull(address);
  if (!endpoint) return std::nullopt;
  const auto connection =
      std::make_shared<http::WorkerConnection>(shared, nullptr);
  connection->Connect(*endpoint);
  std::optional<std::string> body;
  http::OutgoingRequest request;
  request.bytes = "GET " + target + " HTTP/1.1\r\nHost: " + address +
                  "\r\nConnection: close\r\n\r\n";
  connection->Send(std::move(request),
                   [&body](http::WorkerConnection::Ending ending) {
                     const bool is_sound =
                         ending.result == model::AttemptResult::kAnswered &&
                         ending.answer.status == kOk;
                     if (is_sound) body = std::move(ending.answer.body);
                   });
  context.run_for(kTimeout);
  return body;
}

std::string TimeText(std::int64_t unix_milliseconds) {
  const auto seconds = static_cast<std::time_t>(unix_milliseconds / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3)
       << std::setfill('0') << unix_milliseconds % 1000 << 'Z';
  return text.str();
}

// Keeps the lines that may matter for one call: its own, those that name no
// call, and each host's last one.
class LineCollector {
 public:
  explicit LineCollector(std::string call) : call(std::move(call)) {}

  void Take(std::istream& stream) {
    std::string text;
    while (std::getline(stream, text)) {
      auto line = explain::TryParseLogLine(text);
      if (!line) continue;
      const auto& named = line->Field("call");
      if (named.empty() || named == this->call) {
        if (line->event == "started") this->KeepLast(line->host);
        this->lines.push_back(std::move(*line));
        continue;
      }
      this->last.insert_or_assign(line->host, std::move(*line));
    }
  }

  std::vector<explain::LogLine> TakeLines() {
    for (auto& [host, line] : this->last)
      this->lines.push_back(std::move(line));
    this->last.clear();
    return std::move(this->lines);
  }

 private:
  void KeepLast(const std::string& host) {
    const auto found = this->last.find(host);
    if (found == this->last.end()) return;
    this->lines.push_back(std::move(found->second));
    this->last.erase(found);
  }

  std::string call;
  std::vector<explain::LogLine> lines;
  std::map<std::string, explain::LogLine> last;  // that was not kept, by host
};

void PrintLines(const std::vector<explain::LogLine>& lines) {
  for (const auto& line : lines) std::cout << "  " << line.text << "\n";
}

}  // namespace

std::optional<std::string> ExplainFromLogs(
    const std::vector<std::string>& paths, const std::string& call) {
  LineCollector collector(call);
  for (const auto& path : paths) {
    if (path == "-") {
      collector.Take(std::cin);
      continue;
    }
    std::ifstream file(path);
    if (!file) return path;
    collector.Take(file);
  }
  const auto story = explain::ExplainCall(collector.TakeLines(), call);
  std::cout << "call " << call << "\ncause " << explain::CauseName(story.cause)
            << "\n"
            << story.explanation << "\n";
  if (!story.lines.empty()) std::cout << "the call:\n";
  PrintLines(story.lines);
  if (!story.around.empty()) std::cout << "what its hosts learnt meanwhile:\n";
  PrintLines(story.around);
  return std::nullopt;
}

ExplainOutcome Explain(const std::string& admin_address,
                       const std::string& subject) {
  const auto body = GetOrNull(admin_address, "/audit?about=" + Escape(subject));
  if (!body) return ExplainOutcome::kUnreachable;
  const auto entries = nlohmann::json::parse(*body, nullptr, false);
  if (!entries.is_array()) return ExplainOutcome::kUnreachable;
  for (const auto& entry : entries) {
    std::cout << TimeText(entry.value("time_unix_ms", std::int64_t{0})) << "  "
              << entry.value("subject", "") << ": " << entry.value("from", "")
              << " -> " << entry.value("to", "") << ", because "
              << entry.value("cause", "");
    const auto evidence = entry.value("evidence", "");
    if (!evidence.empty()) std::cout << " (" << evidence << ")";
    std::cout << "\n";
  }
  return entries.empty() ? ExplainOutcome::kNothingKnown
                         : ExplainOutcome::kExplained;
}

}  // namespace burdockwheel::command
