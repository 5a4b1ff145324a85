// Plays the steps of a trace on real coordinators with a small fake of the
// network and of the workers between them.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "kernel/instant.h"
#include "ownership/outcome_checker.h"
#include "ownership/ownership_coordinator.h"
#include "ownership/step_error.h"
#include "ownership/trace_network.h"
#include "ownership/trace_step.h"

namespace burdockwheel::ownership {

using StepFailure = std::variant<StepError, Violation>;

// Each life of a host has a clock of its own, far from the others'.
class TracePlayer {
 public:
  static constexpr std::size_t kMostKeys = 6;  // of one host

  // Plays with these protections off, to show that a violation is noticed.
  explicit TracePlayer(std::set<Protection> switched_off = {});

  // Plays a step and checks all that must hold. A step that fails by a
  // StepError other than kOutcomeDiffers has changed nothing.
  std::optional<StepFailure> Play(const TraceStep& step);

  // Heals and resumes everything, lets all deadlines pass, and checks that no
  // caller is left without a result.
  std::optional<StepFailure> Finish();

  const OutcomeChecker& Checker() const { return this->checker; }

  std::size_t MessageCount() const { return this->network.MessageCount(); }

 private:
  struct Host {
    PeerIdentity identity;
    std::chrono::milliseconds clock_offset{0};
    std::unique_ptr<OwnershipCoordinator> coordinator;  // null: not running
    bool is_paused = false;
    std::deque<Event> deferred;  // what waits for a paused host
    std::optional<std::chrono::milliseconds> wake;
    // The last planned stop, and who holds that ledger.
    std::optional<PeerLeft> left;
  };
  using Failure = std::optional<StepFailure>;

  Host* RunningHostOrNull(const std::string& name);
  kernel::Instant ClockOf(const Host& host) const;
  Failure Start(const TraceStep& step);
  Failure Kill(const TraceStep& step);
  Failure Resume(const TraceStep& step);
  Failure View(const TraceStep& step);
  Failure Leave(const TraceStep& step);
  Failure Issue(const TraceStep& step);
  Failure Call(const TraceStep& step);
  Failure LoseCaller(const TraceStep& step);
  Failure EndRun(const TraceStep& step);
  Failure Convey(const TraceStep& step);
  Failure Settle();
  Failure Pass(std::chrono::milliseconds duration);
  Failure Expect(const TraceStep& step);

  Failure Give(Host& host, Event event);
  Failure Handle(Host& host, const Event& event);
  Failure Do(Host& host, const RunCall& action);
  Failure Do(Host& host, const AnswerCaller& action);
  Failure Do(Host& host, const GiveKey& action);
  Failure Do(Host& host, const SendToPeer& action);
  Failure Do(Host& host, const WakeAt& action);
  Failure Do(Host& host, const RecordChange& action);
  Failure Do(Host& host, const HandOverEnded& action);

  std::set<Protection> switched_off;
  std::chrono::milliseconds now{0};
  std::uint64_t lives = 0;
  std::uint64_t issues = 0;
  std::map<std::string, Host> hosts;
  TraceNetwork network;
  std::map<std::string, std::string> key_texts;      // by the trace's names
  std::map<std::string, std::string> names_of_keys;  // by their texts
  std::string key_being_issued;
  std::vector<PeerSendFailed> failed_sends;  // of the event being handled
  OutcomeChecker checker;
};

}  // namespace burdockwheel::ownership
