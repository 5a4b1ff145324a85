#include "ownership/trace_player.h"

#include <algorithm>
#include <utility>

namespace burdockwheel::ownership {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStepDuration(1);
constexpr hours kClockDistance(100);
constexpr seconds kLongestDeadline(60);

// Issues are told from calls by a number that no trace reaches.
constexpr model::CallId kIssueCall{std::uint64_t{1} << 62U};

OwnershipSettings SettingsOf(const PeerIdentity& self,
                             const std::set<Protection>& switched_off) {
  OwnershipSettings settings;
  settings.self = self;
  settings.ledger.most_keys = TracePlayer::kMostKeys;
  settings.ledger.key_retention = seconds(10);
  settings.ledger.most_answer_bytes = 300;
  settings.ledger.most_bytes_each = 150;
  settings.ledger.most_waiters_each = 3;
  settings.ledger_part_bytes = 400;
  settings.switched_off_in_tests = switched_off;
  return settings;
}

CallResult ResultOfRun(const ObservedRun& run, RunEnd end) {
  using model::RefusalReason;
  using model::RunState;
  switch (end) {
    case RunEnd::kAnswered:
      return ForwardedAnswer{200, {}, run.answer};
    case RunEnd::kOverloaded:
      return model::Refusal{RefusalReason::kOverloaded, RunState::kNotRun};
    case RunEnd::kLate:
      return model::Refusal{RefusalReason::kDeadlineExceeded,
                            RunState::kNotRun};
    case RunEnd::kBroken:
      break;
  }
  return model::Refusal{RefusalReason::kWorkerFailed, RunState::kUnknown};
}

}  // namespace

TracePlayer::TracePlayer(std::set<Protection> switched_off)
    : switched_off(std::move(switched_off)) {}

std::optional<StepFailure> TracePlayer::Play(const TraceStep& step) {
  this->now += kStepDuration;
  switch (step.kind) {
    case StepKind::kNote:
      return std::nullopt;
    case StepKind::kStart:
      return this->Start(step);
    case StepKind::kPass:
      return this->Pass(step.duration);
    case StepKind::kDeliver:
    case StepKind::kRepeat:
    case StepKind::kLose:
      return this->Convey(step);
    case StepKind::kSettle:
      return this->Settle();
    case StepKind::kCut:
      this->network.Cut(step.host, step.peer);
      return std::nullopt;
    case StepKind::kHeal:
      this->network.Heal(step.host, step.peer);
      return std::nullopt;
    case StepKind::kCallerGone:
      return this->LoseCaller(step);
    case StepKind::kEndRun:
      return this->EndRun(step);
    case StepKind::kExpect:
    case StepKind::kExpectRuns:
      return this->Expect(step);
    default:
      break;
  }

  if (!this->hosts.contains(step.host)) return StepError::kUnknownHost;
  Host* host = this->RunningHostOrNull(step.host);
  if (host == nullptr) return StepError::kHostNotRunning;
  switch (step.kind) {
    case StepKind::kKill:
      return this->Kill(step);
    case StepKind::kPause:
      host->is_paused = true;
      return std::nullopt;
    case StepKind::kResume:
      return this->Resume(step);
    case StepKind::kStop:
      return this->Give(*host, StopBegun{});
    case StepKind::kView:
      return this->View(step);
    case StepKind::kLeft:
      return this->Leave(step);
    case StepKind::kIssue:
      return this->Issue(step);
    default:
      return this->Call(step);
  }
}

std::optional<StepFailure> TracePlayer::Finish() {
  this->network.HealAll();
  for (auto& [name, host] : this->hosts) {
    if (host.coordinator == nullptr) continue;
    TraceStep resume;
    resume.host = name;
    if (auto failure = this->Resume(resume)) return failure;
  }
  if (auto failure = this->Pass(kLongestDeadline)) return failure;
  if (auto violation = this->checker.CheckAllAnswered()) return *violation;
  return std::nullopt;
}

TracePlayer::Host* TracePlayer::RunningHostOrNull(const std::string& name) {
  const auto found = this->hosts.find(name);
  if (found == this->hosts.end()) return nullptr;
  return found->second.coordinator == nullptr ? nullptr : &found->second;
}

kernel::Instant TracePlayer::ClockOf(const Host& host) const {
  return kernel::Instant(host.clock_offset + this->now);
}

TracePlayer::Failure TracePlayer::Start(const TraceStep& step) {
  this->checker.LoseHost(step.host);
  this->lives += 1;
  Host host;
  host.identity = {{step.host}, {this->lives}};
  host.clock_offset = kClockDistance * this->lives;
  host.coordinator = std::make_unique<OwnershipCoordinator>(
      SettingsOf(host.identity, this->switched_off));
  host.left = std::move(this->hosts[step.host].left);
  this->hosts[step.host] = std::move(host);
  return std::nullopt;
}

