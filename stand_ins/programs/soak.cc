// Runs the fault soak: seeded faults against real hosts, judged while it runs.
#include <docopt/docopt.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <iostream>
#include <map>
#include <string>

#include "stand_ins/soak/soak_run.h"

namespace {

using burdockwheel::stand_ins::PromiseName;
using burdockwheel::stand_ins::RunSoak;
using burdockwheel::stand_ins::SoakFaultName;
using burdockwheel::stand_ins::SoakPaths;
using burdockwheel::stand_ins::SoakReport;
using burdockwheel::stand_ins::SoakSettings;

constexpr char kUsage[] =
    R"(Injects faults into hosts as processes on loopback and checks promises.

Usage:
  soak [options]
  soak --help

Options:
  --seed=N            First seed [default: 1].
  --seeds=N           How many seeds, one after the other [default: 1].
  --seconds=S         Length of the traffic of each [default: 20].
  --hosts=N           Entry hosts; 0: drawn from the seed [default: 0].
  --burdockwheel=PATH The product's binary
                      [default: build/src/command/burdockwheel].
  --stand-ins=FOLDER  The stand-ins' binaries [default: build/stand_ins/programs].
  --out=FOLDER        For settings and logs; those of clean seeds are removed
                      [default: build/soak].

One line a seed, and one for each broken promise. The exit code is 3 if a promise
was broken, and 1 if a seed could not be started.
)";

constexpr int kBrokenPromiseExitCode = 3;

void Print(std::uint64_t seed, const SoakReport& report) {
  const auto& counts = report.counts;
  std::cout << "seed=" << seed << " domains=" << report.plan.failure_domains
            << " hosts=" << report.plan.hosts << " workers="
            << report.plan.services * report.plan.workers_per_service
            << " sent=" << counts.sent << " served=" << counts.served
            << " refused=" << counts.refused << " failed=" << counts.failed
            << " closed=" << counts.closed << " left=" << counts.left
            << " runs=" << counts.runs << " repeats=" << counts.repeats
            << " stops_overrun=" << report.stops_overrun
            << " machine_pauses=" << report.machine_pauses
            << " broken=" << report.violations.size() << " faults=";
  const char* separator = "";
  for (const auto& [fault, times] : report.injected) {
    std::cout << separator << SoakFaultName(fault) << ':' << times;
    separator = ",";
  }
  std::cout << std::endl;
  for (const auto& violation : report.violations)
    std::cout << "  broken " << PromiseName(violation.promise) << ": "
              << violation.evidence << std::endl;
}

int Run(const std::map<std::string, docopt::value>& options) {
  const std::uint64_t first = std::stoull(options.at("--seed").asString());
  const std::uint64_t seeds = std::stoull(options.at("--seeds").asString());
  SoakSettings settings;
  settings.length =
      std::chrono::seconds(std::stoi(options.at("--seconds").asString()));
  settings.hosts = std::stoi(options.at("--hosts").asString());
  bool is_broken = false;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    SoakPaths paths;
    paths.burdockwheel = options.at("--burdockwheel").asString();
    paths.stand_ins = options.at("--stand-ins").asString();
    paths.work_folder =
        options.at("--out").asString() + "/seed-" + std::to_string(seed);
    std::filesystem::remove_all(paths.work_folder);
    std::filesystem::create_directories(paths.work_folder);
    settings.seed = seed;
    const auto report = RunSoak(settings, paths);
    if (!report.is_started) {
      std::cerr << "soak: seed " << seed << " could not be started\n";
      return 1;
    }
    Print(seed, report);
    if (report.violations.empty()) {
      std::filesystem::remove_all(paths.work_folder);
    } else {
      is_broken = true;
    }
  }
  return is_broken ? kBrokenPromiseExitCode : 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(docopt::docopt(kUsage, {argv + 1, argv + argc}));
  } catch (const std::logic_error& error) {
    std::cerr << "soak: " << error.what() << '\n';
    return 2;
  }
}
