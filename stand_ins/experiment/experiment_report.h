// What the runs of one case show when policies are compared.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace burdockwheel::stand_ins {

// One policy in one repeat.
struct PolicySample {
  std::string policy;
  int repeat = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  double ok_share = 0;
  double ok_rate = 0;                // answers of success a second
  double measuring_messages = 0;     // probes for each call
  double host_cpu_microseconds = 0;  // for each call
};

PolicySample SampleOf(const nlohmann::json& run_report, int repeat);

// Medians over the repeats, and the ratio of the p99 to that of `reference` in
// the same repeat as median, least and most.
nlohmann::json SummaryOf(const std::vector<PolicySample>& samples,
                         const std::string& reference);

// The summary as a table in Markdown.
std::string SummaryTable(const nlohmann::json& summary);

// A plot of each policy's p99 in each repeat, on a logarithmic axis, as SVG.
std::string SummaryPlot(const std::vector<PolicySample>& samples,
                        const std::string& title);

}  // namespace burdockwheel::stand_ins
