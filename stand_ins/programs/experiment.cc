// Compares routing policies in one case on a deployment of real processes.
#include <docopt/docopt.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "stand_ins/experiment/cluster.h"
#include "stand_ins/experiment/experiment_case.h"
#include "stand_ins/experiment/experiment_report.h"
#include "stand_ins/experiment/experiment_run.h"

namespace {

using burdockwheel::stand_ins::CheckRuns;
using burdockwheel::stand_ins::Cluster;
using burdockwheel::stand_ins::ClusterOptions;
using burdockwheel::stand_ins::Deployment;
using burdockwheel::stand_ins::DeploymentOrNull;
using burdockwheel::stand_ins::ExperimentCase;
using burdockwheel::stand_ins::ExperimentCaseNames;
using burdockwheel::stand_ins::ExperimentCaseOrNull;
using burdockwheel::stand_ins::KeyOutcome;
using burdockwheel::stand_ins::kOraclePolicy;
using burdockwheel::stand_ins::PolicySample;
using burdockwheel::stand_ins::RunCase;
using burdockwheel::stand_ins::RunCheckReport;
using burdockwheel::stand_ins::RunResult;
using burdockwheel::stand_ins::RunSettings;
using burdockwheel::stand_ins::SampleOf;
using burdockwheel::stand_ins::SummaryOf;
using burdockwheel::stand_ins::SummaryPlot;
using burdockwheel::stand_ins::SummaryTable;
using Json = nlohmann::json;
using CommandLine = std::map<std::string, docopt::value>;

constexpr char kUsage[] =
    R"(Runs cases on hosts, workers and a platform as processes on loopback.

Usage:
  experiment [options] CASE...
  experiment --list
  experiment --help

Options:
  --deployment=NAME   fjordstein, association or demo [default: fjordstein].
  --policies=LIST     Policies in turn; "oracle" is the reference, "default" the
                      product's own choice [default: oracle,default].
  --seconds=S         Length of each run after a second of warm-up [default: 5].
  --repeats=N         Runs of each policy [default: 3].
  --seed=N            Seed of all that is drawn [default: 1].
  --mean-ms=MS        Mean service time of a call in ms [default: 50].
  --law=NAME          Law of service times [default: exponential].
  --burdockwheel=PATH The product's binary
                      [default: build/src/command/burdockwheel].
  --stand-ins=FOLDER  The stand-ins' binaries [default: build/stand_ins/programs].
  --out=FOLDER        For reports, plots, settings and logs
                      [default: build/experiment].
  --base-port=PORT    First port that is used; 0 takes a free range [default: 0].

Writes CASE.json and CASE.svg. The exit code is 3 if a keyed call ran twice, or
an answer or a told outcome was false.
)";

constexpr int kBrokenPromiseExitCode = 3;

std::vector<std::string> Split(const std::string& list) {
  std::vector<std::string> parts;
  std::istringstream in(list);
  for (std::string part; std::getline(in, part, ',');) parts.push_back(part);
  return parts;
}

Json ToJson(const RunCheckReport& check) {
  return {{"keys", check.keys},
          {"answered", check.answered},
          {"failed", check.failed},
          {"not_run", check.not_run},
          {"unknown", check.unknown},
          {"unknown_and_run", check.unknown_and_run},
          {"run_twice", check.run_twice},
          {"not_run_but_run", check.not_run_but_run},
          {"answered_but_not_run", check.answered_but_not_run}};
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

ClusterOptions OptionsOf(const CommandLine& line, const std::string& out) {
  ClusterOptions options;
  options.burdockwheel_path = line.at("--burdockwheel").asString();
  options.stand_ins_folder = line.at("--stand-ins").asString();
  options.work_folder = out;
  options.base_port = std::stoi(line.at("--base-port").asString());
  options.service_time_law = line.at("--law").asString();
  options.seed = std::stoull(line.at("--seed").asString());
  options.mean_service_time =
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::duration<double, std::milli>(
              std::stod(line.at("--mean-ms").asString())));
  return options;
}

