// Measures what one entry host can carry and what it adds to a call.
#include <docopt/docopt.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "stand_ins/experiment/cluster.h"
#include "stand_ins/load/load_generator.h"

namespace {

using burdockwheel::stand_ins::Cluster;
using burdockwheel::stand_ins::ClusterOptions;
using burdockwheel::stand_ins::DeploymentLoadPlan;
using burdockwheel::stand_ins::DeploymentOrNull;
using burdockwheel::stand_ins::LatencyHistogram;
using burdockwheel::stand_ins::LoadMode;
using burdockwheel::stand_ins::LoadPlan;
using burdockwheel::stand_ins::LoadReport;
using burdockwheel::stand_ins::RunLoad;
using CommandLine = std::map<std::string, docopt::value>;
using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr char kUsage[] =
    R"(Calls a second for each core of a host, and the latency that it adds.

Usage:
  host_benchmark [options]
  host_benchmark --help

Options:
  --load=SHARE        Load of the latency runs, as a share of the highest rate
                      that the host has carried [default: 0.7].
  --rate=N            Calls a second of the latency runs; 0 finds the highest
                      rate first and uses --load [default: 0].
  --seconds=S         Length of each latency run [default: 5].
  --repeats=N         Latency runs of each way [default: 5].
  --hosts=N           Entry hosts; CPU time is that of all [default: 1].
  --keyed             Send keyed calls, each with the fetch of its key, in
                      place of reads.
  --threads=N         Threads of the load generator [default: 2].
  --mean-ms=MS        Service time of the workers in ms, constant [default: 0].
  --seed=N            Seed of the calls [default: 1].
  --burdockwheel=PATH The product's binary
                      [default: build/src/command/burdockwheel].
  --stand-ins=FOLDER  The stand-ins' binaries [default: build/stand_ins/programs].
  --out=FOLDER        For the report, settings and logs
                      [default: build/benchmark].
  --base-port=PORT    First port that is used; 0 takes a free range [default: 0].

A rate is carried if 99 in 100 calls are answered within 20 ms of the intended
time. The way straight to the workers is measured in turn with the way through
the host, at the same rate and with the same seeds. Writes benchmark.json.
)";

constexpr double kFirstRate = 4000;
constexpr double kRateStep = 1.2;
constexpr double kMostRate = 200000;
constexpr double kCarriedShare = 0.99;
constexpr milliseconds kCarriedWithin{20};
constexpr milliseconds kRampLength{2000};
// A rate that fails is tried again, since other work disturbs the machine.
constexpr int kTriesOfRate = 3;
constexpr milliseconds kWarmUp{500};

struct Sample {
  double rate = 0;  // calls a second that were offered
  LatencyHistogram all;
  std::int64_t ok = 0;
  double host_cpu_microseconds = 0;  // for each call
};

double Milliseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

Sample Measure(const Cluster& cluster, const LoadPlan& plan) {
  const auto before = cluster.CollectHostUsage();
  const LoadReport report = RunLoad(plan);
  const auto after = cluster.CollectHostUsage();
  Sample sample;
  sample.rate = plan.rate;
  sample.all = report.kinds.at(0).all;
  sample.ok = report.kinds.at(0).ok.Count();
  const std::chrono::duration<double> seconds = plan.length + plan.warm_up;
  sample.host_cpu_microseconds =
      std::chrono::duration<double, std::micro>(after.cpu - before.cpu)
          .count() /
      (plan.rate * seconds.count());
  return sample;
}

bool IsCarried(const Sample& sample) {
  const auto calls = static_cast<double>(sample.all.Count());
  return static_cast<double>(sample.ok) >= kCarriedShare * calls &&
         sample.all.Quantile(kCarriedShare) <= kCarriedWithin;
}

// Raises the rate until the host no longer carries it; returns the last sample
// that it carried.
Sample FindHighestRate(const Cluster& cluster, LoadPlan plan) {
  Sample highest;
  int tries = 0;
  plan.length = kRampLength;
  for (double rate = kFirstRate; rate < kMostRate;) {
    plan.rate = rate;
    Sample sample = Measure(cluster, plan);
    std::cout << "  " << std::fixed << std::setprecision(0) << rate
              << " calls/s: p99 " << std::setprecision(2)
              << Milliseconds(sample.all.Quantile(0.99)) << " ms, host CPU "
              << sample.host_cpu_microseconds << " us a call" << std::endl;
    const bool is_carried = IsCarried(sample);
    tries = is_carried ? 0 : tries + 1;
    if (tries == kTriesOfRate) break;
    if (!is_carried) continue;
    highest = std::move(sample);
    rate *= kRateStep;
  }
  return highest;
}

double Median(std::vector<double> values) {
  std::ranges::sort(values);
  return values.empty() ? 0 : values[values.size() / 2];
}

struct Latencies {
  std::vector<double> p50;
  std::vector<double> p99;
  std::vector<double> p999;

  void Add(const LatencyHistogram& histogram) {
    this->p50.push_back(Milliseconds(histogram.Quantile(0.5)));
    this->p99.push_back(Milliseconds(histogram.Quantile(0.99)));
    this->p999.push_back(Milliseconds(histogram.Quantile(0.999)));
  }

