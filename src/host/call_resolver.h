// Turns a caller's request into a call of a kind that the configuration knows.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "host/call_submission.h"
#include "host/configuration_in_force.h"
#include "http/message.h"
#include "http/message_conventions.h"
#include "kernel/instant.h"
#include "kernel/result.h"
#include "model/refusal.h"
#include "routing/weighted_split.h"

namespace burdockwheel::host {

// A call and what its kind demands.
struct ResolvedCall {
  CallSubmission submission;
  bool is_idempotent = false;
  bool is_key_required = false;
};

// Looks requests up in the configuration in force. Reads no clock.
class CallResolver {
 public:
  // `conventions` must outlive the resolver.
  CallResolver(model::HostId host, const http::MessageConventions& conventions,
               std::uint64_t random_seed);

  void SetConfiguration(std::shared_ptr<const ConfigurationInForce> in_force);
  // Says whether what is held may be acted on. Calls are refused until then.
  void SetSound(bool is_sound) { this->is_sound = is_sound; }
  bool IsSound() const { return this->is_sound; }
  const ConfigurationInForce* InForceOrNull() const {
    return this->in_force.get();
  }

  // Takes the request's headers for deadline, depth and request id. The call
  // holds what is to be sent to a worker; a request that is refused stays
  // whole.
  kernel::Result<ResolvedCall, model::Refusal> Resolve(kernel::Instant now,
                                                       http::Request& request);

  // Returns the version that Resolve goes by, or 0 without a configuration.
  std::uint64_t ConfigurationVersion() const;

  // Returns the request's own id if it has a sound one, else a new one, or
  // nothing where a request must have its own.
  std::string RequestIdFor(const http::Request& request);

 private:
  // Returns where the call goes; a call of a split route counts for the split.
  std::optional<configuration::Route> RouteOrNull(const http::Request& request);
  std::size_t NextTarget(const std::string& route,
                         const std::vector<ResolvedTarget>& targets);

  model::HostId host;
  const http::MessageConventions& conventions;
  std::mt19937_64 random;
  std::map<std::string, routing::WeightedSplit> splits;  // by the route's name
  std::uint64_t last_request = 0;
  std::shared_ptr<const ConfigurationInForce> in_force;
  bool is_sound = false;
};

}  // namespace burdockwheel::host