TracePlayer::Failure TracePlayer::Kill(const TraceStep& step) {
  this->checker.LoseHost(step.host);
  Host& host = this->hosts.at(step.host);
  host.coordinator.reset();
  host.deferred.clear();
  host.wake.reset();
  return std::nullopt;
}

TracePlayer::Failure TracePlayer::Resume(const TraceStep& step) {
  Host& host = this->hosts.at(step.host);
  const bool was_paused = std::exchange(host.is_paused, false);
  if (was_paused)
    if (auto failure = this->Handle(host, PauseNoticed{})) return failure;
  const std::deque<Event> waiting = std::exchange(host.deferred, {});
  for (const Event& event : waiting)
    if (auto failure = this->Handle(host, event)) return failure;
  return this->Pass(milliseconds(0));
}

TracePlayer::Failure TracePlayer::View(const TraceStep& step) {
  PeersAlive view;
  for (const std::string& name : step.hosts) {
    const auto found = this->hosts.find(name);
    if (found == this->hosts.end()) return StepError::kUnknownHost;
    view.peers.push_back(found->second.identity);
  }
  return this->Give(this->hosts.at(step.host), std::move(view));
}

TracePlayer::Failure TracePlayer::Leave(const TraceStep& step) {
  const auto peer = this->hosts.find(step.peer);
  if (peer == this->hosts.end()) return StepError::kUnknownHost;
  if (!peer->second.left.has_value()) return StepError::kNothingToDo;
  return this->Give(this->hosts.at(step.host), *peer->second.left);
}

TracePlayer::Failure TracePlayer::Issue(const TraceStep& step) {
  Host& host = this->hosts.at(step.host);
  if (host.is_paused) return StepError::kHostNotRunning;
  if (this->key_texts.contains(step.key)) return StepError::kNameTaken;
  this->issues += 1;
  KeyWanted wanted{kIssueCall, {}};
  for (std::size_t at = 0; at < sizeof(this->issues); ++at)
    wanted.nonce.bytes[at] =
        static_cast<unsigned char>(this->issues >> (8 * at));
  this->key_being_issued = step.key;
  if (auto failure = this->Handle(host, wanted)) return failure;
  if (!this->key_texts.contains(step.key)) return StepError::kNoKeyIssued;
  if (host.coordinator->Gauges().keys > kMostKeys)
    return Violation::kTooManyKeys;
  return std::nullopt;
}

TracePlayer::Failure TracePlayer::Call(const TraceStep& step) {
  const auto key = this->key_texts.find(step.key);
  if (key == this->key_texts.end()) return StepError::kUnknownKey;
  if (this->checker.CallOrNull(step.call) != nullptr)
    return StepError::kNameTaken;
  this->checker.AddCall(
      step.call, ObservedCall{step.host, step.key, step.caller, step.body});
  Host& host = this->hosts.at(step.host);
  CallWithKey event;
  event.call = {step.call};
  event.payload.key = key->second;
  event.payload.method = "POST";
  event.payload.target = "/bookings";
  event.payload.caller = step.caller;
  event.payload.body = step.body;
  event.deadline = this->ClockOf(host) + step.duration;
  return this->Give(host, std::move(event));
}

TracePlayer::Failure TracePlayer::LoseCaller(const TraceStep& step) {
  const ObservedCall* call = this->checker.CallOrNull(step.call);
  if (call == nullptr) return StepError::kUnknownCall;
  if (call->outcome != CallOutcome::kWaiting) return StepError::kNothingToDo;
  Host* host = this->RunningHostOrNull(call->host);
  if (host == nullptr) return StepError::kHostNotRunning;
  this->checker.LoseCall(step.call);
  return this->Give(*host, CallerGone{{step.call}});
}

TracePlayer::Failure TracePlayer::EndRun(const TraceStep& step) {
  ObservedRun* run = this->checker.RunInFlightOrNull(step.key);
  if (run == nullptr) return StepError::kNothingToDo;
  run->is_in_flight = false;
  run->may_have_run =
      step.run_end == RunEnd::kAnswered || step.run_end == RunEnd::kBroken;
  const RunEnded ended{{run->run}, ResultOfRun(*run, step.run_end)};
  return this->Give(this->hosts.at(run->host), ended);
}

TracePlayer::Failure TracePlayer::Convey(const TraceStep& step) {
  const TraceNetwork::Choice choice{step.host, step.peer, step.index};
  if (step.kind == StepKind::kLose) {
    if (this->network.TryLose(choice)) return std::nullopt;
    return StepError::kNothingToDo;
  }
  auto message =
      this->network.TryDeliver(choice, step.kind == StepKind::kRepeat);
  if (!message.has_value()) return StepError::kNothingToDo;
  Host* host = this->RunningHostOrNull(message->to);
  if (host == nullptr) return std::nullopt;
  return this->Give(*host,
                    PeerMessageArrived{{message->kind, message->from.host,
                                        message->from.incarnation,
                                        std::move(message->body)}});
}

