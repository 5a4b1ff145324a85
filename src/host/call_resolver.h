// Turns a caller's request into a call of a kind that the configuration knows.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "host/call_submission.h"
#include "host/configuration_in_force.h"
#include "http/message.h"
#include "kernel/instant.h"
#include "kernel/result.h"
#include "model/refusal.h"

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
  explicit CallResolver(model::HostId host);

  void SetConfiguration(std::shared_ptr<const ConfigurationInForce> in_force);
  // Says whether what is held may be acted on. Calls are refused until then.
  void SetSound(bool is_sound) { this->is_sound = is_sound; }
  bool IsSound() const { return this->is_sound; }
  const ConfigurationInForce* InForceOrNull() const {
    return this->in_force.get();
  }

  // Takes the request's headers for deadline, depth and request id, and leaves
  // in it what is to be sent to a worker.
  kernel::Result<ResolvedCall, model::Refusal> Resolve(kernel::Instant now,
                                                       http::Request request);

  // Returns the request's own id if it has a sound one, else a new one.
  std::string RequestIdFor(const http::Request& request);

 private:
  model::HostId host;
  std::uint64_t last_request = 0;
  std::shared_ptr<const ConfigurationInForce> in_force;
  bool is_sound = false;
};

}  // namespace burdockwheel::host
