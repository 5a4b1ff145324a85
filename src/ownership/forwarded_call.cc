#include "ownership/forwarded_call.h"

#include "ownership/wire_forms.h"

namespace burdockwheel::ownership {

namespace {

constexpr std::int64_t kMostRemainingMs = std::int64_t{24} * 3600 * 1000;
constexpr int kMostDepth = 1000;

struct WireCall {
  std::string key;
  std::string method;
  std::string target;
  HeaderFields headers;
  std::string body;
  std::string caller;
  std::int64_t remaining_ms = 0;
  int depth = 0;
  std::uint64_t request = 0;

  MSGPACK_DEFINE(key, method, target, headers, body, caller, remaining_ms,
                 depth, request)
};

struct WireReply {
  std::uint64_t asker = 0;
  std::uint64_t request = 0;
  WireResult result;

  MSGPACK_DEFINE(asker, request, result)
};

}  // namespace

std::string EncodeForwardedCall(const ForwardedCall& call) {
  WireCall wire;
  wire.key = call.key;
  wire.method = call.method;
  wire.target = call.target;
  wire.headers = call.headers;
  wire.body = call.body;
  wire.caller = call.caller;
  wire.remaining_ms = call.remaining.count();
  wire.depth = call.depth;
  wire.request = call.request.value;
  return peer::Pack(wire);
}

kernel::Result<ForwardedCall, ForwardDecodeFailure> DecodeForwardedCall(
    std::string_view bytes) {
  auto wire = peer::TryUnpack<WireCall>(bytes);
  if (!wire.has_value()) return ForwardDecodeFailure::kMalformed;
  if (wire->remaining_ms < 0 || wire->remaining_ms > kMostRemainingMs)
    return ForwardDecodeFailure::kFieldOutOfRange;
  if (wire->depth < 0 || wire->depth > kMostDepth)
    return ForwardDecodeFailure::kFieldOutOfRange;
  ForwardedCall call;
  call.key = std::move(wire->key);
  call.method = std::move(wire->method);
  call.target = std::move(wire->target);
  call.headers = std::move(wire->headers);
  call.body = std::move(wire->body);
  call.caller = std::move(wire->caller);
  call.remaining = std::chrono::milliseconds(wire->remaining_ms);
  call.depth = wire->depth;
  call.request = {wire->request};
  return call;
}

std::string EncodeForwardReply(const ForwardReply& reply) {
  WireReply wire;
  wire.asker = reply.asker.value;
  wire.request = reply.request.value;
  wire.result = WireResultOf(reply.result);
  return peer::Pack(wire);
}

kernel::Result<ForwardReply, ForwardDecodeFailure> DecodeForwardReply(
    std::string_view bytes) {
  auto wire = peer::TryUnpack<WireReply>(bytes);
  if (!wire.has_value()) return ForwardDecodeFailure::kMalformed;
  auto result = CallResultOf(std::move(wire->result));
  if (!result.has_value()) return ForwardDecodeFailure::kFieldOutOfRange;
  return ForwardReply{{wire->asker}, {wire->request}, std::move(*result)};
}

}  // namespace burdockwheel::ownership
