// The command line of burdockwheel.
#include <docopt/docopt.h>

#include <boost/scope_exit.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "command/check_command.h"
#include "command/explain_command.h"
#include "command/trace_command.h"
#include "configuration/bundle.h"
#include "configuration/configuration_fault.h"
#include "configuration/configuration_parser.h"
#include "host/entry_host.h"
#include "settings/host_settings.h"
#include "telemetry/event_log.h"

namespace {

using burdockwheel::configuration::ConfigurationFaults;

constexpr const char* kVersion = "burdockwheel 0.1.0";

constexpr const char* kUsage =
    R"(burdockwheel: a load balancer for servers whose load shifts in milliseconds

Usage:
  burdockwheel serve [SETTINGS]
  burdockwheel check [--against=FILE] [--settings=FILE] [--json] FILE...
  burdockwheel bundle --version-number=N [--most-entry-hosts=N] FILE...
  burdockwheel replay TRACE...
  burdockwheel explain --admin=ADDRESS [SUBJECT]
  burdockwheel explain --call=ID LOG...
  burdockwheel (-h | --help)
  burdockwheel --version

Commands:
  serve   Run an entry host from its JSON settings file; without one, from the
          file that the environment variable BURDOCKWHEEL_CONFIG names.
  check   Check operators' short files or whole configurations ("-": standard
          input) before they are sent: every fault, what can never be used,
          limits that contradict each other, numbers that hosts take for
          others, and what differs from the configuration in force.
  bundle  Write the document to publish, made of many short files.
  replay  Replay recorded traces against the outcomes that they state.
  explain Tell from a running host's audit trail what changed, and why; SUBJECT
          is such as a worker's name, a service or "configuration". Or tell from
          the logs of any number of hosts what became of a call; "-" reads them
          from standard input.

Options:
  --against=FILE        The configuration in force.
  --settings=FILE       Settings of a host whose own bounds count too.
  --json                Print the findings as JSON.
  --version-number=N    Version of the publication; must rise.
  --most-entry-hosts=N  Most entry hosts that may run at once [default: 25].
  --admin=ADDRESS       The host's admin IP number and port.
  --call=ID             The request's id, as its caller sent or was given it.
  -h --help             Show this text.
  --version             Show the version.

Exit status: 0 done, 1 a fault in a file, 2 a wrong command line, 3 an address
or file that could not be opened, or a host that does not answer.
)";

constexpr int kExitDone = 0;
constexpr int kExitFault = 1;
constexpr int kExitUsage = 2;
constexpr int kExitUnavailable = 3;

