// Makes steps of a trace out of random numbers.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "ownership/trace_player.h"
#include "ownership/trace_step.h"

namespace burdockwheel::ownership {

// Each number stands for one step of a deployment of `host_count` hosts; some
// of the steps find nothing to do.
class RandomTrace {
 public:
  RandomTrace(std::size_t host_count, std::set<Protection> switched_off)
      : player(std::move(switched_off)) {
    for (std::size_t host = 0; host < host_count; ++host)
      this->hosts.emplace_back(1, static_cast<char>('a' + host));
    for (const std::string& host : this->hosts)
      this->Play(StepOf(StepKind::kStart, host));
    for (const std::string& host : this->hosts) this->PlayFullView(host);
  }

  // Returns the first violation.
  std::optional<Violation> PlayAll(const std::vector<std::uint32_t>& codes) {
    for (const std::uint32_t code : codes) {
      this->code = code;
      this->PlayNext();
      if (this->violation.has_value()) return this->violation;
    }
    this->NoteViolation(this->player.Finish());
    return this->violation;
  }

  const OutcomeChecker& Checker() const { return this->player.Checker(); }

  // The steps that did something, as the command replay takes them.
  std::string Lines() const {
    std::ostringstream lines;
    for (const TraceStep& step : this->played)
      lines << TraceStepLine(step) << '\n';
    return lines.str();
  }

 private:
  static constexpr std::size_t kMostKeysOfTrace = 6;

  // Its answer is too large to be kept.
  static constexpr char kLargeBody[] =
      "a body that is much longer than the player's bound for an answer, which "
      "holds the body of its call, so that this one is never kept in a ledger";

  static TraceStep StepOf(StepKind kind, const std::string& host) {
    TraceStep step;
    step.kind = kind;
    step.host = host;
    return step;
  }

  // Takes a number below `bound` off the code.
  std::size_t Draw(std::size_t bound) {
    const std::size_t drawn = this->code % bound;
    this->code /= static_cast<std::uint32_t>(bound);
    return drawn;
  }

  const std::string& DrawHost() {
    return this->hosts[this->Draw(this->hosts.size())];
  }

  void NoteViolation(const std::optional<StepFailure>& failure) {
    if (!failure.has_value()) return;
    if (const auto* found = std::get_if<Violation>(&*failure))
      this->violation = *found;
  }

  void Play(const TraceStep& step) {
    const auto failure = this->player.Play(step);
    this->NoteViolation(failure);
    if (!failure.has_value() || this->violation.has_value())
      this->played.push_back(step);
  }

  void PlayFullView(const std::string& host) {
    TraceStep view = StepOf(StepKind::kView, host);
    view.hosts = this->hosts;
    this->Play(view);
  }

  void PlayNext() {
    static constexpr std::array<std::pair<StepKind, std::size_t>, 18> kWeights =
        {{{StepKind::kDeliver, 50},
          {StepKind::kSettle, 4},
          {StepKind::kCall, 28},
          {StepKind::kEndRun, 24},
          {StepKind::kIssue, 12},
          {StepKind::kPass, 6},
          {StepKind::kRepeat, 8},
          {StepKind::kLose, 2},
          {StepKind::kPause, 2},
          {StepKind::kResume, 3},
          {StepKind::kKill, 1},
          {StepKind::kStart, 2},
          {StepKind::kStop, 1},
          {StepKind::kView, 4},
          {StepKind::kLeft, 2},
          {StepKind::kCut, 1},
          {StepKind::kHeal, 2},
          {StepKind::kCallerGone, 1}}};
    static constexpr std::size_t kWeightSum = 153;
    std::size_t drawn = this->Draw(kWeightSum);
    for (const auto& [kind, weight] : kWeights) {
      if (drawn < weight) return this->PlayKind(kind);
      drawn -= weight;
    }
  }

  void PlayKind(StepKind kind) {
    TraceStep step = StepOf(kind, {});
    switch (kind) {
      case StepKind::kDeliver:
      case StepKind::kRepeat:
      case StepKind::kLose:
        if (this->player.MessageCount() == 0) return;
        step.index = this->Draw(this->player.MessageCount());
        return this->Play(step);
      case StepKind::kCall:
        return this->PlayCall(step);
      case StepKind::kEndRun:
        if (this->key_count == 0) return;
        step.key = this->DrawKey();
        step.run_end = this->DrawRunEnd();
        return this->Play(step);
      case StepKind::kIssue:
        if (this->key_count >= kMostKeysOfTrace) return;
        this->key_count += 1;
        step.host = this->DrawHost();
        step.key = "k" + std::to_string(this->key_count);
        return this->Play(step);
      case StepKind::kPass:
        step.duration = this->DrawDuration();
        return this->Play(step);
      case StepKind::kCallerGone:
        if (this->call_count == 0) return;
        step.call = 1 + this->Draw(this->call_count);
        return this->Play(step);
      case StepKind::kView:
        return this->PlayView(step);
      default:
        step.host = this->DrawHost();
        step.peer = this->DrawHost();
        return this->Play(step);
    }
  }

  void PlayCall(TraceStep& step) {
    if (this->key_count == 0) return;
    this->call_count += 1;
    step.call = this->call_count;
    step.host = this->DrawHost();
    step.key = this->DrawKey();
    step.caller = this->Draw(8) == 0 ? "caller-2" : "caller-1";
    step.body = this->Draw(8) == 0 ? kLargeBody : "body";
    step.duration = this->DrawDuration();
    this->Play(step);
  }

  RunEnd DrawRunEnd() {
    static constexpr std::array<RunEnd, 6> kEnds = {
        RunEnd::kAnswered,   RunEnd::kAnswered, RunEnd::kAnswered,
        RunEnd::kOverloaded, RunEnd::kLate,     RunEnd::kBroken};
    return kEnds[this->Draw(kEnds.size())];
  }

  // Some views lack hosts that are alive, or list hosts that are gone.
  void PlayView(TraceStep& step) {
    step.host = this->DrawHost();
    const bool is_full = this->Draw(2) == 0;
    for (const std::string& host : this->hosts)
      if (is_full || this->Draw(4) != 0) step.hosts.push_back(host);
    this->Play(step);
  }

  std::string DrawKey() {
    return "k" + std::to_string(1 + this->Draw(this->key_count));
  }

  std::chrono::milliseconds DrawDuration() {
    static constexpr std::array<int, 6> kDurations = {0,    50,   500,
                                                      3000, 3000, 11000};
    return std::chrono::milliseconds(kDurations[this->Draw(6)]);
  }

  TracePlayer player;
  std::vector<std::string> hosts;
  std::vector<TraceStep> played;
  std::uint32_t code = 0;
  std::size_t key_count = 0;
  std::uint64_t call_count = 0;
  std::optional<Violation> violation;
};

}  // namespace burdockwheel::ownership
