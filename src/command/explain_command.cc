#include "command/explain_command.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "http/deadline_queue.h"
#include "http/worker_pool.h"

namespace burdockwheel::command {

namespace {

constexpr std::chrono::seconds kTimeout{5};

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
  http::WorkerPool pool(context, deadlines, http::WorkerPoolLimits());
  std::optional<std::string> body;
  pool.Send({1}, {address},
            "GET " + target + " HTTP/1.1\r\nHost: " + address +
                "\r\nConnection: close\r\n\r\n",
            false, std::chrono::steady_clock::now() + kTimeout,
            [&body](const model::AttemptOutcome& outcome,
                    const http::Answer& answer) {
              const bool is_sound =
                  outcome.result == model::AttemptResult::kAnswered &&
                  answer.status == 200;
              if (is_sound) body = answer.body;
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

}  // namespace

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
