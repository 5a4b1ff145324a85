#include "stand_ins/load/request_writer.h"

#include "stand_ins/common/token_bytes.h"

namespace burdockwheel::stand_ins {
namespace {

constexpr std::string_view kHostField = "Host: burdockwheel.test\r\n";
constexpr std::size_t kMostVaryingBytes = 256;

void AppendField(std::string_view name, std::string_view value,
                 std::string* out) {
  *out += name;
  *out += ": ";
  *out += value;
  *out += "\r\n";
}

void AppendCaller(const LoadCall& call, std::string* out) {
  *out += "Authorization: Bearer caller-";
  *out += std::to_string(call.caller);
  *out += "\r\n";
}

std::string HeadOf(const LoadKind& kind) {
  std::string head = kind.method + " " + kind.path + " HTTP/1.1\r\n";
  head += kHostField;
  AppendField(kEchoBytesField, std::to_string(kind.answer_bytes), &head);
  if (kind.is_chunked) AppendField(kEchoChunkedField, "1", &head);
  if (kind.request_bytes > 0 || kind.method != "GET") {
    AppendField("Content-Length", std::to_string(kind.request_bytes), &head);
  }
  for (const auto& [name, value] : kind.fields) AppendField(name, value, &head);
  return head;
}

}  // namespace

RequestWriter::RequestWriter(const std::vector<LoadKind>& kinds)
    : kinds(kinds) {
  for (const LoadKind& kind : kinds) this->heads.push_back(HeadOf(kind));
}

std::string RequestWriter::WriteCall(const LoadCall& call) const {
  const std::string& head = this->heads[call.kind];
  const std::size_t body_bytes = this->kinds[call.kind].request_bytes;
  std::string request;
  request.reserve(head.size() + body_bytes + kMostVaryingBytes);
  request += head;
  AppendCaller(call, &request);
  AppendField(kEchoTokenField, FormatToken(call.token), &request);
  if (!call.key.empty()) AppendField("Idempotency-Key", call.key, &request);
  request += "\r\n";
  AppendTokenBytes(call.token, body_bytes, &request);
  return request;
}

std::string RequestWriter::WriteKeyFetch(const LoadCall& call) {
  std::string request = "POST /.well-known/idempotency-keys HTTP/1.1\r\n";
  request += kHostField;
  AppendCaller(call, &request);
  request += "Content-Length: 0\r\n\r\n";
  return request;
}

}  // namespace burdockwheel::stand_ins
