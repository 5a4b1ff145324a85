// Shows calls of both kinds through each of three entry hosts.
#include <docopt/docopt.h>

#include <filesystem>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "stand_ins/experiment/cluster.h"
#include "stand_ins/load/load_generator.h"
#include "stand_ins/load/run_check.h"

namespace {

using burdockwheel::stand_ins::CheckRuns;
using burdockwheel::stand_ins::Cluster;
using burdockwheel::stand_ins::ClusterOptions;
using burdockwheel::stand_ins::DeploymentLoadPlan;
using burdockwheel::stand_ins::DeploymentOrNull;
using burdockwheel::stand_ins::KeyOutcome;
using burdockwheel::stand_ins::KindReport;
using burdockwheel::stand_ins::LoadPlan;
using burdockwheel::stand_ins::LoadReport;
using burdockwheel::stand_ins::RunCheckReport;
using burdockwheel::stand_ins::RunLoad;
using CommandLine = std::map<std::string, docopt::value>;

constexpr char kUsage[] =
    R"(Starts three entry hosts, a platform and six workers, and calls them.

Usage:
  demo [options]
  demo --help

Options:
  --burdockwheel=PATH The product's binary
                      [default: build/src/command/burdockwheel].
  --stand-ins=FOLDER  The stand-ins' binaries [default: build/stand_ins/programs].
  --out=FOLDER        For settings and logs [default: build/demo].
  --base-port=PORT    First port that is used; 0 takes a free range [default: 0].
  --seed=N            Seed of the calls [default: 1].

The exit code is 0 if every call ended as it should.
)";

constexpr double kCallsASecond = 300;
constexpr std::chrono::milliseconds kLength{2000};
constexpr std::chrono::milliseconds kMeanServiceTime{5};
constexpr int kColumnWidth = 12;

double Milliseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

void PrintHeading() {
  std::cout << std::left << std::setw(kColumnWidth) << "host" << std::setw(14)
            << "kind" << std::right;
  for (const char* title : {"calls", "answered", "p50 ms", "p99 ms", "max ms"})
    std::cout << std::setw(kColumnWidth) << title;
  std::cout << "\n";
}

// Returns whether each call was answered.
bool PrintKind(const std::string& through, const std::string& name,
               const KindReport& kind) {
  std::cout << std::left << std::setw(kColumnWidth) << through << std::setw(14)
            << name << std::right << std::setw(kColumnWidth) << kind.all.Count()
            << std::setw(kColumnWidth) << kind.ok.Count() << std::fixed
            << std::setprecision(2);
  for (const auto time :
       {kind.ok.Quantile(0.5), kind.ok.Quantile(0.99), kind.ok.Largest()})
    std::cout << std::setw(kColumnWidth) << Milliseconds(time);
  for (const auto& [label, count] : kind.outcomes) {
    if (label != "ok") std::cout << "  " << label << "=" << count;
  }
  std::cout << "\n";
  return kind.ok.Count() == kind.all.Count() && kind.all.Count() > 0;
}

// Sends through one host, or through all, and returns whether all went well.
bool RunThrough(const std::string& name, const LoadPlan& plan,
                std::vector<KeyOutcome>* outcomes) {
  const LoadReport report = RunLoad(plan);
  bool is_good = report.foreign_answers == 0;
  for (std::size_t kind = 0; kind < plan.kinds.size(); ++kind) {
    if (!PrintKind(name, plan.kinds[kind].name, report.kinds[kind]))
      is_good = false;
  }
  outcomes->insert(outcomes->end(), report.key_outcomes.begin(),
                   report.key_outcomes.end());
  return is_good;
}

int RunDemo(const ClusterOptions& options) {
  Cluster cluster(options);
  if (const auto started = cluster.TryStart(); !started.HasValue()) {
    std::cerr << "demo: the processes did not start, failure "
              << static_cast<int>(started.Failure()) << "; see "
              << options.work_folder << '\n';
    return 1;
  }
  LoadPlan plan = DeploymentLoadPlan(options.deployment, cluster.Addresses(),
                                     kCallsASecond);
  plan.length = kLength;
  plan.seed = options.seed;
  const std::vector<std::string> all_hosts = plan.entry_hosts;
  std::vector<KeyOutcome> outcomes;
  PrintHeading();
  bool is_good = true;
  for (const auto& host : cluster.Addresses().entry_hosts) {
    plan.entry_hosts = {host.caller};
    ++plan.seed;
    is_good = RunThrough(host.id, plan, &outcomes) && is_good;
  }
  plan.entry_hosts = all_hosts;
  ++plan.seed;
  is_good = RunThrough("all", plan, &outcomes) && is_good;
  const RunCheckReport check = CheckRuns(outcomes, cluster.CollectRuns(), true);
  std::cout << "bookings: " << check.keys
            << ", run twice: " << check.run_twice.size()
            << ", told \"not run\" but run: " << check.not_run_but_run.size()
            << ", answered but not run: " << check.answered_but_not_run.size()
            << ", unknown: " << check.unknown << "\n";
  is_good = is_good && check.IsSound();
  std::cout << (is_good ? "Every call ended as it should.\n"
                        : "Some calls did not end as they should.\n");
  return is_good ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  const CommandLine line = docopt::docopt(kUsage, {argv + 1, argv + argc});
  ClusterOptions options;
  options.deployment = DeploymentOrNull("demo").value();
  options.burdockwheel_path = line.at("--burdockwheel").asString();
  options.stand_ins_folder = line.at("--stand-ins").asString();
  options.work_folder = line.at("--out").asString();
  options.mean_service_time = kMeanServiceTime;
  try {
    options.base_port = std::stoi(line.at("--base-port").asString());
    options.seed = std::stoull(line.at("--seed").asString());
    std::filesystem::create_directories(options.work_folder);
    return RunDemo(options);
  } catch (const std::exception& error) {
    std::cerr << "demo: " << error.what() << '\n';
    return 2;
  }
}
