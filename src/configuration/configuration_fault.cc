#include "configuration/configuration_fault.h"

namespace burdockwheel::configuration {

std::string_view FaultReasonName(FaultReason reason) {
  switch (reason) {
    case FaultReason::kNotJson:
      return "not-json";
    case FaultReason::kTooLarge:
      return "too-large";
    case FaultReason::kTooDeep:
      return "too-deep";
    case FaultReason::kDuplicateKey:
      return "duplicate-key";
    case FaultReason::kUnknownKey:
      return "unknown-key";
    case FaultReason::kWrongUnit:
      return "wrong-unit";
    case FaultReason::kMissing:
      return "missing";
    case FaultReason::kWrongType:
      return "wrong-type";
    case FaultReason::kOutOfRange:
      return "out-of-range";
    case FaultReason::kMalformed:
      return "malformed";
    case FaultReason::kUnknownName:
      return "unknown-name";
    case FaultReason::kNotApplicable:
      return "not-applicable";
    case FaultReason::kDuplicateName:
      return "duplicate-name";
    case FaultReason::kConflictingRoute:
      return "conflicting-route";
  }
  return "unknown";
}

std::string FaultMessage(const ConfigurationFault& fault) {
  std::string message = fault.file.empty() ? "-" : fault.file;
  message += ":" + std::to_string(fault.line) + ": ";
  message += fault.pointer.empty() ? "(whole text)" : fault.pointer;
  message += ": ";
  message += FaultReasonName(fault.reason);
  if (!fault.expected.empty()) message += ": " + fault.expected;
  return message;
}

}  // namespace burdockwheel::configuration