TracePlayer::Failure TracePlayer::Settle() {
  TraceStep deliver;
  deliver.kind = StepKind::kDeliver;
  while (deliver.index < this->network.MessageCount()) {
    const Failure failure = this->Convey(deliver);
    if (failure == StepFailure(StepError::kNothingToDo)) {
      deliver.index += 1;  // held back by a cut link
      continue;
    }
    if (failure.has_value()) return failure;
    deliver.index = 0;
  }
  return std::nullopt;
}

TracePlayer::Failure TracePlayer::Pass(milliseconds duration) {
  const milliseconds end = this->now + duration;
  while (true) {
    Host* next = nullptr;
    for (auto& [name, host] : this->hosts) {
      if (host.coordinator == nullptr || host.is_paused) continue;
      if (!host.wake.has_value() || *host.wake > end) continue;
      if (next == nullptr || *host.wake < *next->wake) next = &host;
    }
    if (next == nullptr) break;
    this->now = std::max(this->now, *next->wake);
    next->wake.reset();
    if (auto failure = this->Handle(*next, TimerFired{})) return failure;
  }
  this->now = end;
  return std::nullopt;
}

TracePlayer::Failure TracePlayer::Expect(const TraceStep& step) {
  if (step.kind == StepKind::kExpectRuns) {
    if (this->checker.RunCount(step.key) == step.count) return std::nullopt;
    return StepError::kOutcomeDiffers;
  }
  const ObservedCall* call = this->checker.CallOrNull(step.call);
  if (call == nullptr) return StepError::kUnknownCall;
  if (call->outcome != step.outcome) return StepError::kOutcomeDiffers;
  if (step.reason.empty() ||
      step.reason == model::RefusalReasonName(call->reason))
    return std::nullopt;
  return StepError::kOutcomeDiffers;
}

// Hands the event in, now or when the host is resumed.
TracePlayer::Failure TracePlayer::Give(Host& host, Event event) {
  if (host.is_paused) {
    host.deferred.push_back(std::move(event));
    return std::nullopt;
  }
  return this->Handle(host, event);
}

TracePlayer::Failure TracePlayer::Handle(Host& host, const Event& event) {
  Actions actions;
  host.coordinator->Handle(this->ClockOf(host), event, actions);
  for (const Action& action : actions) {
    auto failure = std::visit(
        [this, &host](const auto& concrete) {
          return this->Do(host, concrete);
        },
        action);
    if (failure.has_value()) return failure;
  }
  // The transport's word on a dropped message comes after the event's actions.
  const std::vector<PeerSendFailed> failed =
      std::exchange(this->failed_sends, {});
  for (const PeerSendFailed& event : failed)
    if (auto failure = this->Handle(host, event)) return failure;
  return std::nullopt;
}

TracePlayer::Failure TracePlayer::Do(Host& host, const RunCall& action) {
  ObservedRun run;
  run.host = host.identity.host.value;
  run.run = action.run.value;
  run.caller = action.payload.caller;
  run.body = action.payload.body;
  const std::string& key = this->names_of_keys.at(action.payload.key);
  if (auto violation = this->checker.NoteRunStarted(key, std::move(run)))
    return *violation;
  return std::nullopt;
}

TracePlayer::Failure TracePlayer::Do(Host& /*host*/,
                                     const AnswerCaller& action) {
  if (action.call == kIssueCall) return std::nullopt;
  if (auto violation =
          this->checker.NoteResult(action.call.value, action.result))
    return *violation;
  return std::nullopt;
}

TracePlayer::Failure TracePlayer::Do(Host& /*host*/, const GiveKey& action) {
  this->key_texts[this->key_being_issued] = action.key;
  this->names_of_keys[action.key] = this->key_being_issued;
  return std::nullopt;
}

TracePlayer::Failure TracePlayer::Do(Host& host, const SendToPeer& action) {
  if (!this->network.TrySend(
          {host.identity, action.peer.value, action.kind, action.body}))
    this->failed_sends.push_back({action.peer, action.request});
  return std::nullopt;
}

TracePlayer::Failure TracePlayer::Do(Host& host, const WakeAt& action) {
  host.wake =
      std::chrono::duration_cast<milliseconds>(action.time.time_since_epoch()) -
      host.clock_offset;
  return std::nullopt;
}

TracePlayer::Failure TracePlayer::Do(Host& /*host*/,
                                     const RecordChange& /*action*/) {
  return std::nullopt;
}

TracePlayer::Failure TracePlayer::Do(Host& host, const HandOverEnded& action) {
  host.left = PeerLeft{host.identity, action.holders};
  return std::nullopt;
}

}  // namespace burdockwheel::ownership
