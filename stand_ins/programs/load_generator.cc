// Sends the calls of a plan and writes what callers saw.
#include "stand_ins/load/load_generator.h"

#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace {

using burdockwheel::stand_ins::KeyOutcome;
using burdockwheel::stand_ins::LoadMode;
using burdockwheel::stand_ins::LoadReport;
using burdockwheel::stand_ins::RunLoad;
using burdockwheel::stand_ins::ToJson;
using burdockwheel::stand_ins::ToldOutcomeName;
using burdockwheel::stand_ins::TryParseLoadPlan;

constexpr char kUsage[] =
    R"(An open-loop load generator; latencies count from the intended send time.

Usage:
  load_generator PLAN [--keys=FILE] [--direct-oracle]
  load_generator --help

Options:
  --keys=FILE       Write the told outcome of each keyed call, one JSON a line.
  --direct-oracle   Send straight to the worker that would answer soonest.

The plan's members are listed in docs/experiments.md; the report goes to
standard output. The exit code is 3 if an answer was not the caller's own.
)";

constexpr int kForeignAnswerExitCode = 3;

void WriteKeys(const LoadReport& report, const std::string& path) {
  std::ofstream out(path);
  for (const KeyOutcome& outcome : report.key_outcomes) {
    out << nlohmann::json{{"key", outcome.key},
                          {"told", ToldOutcomeName(outcome.told)}}
        << '\n';
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, docopt::value> options =
      docopt::docopt(kUsage, {argv + 1, argv + argc});
  std::ifstream in(options.at("PLAN").asString());
  const std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
  auto plan = TryParseLoadPlan(text);
  if (!plan.HasValue()) {
    std::cerr << "load_generator: bad plan, failure "
              << static_cast<int>(plan.Failure()) << '\n';
    return 2;
  }
  if (options.at("--direct-oracle").asBool())
    plan.Value().mode = LoadMode::kDirectOracle;
  const LoadReport report = RunLoad(plan.Value());
  if (options.at("--keys")) WriteKeys(report, options.at("--keys").asString());
  std::cout << ToJson(report, plan.Value()).dump(2) << '\n';
  return report.foreign_answers == 0 ? 0 : kForeignAnswerExitCode;
}
