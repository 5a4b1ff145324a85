#include "review/stand_ins/caller.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <utility>

#include "review/stand_ins/recorder.h"

namespace review {

std::string NewRequestId() {
  static std::atomic<unsigned> last{0};
  std::array<char, 32> text{};
  const int size =
      std::snprintf(text.data(), text.size(), "9c41d07b%08x", ++last);
  return {text.data(), static_cast<std::size_t>(size)};
}

Caller::Caller(std::string address, Recorder& recorder)
    : address(std::move(address)), recorder(recorder) {}

bool Caller::Send(const Call& call) {
  if (!this->stream) {
    const int descriptor = Stream::Connect(this->address);
    if (descriptor < 0) return false;
    this->stream = std::make_unique<Stream>(descriptor);
  }
  this->recorder.Write("sent " + call.request_id + " " + call.method + " " +
                       call.target);
  auto bytes = call.method + " " + call.target +
               " HTTP/1.1\r\nHost: " + call.host +
               "\r\nRequest-Id: " + call.request_id +
               "\r\nDeadline-Ms: " + std::to_string(call.deadline_ms) + "\r\n";
  if (call.method != "GET")
    bytes += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  if (this->stream->Write(bytes + "\r\n" + call.body)) return true;
  this->stream.reset();
  return false;
}

std::optional<Message> Caller::Receive(const Call& call) {
  if (!this->stream) return std::nullopt;
  auto answer = this->stream->Read(Milliseconds(2 * call.deadline_ms));
  if (!answer) {
    this->recorder.Write("no answer to " + call.request_id +
                         ", the channel ended or stayed silent");
    this->stream.reset();
    return std::nullopt;
  }
  constexpr std::size_t kShownBytes = 48;
  this->recorder.Write("answer to " + call.request_id + ": " +
                       std::to_string(answer->Status()) + " of request " +
                       answer->Header("request-id") + ", " +
                       std::to_string(answer->body.size()) +
                       " bytes: " + answer->body.substr(0, kShownBytes));
  if (answer->Header("connection") == "close") this->stream.reset();
  return answer;
}

std::optional<Message> Caller::Ask(const Call& call) {
  if (!this->Send(call)) return std::nullopt;
  return this->Receive(call);
}

}  // namespace review
