// Compares routing policies in a small queue model and prints a table. Its
// figures are trials: no sockets and no processes take part.
#include <docopt/docopt.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "queue_model.h"

namespace burdockwheel::routing_trial {

namespace {

constexpr char kUsage[] =
    R"(Compares routing policies in a small queue model.

Usage:
  routing_trial [--seconds=N] [--seeds=N] [--load=X] [--workers=N]
                [--domains=N] [--fault=NAME] [--policy=NAME]
                [--probes-per-call=X]

Options:
  --seconds=N          Modelled seconds of each run [default: 40].
  --seeds=N            Runs of each case, with seeds from 1 [default: 3].
  --load=X             Load as a share of the capacity [default: 0.85].
  --workers=N          Only this number of workers.
  --domains=N          Failure domains [default: 1].
  --fault=NAME         Only one of none, slow, rejecting.
  --policy=NAME        Only this policy.
  --probes-per-call=X  Probe budget [default: 0.05].
)";

struct NamedFault {
  std::string name;
  Fault fault;
};

double Median(std::vector<double> values) {
  std::ranges::sort(values);
  return values[values.size() / 2];
}

double Milliseconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Runs a case with each seed and prints one line of the table: the medians, and
// of p99 the least and the greatest.
void PrintCase(TrialCase trial, const std::string& fault, int seeds) {
  std::vector<double> p50;
  std::vector<double> p99;
  std::vector<double> p999;
  std::vector<double> probes;
  std::vector<double> refused;
  std::vector<double> crossed;
  std::vector<double> goodput;
  int held_p99 = 0;
  int held_most = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    trial.seed = static_cast<std::uint64_t>(seed);
    const TrialResult result = RunTrial(trial);
    const auto calls = static_cast<double>(result.calls);
    p50.push_back(Milliseconds(result.Quantile(0.5)));
    p99.push_back(Milliseconds(result.Quantile(0.99)));
    p999.push_back(Milliseconds(result.Quantile(0.999)));
    probes.push_back(static_cast<double>(result.probes) / calls);
    refused.push_back(static_cast<double>(result.refused_attempts) / calls);
    crossed.push_back(static_cast<double>(result.crossings) / calls);
    goodput.push_back(result.goodput);
    held_p99 = std::max(held_p99, result.HeldQuantile(0.99));
    held_most = std::max(held_most, result.HeldQuantile(1));
  }
  std::printf(
      "| %d | %s | %s | %.1f | %.1f (%.1f-%.1f) | %.1f | %.4f | %.4f | %.3f | "
      "%.3f | %d / %d |\n",
      trial.workers, fault.c_str(), trial.policy.c_str(), Median(p50),
      Median(p99), *std::ranges::min_element(p99),
      *std::ranges::max_element(p99), Median(p999), Median(probes),
      Median(refused), Median(crossed), Median(goodput), held_p99, held_most);
  std::fflush(stdout);
}

int Run(int argument_count, char** arguments) {
  auto options =
      docopt::docopt(kUsage, {arguments + 1, arguments + argument_count}, true);
  TrialCase trial;
  trial.duration = std::chrono::seconds(options["--seconds"].asLong());
  trial.load = std::stod(options["--load"].asString());
  trial.domains = static_cast<int>(options["--domains"].asLong());
  trial.probes.probes_per_call =
      std::stod(options["--probes-per-call"].asString());
  trial.probes.most_per_second =
      std::max(100.0, 5000 * trial.probes.probes_per_call);
  const int seeds = static_cast<int>(options["--seeds"].asLong());
  std::vector<int> sizes = {6, 20};
  if (options["--workers"])
    sizes = {static_cast<int>(options["--workers"].asLong())};
  std::vector<std::string> policies = {"oracle",     "oracle-queues",
                                       "random",     "two-choices",
                                       "probe-pool", "expected-delay"};
  if (options["--policy"]) policies = {options["--policy"].asString()};
  std::puts(
      "| workers | fault | policy | p50 ms | p99 ms (least-most) | p99.9 ms | "
      "probes/call | refused/call | crossings/call | goodput | held p99 / most "
      "|\n"
      "|---|---|---|---|---|---|---|---|---|---|---|");
  for (const int workers : sizes) {
    trial.workers = workers;
    for (const auto& [name, fault] :
         {NamedFault{"none", Fault::kNone}, NamedFault{"slow", Fault::kOneSlow},
          NamedFault{"rejecting", Fault::kOneRejecting}}) {
      if (options["--fault"] && options["--fault"].asString() != name) continue;
      trial.fault = fault;
      for (const auto& policy : policies) {
        trial.policy = policy;
        PrintCase(trial, name, seeds);
      }
    }
  }
  return 0;
}

}  // namespace

}  // namespace burdockwheel::routing_trial

int main(int argument_count, char** arguments) {
  return burdockwheel::routing_trial::Run(argument_count, arguments);
}