std::optional<std::string> ReadFileOrNull(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

void PrintFaults(const ConfigurationFaults& faults) {
  for (const auto& fault : faults) {
    std::cerr << burdockwheel::configuration::FaultMessage(fault) << "\n";
  }
}

int ReportUnreadable(const std::string& path) {
  std::cerr << "burdockwheel: cannot read " << path << "\n";
  return kExitUnavailable;
}

using burdockwheel::settings::HostSettings;

// Prints what is wrong with the settings; nothing then.
std::optional<HostSettings> ReadSettings(const std::string& path) {
  const auto text = ReadFileOrNull(path);
  if (!text) {
    ReportUnreadable(path);
    return std::nullopt;
  }
  auto settings = burdockwheel::settings::ParseHostSettings(*text, path);
  if (settings.HasValue()) return std::move(settings).Value();
  PrintFaults(settings.Failure());
  return std::nullopt;
}

int Serve(const std::string& path) {
  if (!ReadFileOrNull(path)) return ReportUnreadable(path);
  const auto settings = ReadSettings(path);
  if (!settings) return kExitFault;
  burdockwheel::telemetry::StartEventLog(settings->host.value,
                                         settings->log_level);
  BOOST_SCOPE_EXIT_ALL() { burdockwheel::telemetry::StopEventLog(); };
  burdockwheel::host::EntryHost host(*settings);
  const auto started = host.TryStart();
  if (!started.HasValue()) {
    std::cerr << "burdockwheel: cannot listen on " << started.Failure().setting
              << " " << started.Failure().address << "\n";
    return kExitUnavailable;
  }
  host.Run([path] { return ReadSettings(path); });
  return kExitDone;
}

int Check(const burdockwheel::command::CheckOptions& options) {
  const auto outcome = burdockwheel::command::CheckConfigurations(options);
  if (outcome.unreadable) return ReportUnreadable(*outcome.unreadable);
  return outcome.has_faults ? kExitFault : kExitDone;
}

int Bundle(const std::vector<std::string>& paths, std::uint64_t version,
           int most_entry_hosts) {
  std::vector<burdockwheel::configuration::ServiceFile> files;
  for (const auto& path : paths) {
    const auto text = ReadFileOrNull(path);
    if (!text) return ReportUnreadable(path);
    files.push_back({path, *text});
  }
  const auto bundle = burdockwheel::configuration::BundleServices(
      files, version, most_entry_hosts);
  if (!bundle.HasValue()) {
    PrintFaults(bundle.Failure());
    return kExitFault;
  }
  std::cout << bundle.Value();
  return kExitDone;
}

int ExplainHost(const std::string& admin, const std::string& subject) {
  using burdockwheel::command::ExplainOutcome;
  switch (burdockwheel::command::Explain(admin, subject)) {
    case ExplainOutcome::kExplained:
      return kExitDone;
    case ExplainOutcome::kNothingKnown:
      std::cerr << "burdockwheel: the audit trail holds nothing of it\n";
      return kExitDone;
    case ExplainOutcome::kUnreachable:
      std::cerr << "burdockwheel: no answer from " << admin << "\n";
      return kExitUnavailable;
  }
  return kExitUnavailable;
}

}  // namespace

int main(int argc, char** argv) {
  std::map<std::string, docopt::value> arguments;
  try {
    arguments =
        docopt::docopt_parse(kUsage, {argv + 1, argv + argc}, true, true);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return kExitDone;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << kVersion << "\n";
    return kExitDone;
  } catch (const docopt::DocoptArgumentError& error) {
    std::cerr << error.what() << "\n" << kUsage;
    return kExitUsage;
  }
  if (arguments["serve"].asBool()) {
    const char* from_environment = std::getenv("BURDOCKWHEEL_CONFIG");
    if (arguments["SETTINGS"].isString())
      return Serve(arguments["SETTINGS"].asString());
    if (from_environment != nullptr) return Serve(from_environment);
    std::cerr << kUsage;
    return kExitUsage;
  }
  if (arguments["replay"].asBool()) {
    return burdockwheel::command::ReplayTraces(
               arguments["TRACE"].asStringList())
               ? kExitDone
               : kExitFault;
  }
  if (arguments["explain"].asBool()) {
    if (arguments["--call"].isString()) {
      const auto read = burdockwheel::command::ExplainFromLogs(
          arguments["LOG"].asStringList(), arguments["--call"].asString());
      return read ? ReportUnreadable(*read) : kExitDone;
    }
    const auto& subject = arguments["SUBJECT"];
    return ExplainHost(arguments["--admin"].asString(),
                       subject ? subject.asString() : "");
  }
  const auto& paths = arguments["FILE"].asStringList();
  if (arguments["check"].asBool()) {
    const auto& against = arguments["--against"];
    const auto& settings = arguments["--settings"];
    return Check({paths, against ? against.asString() : "",
                  settings ? settings.asString() : "",
                  arguments["--json"].asBool()});
  }
  try {
    return Bundle(
        paths,
        static_cast<std::uint64_t>(arguments["--version-number"].asLong()),
        static_cast<int>(arguments["--most-entry-hosts"].asLong()));
  } catch (const std::exception&) {
    std::cerr << "burdockwheel: the options of bundle take whole numbers\n";
    return kExitUsage;
  }
}