  Json ToJson() const {
    return {
        {"p50_ms", this->p50}, {"p99_ms", this->p99}, {"p99.9_ms", this->p999}};
  }
};

void PrintRow(const char* share, const std::vector<double>& direct,
              const std::vector<double>& through) {
  std::vector<double> added;
  for (std::size_t at = 0; at < direct.size(); ++at)
    added.push_back(through[at] - direct[at]);
  std::cout << "| " << share << " | " << std::setprecision(3) << Median(direct)
            << " | " << Median(through) << " | " << Median(added) << " ("
            << *std::ranges::min_element(added) << " to "
            << *std::ranges::max_element(added) << ") |\n";
}

int RunBenchmark(const CommandLine& line, const ClusterOptions& options) {
  Cluster cluster(options);
  if (const auto started = cluster.TryStart(); !started.HasValue()) {
    std::cerr << "host_benchmark: the processes did not start, failure "
              << static_cast<int>(started.Failure()) << "; see "
              << options.work_folder << '\n';
    return 1;
  }
  LoadPlan plan =
      DeploymentLoadPlan(options.deployment, cluster.Addresses(), kFirstRate);
  std::erase_if(plan.kinds,
                [is_keyed = line.at("--keyed").asBool()](const auto& kind) {
                  return kind.is_keyed != is_keyed;
                });
  plan.seed = options.seed;
  plan.threads = std::stoi(line.at("--threads").asString());
  plan.warm_up = kWarmUp;
  Json report{{"seed", plan.seed}};
  std::cout << std::fixed;
  plan.rate = std::stod(line.at("--rate").asString());
  if (plan.rate <= 0) {
    std::cout << "Highest rate through the host:\n";
    const Sample highest = FindHighestRate(cluster, plan);
    if (highest.rate <= 0) return 1;
    report["highest_rate"] = highest.rate;
    report["host_cpu_microseconds_at_highest"] = highest.host_cpu_microseconds;
    std::cout << "carried " << std::setprecision(0) << highest.rate
              << " calls/s; " << 1e6 / highest.host_cpu_microseconds
              << " calls/s for each core of CPU time\n";
    plan.rate = highest.rate * std::stod(line.at("--load").asString());
  }
  plan.length =
      milliseconds(std::stoll(line.at("--seconds").asString()) * 1000);
  Latencies direct;
  Latencies through;
  std::vector<double> cpu;
  std::int64_t failures = 0;
  const int repeats = std::stoi(line.at("--repeats").asString());
  for (int repeat = 0; repeat < repeats; ++repeat) {
    ++plan.seed;
    for (const LoadMode mode : {LoadMode::kDirect, LoadMode::kEntryHosts}) {
      plan.mode = mode;
      const Sample sample = Measure(cluster, plan);
      const bool is_direct = mode == LoadMode::kDirect;
      (is_direct ? direct : through).Add(sample.all);
      if (!is_direct) cpu.push_back(sample.host_cpu_microseconds);
      failures += sample.all.Count() - sample.ok;
    }
  }
  std::cout << "\nAt " << std::setprecision(0) << plan.rate << " calls/s, "
            << repeats << " runs of each way in turn, medians (host CPU "
            << std::setprecision(1) << Median(cpu) << " us a call; " << failures
            << " calls not answered):\n\n"
            << "| latency | direct, ms | through the host, ms | added, ms "
               "(least to most) |\n|---|---|---|---|\n";
  PrintRow("50%", direct.p50, through.p50);
  PrintRow("99%", direct.p99, through.p99);
  PrintRow("99.9%", direct.p999, through.p999);
  report["rate"] = plan.rate;
  report["direct"] = direct.ToJson();
  report["through_host"] = through.ToJson();
  report["host_cpu_microseconds"] = cpu;
  report["not_answered"] = failures;
  std::ofstream(options.work_folder + "/benchmark.json")
      << report.dump(2) << '\n';
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const CommandLine line = docopt::docopt(kUsage, {argv + 1, argv + argc});
  ClusterOptions options;
  options.deployment = DeploymentOrNull("benchmark").value();
  options.burdockwheel_path = line.at("--burdockwheel").asString();
  options.stand_ins_folder = line.at("--stand-ins").asString();
  options.work_folder = line.at("--out").asString();
  options.service_time_law = "constant";
  try {
    options.deployment.entry_hosts = std::stoi(line.at("--hosts").asString());
    options.deployment.most_entry_hosts = options.deployment.entry_hosts;
    options.base_port = std::stoi(line.at("--base-port").asString());
    options.seed = std::stoull(line.at("--seed").asString());
    options.mean_service_time =
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::duration<double, std::milli>(
                std::stod(line.at("--mean-ms").asString())));
    std::filesystem::create_directories(options.work_folder);
    return RunBenchmark(line, options);
  } catch (const std::exception& error) {
    std::cerr << "host_benchmark: " << error.what() << '\n';
    return 2;
  }
}
