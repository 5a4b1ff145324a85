#include "ownership/wire_forms.h"

#include <utility>

namespace burdockwheel::ownership {

namespace {

constexpr int kLeastStatus = 100;
constexpr int kMostStatus = 999;
constexpr std::string_view kNoReason = "unspecified";

std::optional<model::RefusalReason> ReasonNamed(std::string_view name) {
  for (int number = 0;; ++number) {
    const auto reason = static_cast<model::RefusalReason>(number);
    const std::string_view candidate = model::RefusalReasonName(reason);
    if (candidate == kNoReason) return std::nullopt;
    if (candidate == name) return reason;
  }
}

}  // namespace

WireResult WireResultOf(const CallResult& result) {
  WireResult wire;
  if (const auto* answer = std::get_if<ForwardedAnswer>(&result)) {
    wire.is_answer = true;
    wire.status = answer->status;
    wire.headers = answer->headers;
    wire.body = answer->body;
    return wire;
  }
  const auto& refusal = std::get<model::Refusal>(result);
  wire.reason = model::RefusalReasonName(refusal.reason);
  wire.is_not_run = refusal.run_state == model::RunState::kNotRun;
  wire.retry_after_ms = refusal.retry_after.count();
  return wire;
}

std::optional<CallResult> CallResultOf(WireResult wire) {
  if (wire.is_answer) {
    if (wire.status < kLeastStatus || wire.status > kMostStatus)
      return std::nullopt;
    return ForwardedAnswer{wire.status, std::move(wire.headers),
                           std::move(wire.body)};
  }
  const auto reason = ReasonNamed(wire.reason);
  if (!reason.has_value() || wire.retry_after_ms < 0) return std::nullopt;
  model::Refusal refusal;
  refusal.reason = *reason;
  refusal.run_state =
      wire.is_not_run ? model::RunState::kNotRun : model::RunState::kUnknown;
  refusal.retry_after = std::chrono::milliseconds(wire.retry_after_ms);
  return refusal;
}

}  // namespace burdockwheel::ownership
