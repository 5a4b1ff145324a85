#include "stand_ins/soak/soak_run.h"

#include <boost/asio/io_context.hpp>
#include <chrono>

#include "stand_ins/soak/fault_injector.h"
#include "stand_ins/soak/soak_callers.h"

namespace burdockwheel::stand_ins {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kStartTimeout{15000};
constexpr milliseconds kLookInterval{50};
// The longest wait of a caller that has sent its last call.
constexpr milliseconds kSettleTime{4000};

}  // namespace

SoakReport RunSoak(const SoakSettings& settings, const SoakPaths& paths) {
  SoakReport report;
  report.plan = DrawSoakPlan(settings);
  boost::asio::io_context context(1);
  SoakSystem system(context, report.plan, paths, settings.seed);
  if (!system.TryStart()) return report;
  SoakCallers callers(system, report.plan.calls_per_second, settings.seed);
  FaultInjector injector(system, callers);
  injector.Watch();
  callers.AskReadiness();
  const auto start_end = steady_clock::now() + kStartTimeout;
  while (!callers.AreAllReady()) {
    if (steady_clock::now() >= start_end) return report;
    context.run_for(kLookInterval);
  }
  report.is_started = true;
  callers.Start();
  injector.Start(report.plan.steps);
  context.run_for(settings.length);
  callers.Stop();
  context.run_for(kSettleTime);
  auto& ledger = system.Ledger();
  ledger.Finish(steady_clock::now());
  report.counts = ledger.Counts();
  report.injected = injector.Injected();
  report.stops_overrun = injector.StopsOverrun();
  report.machine_pauses = injector.MachinePauses();
  report.violations = ledger.Violations();
  return report;
}

}  // namespace burdockwheel::stand_ins
