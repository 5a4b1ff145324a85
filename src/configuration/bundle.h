// Collects the short files of many services into the document to publish.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "configuration/configuration_fault.h"
#include "configuration/configuration_parser.h"
#include "kernel/result.h"

namespace burdockwheel::configuration {

struct ServiceFile {
  std::string name;  // of the file, for faults
  std::string text;
};

// Returns the document, the same for the same files in any order, or every
// fault of all files and of what they say together.
kernel::Result<std::string, ConfigurationFaults> BundleServices(
    const std::vector<ServiceFile>& files, std::uint64_t version,
    int most_entry_hosts, const ParserChecks& checks = {});

}  // namespace burdockwheel::configuration
