// What became of a publication that a host was offered.
#pragma once

#include <string>
#include <string_view>

#include "configuration/configuration_fault.h"
#include "configuration/configuration_stamp.h"

namespace burdockwheel::configuration {

enum class AcceptanceVerdict {
  kAccepted,        // a higher version; it is in force from now on
  kAcceptedOfRace,  // of the same version, and the later one in the order
  kUnchanged,       // it is the one in force
  kRefusedOlder,    // a lower version than the one in force
  kRefusedOfRace,   // of the same version, and the earlier one in the order
  kRefusedInvalid,  // the document has faults
  kRefusedNotAsClaimed,  // a peer's parts do not give what it announced
};

constexpr bool IsAccepted(AcceptanceVerdict verdict) {
  return verdict == AcceptanceVerdict::kAccepted ||
         verdict == AcceptanceVerdict::kAcceptedOfRace;
}

// Returns a short fixed name, such as "refused-older".
std::string_view AcceptanceVerdictName(AcceptanceVerdict verdict);

// Where a publication came from.
struct ConfigurationSource {
  enum class Kind { kService, kPeer };
  Kind kind = Kind::kService;
  std::string peer;  // the name of the host, if it is a peer

  // Returns "service" or "peer NAME".
  std::string Text() const;
};

// One entry of the audit trail.
struct AcceptanceRecord {
  AcceptanceVerdict verdict = AcceptanceVerdict::kUnchanged;
  ConfigurationSource source;
  ConfigurationStamp before;   // in force before
  ConfigurationStamp offered;  // zero if it could not be read
  ConfigurationFaults faults;  // of an invalid document
  // The same publication was refused for the same reason before; there is no
  // need to note it again.
  bool is_repeated = false;
};

}  // namespace burdockwheel::configuration
