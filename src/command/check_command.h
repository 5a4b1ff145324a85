// Checks configurations before they are sent.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace burdockwheel::command {

// What to check and how to tell of it.
struct CheckOptions {
  // Short files, whole documents, or configurations in a form that a registered
  // translator reads.
  std::vector<std::string> paths;
  // The configuration in force, with which whole ones are compared; empty:
  // none.
  std::string against;
  // The settings of a host whose own bounds count too; empty: none.
  std::string settings;
  bool is_json = false;
};

// A file that could not be read, and whether there are faults for which a host
// would refuse a file. Findings alone are no faults.
struct CheckOutcome {
  std::optional<std::string> unreadable;
  bool has_faults = false;
};

// Prints all faults and findings.
CheckOutcome CheckConfigurations(const CheckOptions& options);

}  // namespace burdockwheel::command
