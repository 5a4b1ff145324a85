// What happens to the configuration of a host: the input of
// ConfigurationSpread.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "membership/actions.h"
#include "spread/configuration_messages.h"

namespace burdockwheel::spread {

// A time that was asked for has come.
struct TimerFired {};

// The answers to ReadService.
struct ServiceDocumentRead {
  std::uint64_t version = 0;  // as the service states it
  std::string document;
};
struct ServiceUnchanged {};
struct ServiceReadFailed {};

// The platform told of a document without being asked by ReadService.
struct DocumentPublished {
  std::string document;
};

// A peer asks for a part of the configuration in force.
struct RequestArrived {
  std::string address;  // that the answer goes to
  ConfigurationRequest request;
};

// A peer sent a part.
struct PartArrived {
  std::string host;
  ConfigurationPart part;
};

// This host begins its planned stop; others do the reading.
struct LeaveBegun {};

// What the membership says is handed in as it is.
using membership::ContactEstablished;
using membership::MemberChanged;
using membership::PauseDetected;
using membership::StampReceived;

using Event = std::variant<TimerFired, ServiceDocumentRead, ServiceUnchanged,
                           ServiceReadFailed, DocumentPublished, RequestArrived,
                           PartArrived, LeaveBegun, ContactEstablished,
                           MemberChanged, PauseDetected, StampReceived>;

}  // namespace burdockwheel::spread
