#include "host/call_resolver.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>
#include <string_view>
#include <utility>

#include "http/hop_by_hop.h"

namespace burdockwheel::host {

namespace {

constexpr std::size_t kMostRequestIdBytes = 128;
constexpr std::int64_t kMostDepthNumber = 1000;

model::Refusal NotRun(model::RefusalReason reason) {
  return {reason, model::RunState::kNotRun, std::chrono::milliseconds(0)};
}

// Reads a header that holds a whole number; one beyond 64 bits counts as the
// largest. A missing header gives `otherwise`, a malformed one nothing.
std::optional<std::int64_t> NumberOrNull(const http::Request& request,
                                         std::string_view name,
                                         std::int64_t otherwise) {
  const auto* text =
      name.empty() ? nullptr : http::HeaderOrNull(request.headers, name);
  if (text == nullptr) return otherwise;
  std::int64_t number = 0;
  const auto* const end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, number);
  if (parsed.ptr != end) return std::nullopt;
  const bool is_too_large =
      parsed.ec == std::errc::result_out_of_range && !text->starts_with('-');
  if (is_too_large) return std::numeric_limits<std::int64_t>::max();
  if (parsed.ec != std::errc() || number < 0) return std::nullopt;
  return number;
}

bool IsSoundRequestId(const std::string& text) {
  if (text.empty() || text.size() > kMostRequestIdBytes) return false;
  return std::all_of(text.begin(), text.end(), [](char character) {
    return character > ' ' && character < 0x7F;
  });
}

std::uint64_t FingerprintOf(const http::Request& request) {
  const auto start = XXH3_64bits(request.method.data(), request.method.size());
  const auto target =
      XXH3_64bits_withSeed(request.target.data(), request.target.size(), start);
  return XXH3_64bits_withSeed(request.body.data(), request.body.size(), target);
}

}  // namespace

CallResolver::CallResolver(model::HostId host,
                           const http::MessageConventions& conventions,
                           std::uint64_t random_seed)
    : host(std::move(host)), conventions(conventions), random(random_seed) {}

void CallResolver::SetConfiguration(
    std::shared_ptr<const ConfigurationInForce> in_force) {
  this->in_force = std::move(in_force);
}

std::string CallResolver::RequestIdFor(const http::Request& request) {
  const auto* given =
      http::HeaderOrNull(request.headers, this->conventions.request_id_header);
  if (given != nullptr && IsSoundRequestId(*given)) return *given;
  if (this->conventions.is_request_id_required) return {};
  this->last_request += 1;
  return this->host.value + "-" + std::to_string(this->last_request);
}

std::optional<configuration::Route> CallResolver::RouteOrNull(
    const http::Request& request) {
  const auto* host_name = http::HeaderOrNull(request.headers, "Host");
  if (host_name != nullptr) {
    const auto index =
        this->in_force->prefix_routes.Find(*host_name, request.target);
    if (index) {
      const auto& route = this->in_force->configuration->prefix_routes[*index];
      const auto& targets = this->in_force->prefix_targets[*index];
      if (targets.empty()) return std::nullopt;
      return targets[this->NextTarget(route.kind.name, targets)].route;
    }
  }
  return this->in_force->routes.Find(request.method, request.target);
}

std::size_t CallResolver::NextTarget(
    const std::string& route, const std::vector<ResolvedTarget>& targets) {
  if (targets.size() == 1) return 0;
  std::vector<double> weights;
  weights.reserve(targets.size());
  for (const auto& target : targets) weights.push_back(target.weight);
  auto found = this->splits.find(route);
  if (found == this->splits.end() || found->second.Weights() != weights) {
    found = this->splits
                .insert_or_assign(route,
                                  routing::WeightedSplit(weights, this->random))
                .first;
  }
  return found->second.Next();
}

std::uint64_t CallResolver::ConfigurationVersion() const {
  return this->in_force ? this->in_force->configuration->version : 0;
}

kernel::Result<ResolvedCall, model::Refusal> CallResolver::Resolve(
    kernel::Instant now, http::Request& request) {
  if (!this->in_force || !this->is_sound) {
    return NotRun(model::RefusalReason::kHostNotReady);
  }
  auto request_id = this->RequestIdFor(request);
  if (request_id.empty())
    return NotRun(model::RefusalReason::kMalformedRequest);
  const auto route = this->RouteOrNull(request);
  if (!route) return NotRun(model::RefusalReason::kNoSuchRoute);
  const auto& service =
      this->in_force->configuration->services[route->service_index];
  const auto& kind = service.kinds[route->kind_index];
  const auto deadline_ms = NumberOrNull(
      request, this->conventions.deadline_header, kind.deadline.count());
  const auto depth = NumberOrNull(request, this->conventions.depth_header, 0);
  if (!deadline_ms || !depth || *depth > kMostDepthNumber) {
    return NotRun(model::RefusalReason::kMalformedRequest);
  }
  ResolvedCall call;
  call.is_idempotent = kind.is_idempotent;
  call.is_key_required = kind.is_key_required;
  call.submission.service = service.name;
  call.submission.kind_index = route->kind_index;
  call.submission.kind_name = kind.name;
  call.submission.objective = kind.objective;
  call.submission.configuration_version =
      this->in_force->configuration->version;
  call.submission.request_id = std::move(request_id);
  call.submission.deadline =
      now + std::min(kind.deadline, std::chrono::milliseconds(*deadline_ms));
  call.submission.depth = static_cast<int>(*depth);
  call.submission.fingerprint = FingerprintOf(request);
  http::RemoveHopByHopHeaders(request.headers);
  for (const auto& name :
       {this->conventions.deadline_header, this->conventions.depth_header,
        this->conventions.request_id_header, this->conventions.fence_header}) {
    if (!name.empty()) http::RemoveHeader(request.headers, name);
  }
  call.submission.request = std::move(request);
  return call;
}

}  // namespace burdockwheel::host
