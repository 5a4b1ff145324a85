#include "stand_ins/experiment/experiment_report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace burdockwheel::stand_ins {
namespace {

using Json = nlohmann::json;

// The plot's measures, in pixels but for the axis.
constexpr double kWidth = 640;
constexpr double kLeft = 160;
constexpr double kRowHeight = 28;
constexpr double kTop = 50;
constexpr double kLeastMs = 1;
constexpr int kDecades = 5;

double Median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  const std::size_t middle = values.size() / 2;
  if (values.size() % 2 == 1) return values[middle];
  return (values[middle - 1] + values[middle]) / 2;
}

template <typename Member>
double MedianOf(const std::vector<PolicySample>& samples, Member member) {
  std::vector<double> values;
  values.reserve(samples.size());
  for (const PolicySample& sample : samples) values.push_back(sample.*member);
  return Median(std::move(values));
}

// The policies in the order in which they first ran.
std::vector<std::string> PoliciesOf(const std::vector<PolicySample>& samples) {
  std::vector<std::string> policies;
  for (const PolicySample& sample : samples) {
    if (std::ranges::find(policies, sample.policy) == policies.end())
      policies.push_back(sample.policy);
  }
  return policies;
}

std::vector<PolicySample> SamplesOf(const std::vector<PolicySample>& samples,
                                    const std::string& policy) {
  std::vector<PolicySample> found;
  for (const PolicySample& sample : samples) {
    if (sample.policy == policy) found.push_back(sample);
  }
  return found;
}

std::vector<double> RatiosTo(const std::vector<PolicySample>& references,
                             const std::vector<PolicySample>& samples) {
  std::vector<double> ratios;
  for (const PolicySample& sample : samples) {
    for (const PolicySample& reference : references) {
      if (reference.repeat != sample.repeat || reference.p99_ms <= 0) continue;
      ratios.push_back(sample.p99_ms / reference.p99_ms);
    }
  }
  return ratios;
}

}  // namespace

PolicySample SampleOf(const Json& run_report, int repeat) {
  const Json& total = run_report.at("load").at("total");
  const Json& ok = total.at("ok");
  const double calls = std::max(1.0, total.at("all").at("count").get<double>());
  PolicySample sample;
  sample.policy = run_report.at("policy").get<std::string>();
  sample.repeat = repeat;
  sample.p50_ms = ok.at("p50_ms").get<double>();
  sample.p99_ms = ok.at("p99_ms").get<double>();
  sample.p999_ms = ok.at("p99.9_ms").get<double>();
  sample.ok_share = ok.at("count").get<double>() / calls;
  sample.ok_rate = total.at("ok_rate").get<double>();
  sample.measuring_messages =
      run_report.at("worker_counts").value("load_queries", 0.0) / calls;
  sample.host_cpu_microseconds =
      run_report.at("host_cpu_ms").get<double>() * 1000 / calls;
  return sample;
}

Json SummaryOf(const std::vector<PolicySample>& samples,
               const std::string& reference) {
  const auto references = SamplesOf(samples, reference);
  Json summary = Json::array();
  for (const std::string& policy : PoliciesOf(samples)) {
    const auto own = SamplesOf(samples, policy);
    const auto ratios = RatiosTo(references, own);
    Json line{
        {"policy", policy},
        {"repeats", own.size()},
        {"p50_ms", MedianOf(own, &PolicySample::p50_ms)},
        {"p99_ms", MedianOf(own, &PolicySample::p99_ms)},
        {"p99.9_ms", MedianOf(own, &PolicySample::p999_ms)},
        {"ok_share", MedianOf(own, &PolicySample::ok_share)},
        {"ok_rate", MedianOf(own, &PolicySample::ok_rate)},
        {"measuring_messages",
         MedianOf(own, &PolicySample::measuring_messages)},
        {"host_cpu_microseconds",
         MedianOf(own, &PolicySample::host_cpu_microseconds)},
    };
    if (!ratios.empty()) {
      line["p99_ratio"] = Median(ratios);
      line["p99_ratio_least"] = *std::ranges::min_element(ratios);
      line["p99_ratio_most"] = *std::ranges::max_element(ratios);
    }
    summary.push_back(std::move(line));
  }
  return summary;
}

std::string SummaryTable(const Json& summary) {
  std::ostringstream out;
  out << "| policy | p50 ms | p99 ms | p99.9 ms | p99 ratio (least-most) | "
         "ok share | ok/s | probes a call | host CPU us a call |\n"
         "|---|---|---|---|---|---|---|---|---|\n";
  out << std::fixed;
  for (const Json& line : summary) {
    out << "| " << line.at("policy").get<std::string>() << std::setprecision(1)
        << " | " << line.at("p50_ms").get<double>() << " | "
        << line.at("p99_ms").get<double>() << " | "
        << line.at("p99.9_ms").get<double>() << " | " << std::setprecision(2)
        << line.value("p99_ratio", 0.0) << " ("
        << line.value("p99_ratio_least", 0.0) << "-"
        << line.value("p99_ratio_most", 0.0) << ") | " << std::setprecision(4)
        << line.at("ok_share").get<double>() << " | " << std::setprecision(0)
        << line.at("ok_rate").get<double>() << " | " << std::setprecision(3)
        << line.at("measuring_messages").get<double>() << " | "
        << std::setprecision(1)
        << line.at("host_cpu_microseconds").get<double>() << " |\n";
  }
  return out.str();
}

std::string SummaryPlot(const std::vector<PolicySample>& samples,
                        const std::string& title) {
  const auto x_of = [](double milliseconds) {
    const double decades = std::log10(std::max(milliseconds, kLeastMs));
    return kLeft + (kWidth - kLeft - 20) * decades / kDecades;
  };
  const auto policies = PoliciesOf(samples);
  const double bottom =
      kTop + kRowHeight * static_cast<double>(policies.size());
  std::ostringstream out;
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << bottom + 30
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
      << "<text x=\"10\" y=\"20\">" << title
      << ": p99 of each repeat, ms</text>\n";
  for (int decade = 0; decade <= kDecades; ++decade) {
    const double mark = kLeastMs * std::pow(10, decade);
    out << "<line stroke=\"#ccc\" x1=\"" << x_of(mark) << "\" x2=\""
        << x_of(mark) << "\" y1=\"" << kTop - 15 << "\" y2=\"" << bottom
        << "\"/><text text-anchor=\"middle\" x=\"" << x_of(mark) << "\" y=\""
        << bottom + 18 << "\">" << mark << "</text>\n";
  }
  for (std::size_t row = 0; row < policies.size(); ++row) {
    const double y = kTop + kRowHeight * static_cast<double>(row);
    out << "<text x=\"10\" y=\"" << y + 4 << "\">" << policies[row]
        << "</text>\n";
    for (const PolicySample& sample : SamplesOf(samples, policies[row])) {
      out << "<circle r=\"4\" fill=\"#2a6\" fill-opacity=\"0.6\" cx=\""
          << x_of(sample.p99_ms) << "\" cy=\"" << y << "\"/>\n";
    }
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace burdockwheel::stand_ins
