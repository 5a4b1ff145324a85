#include "command/check_command.h"

#include <cstdint>
#include <fstream>
#include <iostream>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "configuration/adjusted_value.h"
#include "configuration/configuration_parser.h"
#include "configuration/configuration_review.h"
#include "configuration/document_translator.h"
#include "host/caller_bounds.h"
#include "settings/host_settings.h"

namespace burdockwheel::command {

namespace {

using configuration::AdjustedValue;
using configuration::ConfigurationFault;
using configuration::ConfigurationFaults;
using configuration::FindingKind;
using configuration::Findings;

using Json = nlohmann::ordered_json;
using FleetResult =
    kernel::Result<model::FleetConfiguration, ConfigurationFaults>;

constexpr const char* kStandardInput = "-";

std::optional<std::string> ReadOrNull(const std::string& path) {
  if (path == kStandardInput) {
    return std::string(std::istreambuf_iterator<char>(std::cin),
                       std::istreambuf_iterator<char>());
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file),
                     std::istreambuf_iterator<char>());
}

// Whole documents have services, short files are of one service.
bool IsWholeDocument(const std::string& text) {
  const auto parsed = Json::parse(text, nullptr, false);
  return parsed.is_object() && parsed.contains("services");
}

Findings FindingsOf(const std::vector<AdjustedValue>& values) {
  Findings findings;
  for (const auto& value : values) {
    findings.push_back({FindingKind::kAdjusted, value.place,
                        "hosts take " + value.used + " for " + value.stated});
  }
  return findings;
}

// Returns nothing for a short file. Appends the numbers that a translation
// states otherwise.
std::optional<FleetResult> TryReadFleet(const std::string& text,
                                        const std::string& path,
                                        std::vector<AdjustedValue>& adjusted) {
  for (const auto& name : configuration::DocumentTranslatorRegistry::Names()) {
    const auto translator =
        configuration::DocumentTranslatorRegistry::CreateOrNull(name);
    const auto translated = translator->TryTranslate(text);
    if (!translated) continue;
    if (!translated->HasValue()) {
      return FleetResult(
          ConfigurationFaults{{configuration::FaultReason::kMalformed, path, 1,
                               "", translated->Failure().name}});
    }
    const auto& document = translated->Value();
    adjusted.insert(adjusted.end(), document.adjusted.begin(),
                    document.adjusted.end());
    return configuration::ParseFleetConfiguration(document.text, path);
  }
  if (!IsWholeDocument(text)) return std::nullopt;
  return configuration::ParseFleetConfiguration(text, path);
}

// Prints people's text to standard error, as faults always were, or collects
// JSON for standard output.
class Report {
 public:
  explicit Report(bool is_json) : is_json(is_json) {}

  void Add(const std::string& path, const ConfigurationFaults& faults) {
    for (const auto& fault : faults) this->Add(path, fault);
  }

  void Add(const std::string& path, const Findings& findings) {
    for (const auto& finding : findings) {
      const auto kind = configuration::FindingKindName(finding.kind);
      if (!this->is_json) {
        std::cout << path << ": " << kind << ": " << finding.subject << ": "
                  << finding.explanation << "\n";
        continue;
      }
      this->entries.push_back({{"file", path},
                               {"kind", kind},
                               {"subject", finding.subject},
                               {"explanation", finding.explanation}});
    }
  }

  void Print() const {
    if (this->is_json) std::cout << this->entries.dump(2) << "\n";
  }

 private:
  void Add(const std::string& path, const ConfigurationFault& fault) {
    if (!this->is_json) {
      std::cerr << configuration::FaultMessage(fault) << "\n";
      return;
    }
    this->entries.push_back(
        {{"file", path},
         {"kind", "fault"},
         {"reason", configuration::FaultReasonName(fault.reason)},
         {"line", fault.line},
         {"pointer", fault.pointer},
         {"expected", fault.expected}});
  }

  bool is_json;
  Json entries = Json::array();
};

}  // namespace

CheckOutcome CheckConfigurations(const CheckOptions& options) {
  CheckOutcome outcome;
  Report report(options.is_json);
  auto most_body_bytes = std::numeric_limits<std::int64_t>::max();
  if (!options.settings.empty()) {
    const auto text = ReadOrNull(options.settings);
    if (!text) return {options.settings, false};
    const auto host = settings::ParseHostSettings(*text, options.settings);
    if (host.HasValue()) {
      most_body_bytes = host.Value().MostHeldBodyBytes();
    } else {
      report.Add(options.settings, host.Failure());
      outcome.has_faults = true;
    }
  }
  std::optional<model::FleetConfiguration> in_force;
  if (!options.against.empty()) {
    const auto text = ReadOrNull(options.against);
    if (!text) return {options.against, false};
    std::vector<AdjustedValue> ignored;
    auto read = TryReadFleet(*text, options.against, ignored);
    if (!read) return {options.against, false};
    if (read->HasValue()) {
      in_force = std::move(*read).Value();
    } else {
      report.Add(options.against, read->Failure());
      outcome.has_faults = true;
    }
  }
  for (const auto& path : options.paths) {
    const auto text = ReadOrNull(path);
    if (!text) return {path, outcome.has_faults};
    std::vector<AdjustedValue> adjusted;
    const auto fleet = TryReadFleet(*text, path, adjusted);
    if (!fleet) {
      const auto service = configuration::ParseServiceDefinition(*text, path);
      if (service.HasValue()) continue;
      report.Add(path, service.Failure());
      outcome.has_faults = true;
      continue;
    }
    if (!fleet->HasValue()) {
      report.Add(path, fleet->Failure());
      outcome.has_faults = true;
      continue;
    }
    for (auto& value :
         host::LoweredLimits(fleet->Value().caller_limits, most_body_bytes))
      adjusted.push_back(std::move(value));
    report.Add(path, FindingsOf(adjusted));
    report.Add(path, configuration::ReviewConfiguration(fleet->Value()));
    if (in_force) {
      report.Add(path, configuration::CompareConfigurations(*in_force,
                                                            fleet->Value()));
    }
  }
  report.Print();
  return outcome;
}

}  // namespace burdockwheel::command
