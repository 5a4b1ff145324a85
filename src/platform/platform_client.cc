#include "platform/platform_client.h"

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "http/message.h"

namespace burdockwheel::platform {

namespace {

constexpr std::chrono::milliseconds kAnswerTimeout{2000};
constexpr std::size_t kMostValueBytes = std::size_t{2} * 1024 * 1024;

std::optional<std::uint64_t> VersionOrNull(const http::Answer& answer,
                                           const char* header) {
  const auto* text = http::HeaderOrNull(answer.headers, header);
  if (text == nullptr) return std::nullopt;
  std::uint64_t version = 0;
  const auto* const end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return version;
}

kernel::Result<PublishedValue, PlatformFailure> Interpret(
    const model::AttemptOutcome& outcome, http::Answer answer,
    const char* version_header) {
  constexpr int kOk = 200;
  constexpr int kNoContent = 204;
  if (outcome.result != model::AttemptResult::kAnswered) {
    return PlatformFailure::kUnreachable;
  }
  PublishedValue value;
  if (answer.status == kNoContent) {
    value.is_unchanged = true;
    return value;
  }
  if (answer.status != kOk) return PlatformFailure::kRefused;
  const auto version = VersionOrNull(answer, version_header);
  if (!version) return PlatformFailure::kMalformed;
  value.version = *version;
  value.text = std::move(answer.body);
  return value;
}

}  // namespace

PlatformClient::PlatformClient(boost::asio::io_context& context,
                               http::DeadlineQueue& deadlines)
    : pool(context, deadlines,
           {.most_answer_bytes = kMostValueBytes, .most_connections = 4}) {}

void PlatformClient::ReadConfiguration(const std::string& address,
                                       std::uint64_t after,
                                       std::chrono::milliseconds wait,
                                       Handler handler) {
  this->Read(address, "/configuration", "Configuration-Version", after, wait,
             std::move(handler));
}

void PlatformClient::ReadHosts(const std::string& address, std::uint64_t after,
                               std::chrono::milliseconds wait,
                               Handler handler) {
  this->Read(address, "/hosts", "Hosts-Generation", after, wait,
             std::move(handler));
}

void PlatformClient::Read(const std::string& address, const std::string& path,
                          const char* version_header, std::uint64_t after,
                          std::chrono::milliseconds wait, Handler handler) {
  std::string target = path;
  if (wait.count() > 0) {
    target += "?after=" + std::to_string(after) +
              "&wait_ms=" + std::to_string(wait.count());
  }
  const std::string bytes =
      "GET " + target + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
  this->last_attempt.value += 1;
  this->pool.Send(
      this->last_attempt, {address}, bytes, false,
      std::chrono::steady_clock::now() + wait + kAnswerTimeout,
      [handler = std::move(handler), version_header](
          const model::AttemptOutcome& outcome, http::Answer answer) {
        handler(Interpret(outcome, std::move(answer), version_header));
      });
}

}  // namespace burdockwheel::platform
