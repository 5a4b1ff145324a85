#include "configuration/acceptance.h"

namespace burdockwheel::configuration {

std::string_view AcceptanceVerdictName(AcceptanceVerdict verdict) {
  switch (verdict) {
    case AcceptanceVerdict::kAccepted:
      return "accepted";
    case AcceptanceVerdict::kAcceptedOfRace:
      return "accepted-of-race";
    case AcceptanceVerdict::kUnchanged:
      return "unchanged";
    case AcceptanceVerdict::kRefusedOlder:
      return "refused-older";
    case AcceptanceVerdict::kRefusedOfRace:
      return "refused-of-race";
    case AcceptanceVerdict::kRefusedInvalid:
      return "refused-invalid";
    case AcceptanceVerdict::kRefusedNotAsClaimed:
      return "refused-not-as-claimed";
  }
  return "unknown";
}

std::string ConfigurationSource::Text() const {
  return this->kind == Kind::kService ? "service" : "peer " + this->peer;
}

}  // namespace burdockwheel::configuration
