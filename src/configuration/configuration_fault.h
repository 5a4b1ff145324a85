// What is wrong with a JSON text that a person wrote, and where.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace burdockwheel::configuration {

enum class FaultReason {
  kNotJson,          // the text is not JSON (RFC 8259)
  kTooLarge,         // the text is longer than it may be
  kTooDeep,          // objects and arrays nest deeper than they may
  kDuplicateKey,     // an object names a member twice
  kUnknownKey,       // no member of this name exists here
  kWrongUnit,        // the member exists under a name with another unit
  kMissing,          // a member that must be there is not
  kWrongType,        // such as a string in place of a number
  kOutOfRange,       // a number, or the length of a list or string
  kMalformed,        // a string that does not have the form it must have
  kUnknownName,      // a name that must be one of a fixed set and is not
  kNotApplicable,    // the member has no meaning beside the others
  kDuplicateName,    // two things of one kind have the same name
  kConflictingRoute  // two kinds of call claim the same method and path
};

struct ConfigurationFault {
  FaultReason reason = FaultReason::kNotJson;
  std::string file;      // as it was named to the parser; may be empty
  int line = 1;          // counted from 1
  std::string pointer;   // a JSON pointer (RFC 6901); "" is the whole text
  std::string expected;  // what would be right, for a person to read

  friend bool operator==(const ConfigurationFault&,
                         const ConfigurationFault&) = default;
};

using ConfigurationFaults = std::vector<ConfigurationFault>;

// Returns a short fixed name, such as "out-of-range".
std::string_view FaultReasonName(FaultReason reason);

// Returns one line, such as
// "slots.json:7: /worker/slots: out-of-range: an integer from 1 to 1024".
std::string FaultMessage(const ConfigurationFault& fault);

}  // namespace burdockwheel::configuration