// Runs one case; returns the exit code.
int RunOne(const CommandLine& line, const Deployment& deployment,
           const ExperimentCase& experiment_case) {
  const std::string out = line.at("--out").asString();
  std::filesystem::create_directories(out);
  ClusterOptions options = OptionsOf(line, out);
  options.deployment = deployment;
  Cluster cluster(options);
  if (const auto started = cluster.TryStart(); !started.HasValue()) {
    std::cerr << "experiment: the cluster did not start, failure "
              << static_cast<int>(started.Failure()) << "; see " << out << '\n';
    return 1;
  }
  RunSettings settings;
  settings.length = std::chrono::milliseconds(
      std::stoll(line.at("--seconds").asString()) * 1000);
  Json runs = Json::array();
  std::vector<PolicySample> samples;
  std::vector<KeyOutcome> outcomes;
  std::int64_t foreign_answers = 0;
  const int repeats = std::stoi(line.at("--repeats").asString());
  for (int repeat = 0; repeat < repeats; ++repeat) {
    for (const auto& policy : Split(line.at("--policies").asString())) {
      settings.policy = policy;
      settings.seed = options.seed * 100 + static_cast<std::uint64_t>(repeat);
      RunResult result = RunCase(cluster, experiment_case, settings);
      samples.push_back(SampleOf(result.report, repeat));
      foreign_answers += result.load.foreign_answers;
      const auto& keys = result.load.key_outcomes;
      outcomes.insert(outcomes.end(), keys.begin(), keys.end());
      runs.push_back(std::move(result.report));
    }
  }
  const RunCheckReport check =
      CheckRuns(outcomes, cluster.CollectRuns(), !cluster.HasLostCounts());
  const Json summary = SummaryOf(samples, std::string(kOraclePolicy));
  const Json report{{"case", experiment_case.name},
                    {"deployment", deployment.name},
                    {"load", experiment_case.load},
                    {"mean_ms", line.at("--mean-ms").asString()},
                    {"summary", summary},
                    {"run_check", ToJson(check)},
                    {"foreign_answers", foreign_answers},
                    {"platform_counts", cluster.CollectPlatformCounts()},
                    {"runs", runs}};
  WriteFile(out + "/" + experiment_case.name + ".json", report.dump(2) + "\n");
  WriteFile(out + "/" + experiment_case.name + ".svg",
            SummaryPlot(samples, deployment.name + " " + experiment_case.name));
  std::cout << "\n"
            << deployment.name << ", " << experiment_case.name << "\n\n"
            << SummaryTable(summary) << "\nkeyed calls: " << check.keys
            << ", unknown: " << check.unknown
            << ", run twice: " << check.run_twice.size()
            << ", false not-run: " << check.not_run_but_run.size()
            << ", answered without a run: " << check.answered_but_not_run.size()
            << ", foreign answers: " << foreign_answers << "\n"
            << std::flush;
  const bool is_sound = check.IsSound() && foreign_answers == 0;
  return is_sound ? 0 : kBrokenPromiseExitCode;
}

int Run(const CommandLine& line) {
  if (line.at("--list").asBool()) {
    for (const std::string& name : ExperimentCaseNames())
      std::cout << name << '\n';
    return 0;
  }
  const auto deployment = DeploymentOrNull(line.at("--deployment").asString());
  if (!deployment) {
    std::cerr << "experiment: unknown deployment\n";
    return 2;
  }
  int exit_code = 0;
  for (const std::string& name : line.at("CASE").asStringList()) {
    const auto experiment_case = ExperimentCaseOrNull(name);
    if (!experiment_case) {
      std::cerr << "experiment: unknown case " << name << '\n';
      return 2;
    }
    exit_code =
        std::max(exit_code, RunOne(line, *deployment, *experiment_case));
  }
  return exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(docopt::docopt(kUsage, {argv + 1, argv + argc}));
  } catch (const std::logic_error& error) {
    std::cerr << "experiment: " << error.what() << '\n';
    return 2;
  }
}
