#include "explain/call_story.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>
#include <set>

namespace burdockwheel::explain {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What a host learnt before and after a call and that may explain it.
constexpr seconds kLookBack{10};
constexpr seconds kLookAhead{2};
// A machine whose neighbours slow it down by more than this is called slow.
constexpr double kSlowMachine = 1.5;
// The share of a late call's time above which one part is called its cause.
constexpr double kMainShare = 0.4;

std::string Ms(double value) {
  return std::to_string(static_cast<std::int64_t>(std::lround(value))) + " ms";
}

// The lines of one call, by what they tell.
struct Parts {
  const LogLine* admitted = nullptr;
  const LogLine* queued = nullptr;
  std::vector<const LogLine*> sent;
  std::vector<const LogLine*> ended;
  const LogLine* end = nullptr;  // answered, refused, rejected or gone
  const LogLine* undelivered = nullptr;
};

Parts PartsOf(const std::vector<LogLine>& lines) {
  Parts parts;
  for (const auto& line : lines) {
    if (line.event == "call-admitted") parts.admitted = &line;
    if (line.event == "call-queued" && parts.queued == nullptr)
      parts.queued = &line;
    if (line.event == "call-sent") parts.sent.push_back(&line);
    if (line.event == "attempt-ended") parts.ended.push_back(&line);
    if (line.event == "answer-undelivered") parts.undelivered = &line;
    const bool is_end =
        line.event == "call-answered" || line.event == "call-refused" ||
        line.event == "call-rejected" || line.event == "caller-gone";
    if (is_end) parts.end = &line;
  }
  return parts;
}

const LogLine* SentOrNull(const Parts& parts, const std::string& attempt) {
  const auto found =
      std::ranges::find_if(parts.sent, [&attempt](const LogLine* line) {
        return line->Field("attempt") == attempt;
      });
  return found == parts.sent.end() ? nullptr : *found;
}

// The newest attempt that ended without an answer, or null.
const LogLine* FailedOrNull(const Parts& parts) {
  const LogLine* failed = nullptr;
  for (const LogLine* line : parts.ended) {
    if (line->Field("result") != "answered") failed = line;
  }
  return failed;
}

std::string DescribeAttempt(const Parts& parts, const LogLine& ended) {
  const LogLine* sent = SentOrNull(parts, ended.Field("attempt"));
  std::string text = "attempt " + ended.Field("attempt");
  if (sent != nullptr) {
    text += " at worker " + sent->Field("worker") + " (expected delay " +
            sent->Field("delay_ms") + " ms, load " + sent->Field("load") +
            " of " + sent->Field("slots") + " slots, machine " +
            sent->Field("slowdown") + " times its usual time, report " +
            sent->Field("report_age_ms") + " ms old)";
  }
  text += " ended after " + ended.Field("latency_ms") +
          " ms: " + ended.Field("result");
  if (ended.Field("cause") != "none") text += ", " + ended.Field("cause");
  return text;
}

void ExplainRefusal(const Parts& parts, CallStory& story) {
  const auto& reason = parts.end->Field("reason");
  const auto& evidence = parts.end->Field("evidence");
  const LogLine* failed = FailedOrNull(parts);
  const bool has_run = parts.end->Field("run_state") != "not-run";
  story.cause = Cause::kRefused;
  story.explanation = "refused as " + reason;
  if (!evidence.empty()) story.explanation += " (" + evidence + ")";
  if (reason == "host-not-ready") story.cause = Cause::kHostNotReady;
  if (reason == "no-such-route") story.cause = Cause::kNoRoute;
  if (reason == "malformed-request") story.cause = Cause::kMalformed;
  if (reason == "host-stopping") story.cause = Cause::kHostStopping;
  if (reason == "no-worker") story.cause = Cause::kNoWorker;
  if (reason == "evacuated") story.cause = Cause::kEvacuated;
  if (reason == "overloaded") story.cause = Cause::kOverloaded;
  if (reason == "deadline-exceeded") story.cause = Cause::kTooLate;
  if (reason == "suspected-crashing-call") story.cause = Cause::kCrashSuspected;
  const bool is_answer_withheld =
      has_run && reason == "worker-failed" && !parts.ended.empty() &&
      parts.ended.back()->Field("result") == "answered";
  if (is_answer_withheld) {
    const LogLine& answered = *parts.ended.back();
    story.cause = Cause::kWorkerError;
    story.explanation =
        DescribeAttempt(parts, answered) + " with " + answered.Field("status") +
        "; that status promises that the call has not run, which the worker "
        "did not state, so that the answer was not relayed";
    return;
  }
  if (failed == nullptr) return;
  if (!has_run) {
    if (reason == "worker-failed") story.cause = Cause::kWorkerUnreachable;
    story.explanation += "; " + DescribeAttempt(parts, *failed);
    return;
  }
  const bool is_timeout = failed->Field("result") == "timed-out";
  story.cause = is_timeout ? Cause::kWorkerTimeout : Cause::kAnswerLost;
  story.explanation = DescribeAttempt(parts, *failed) +
                      "; the call may have run, so that it was not sent again";
}

void ExplainAnswer(const Parts& parts, CallStory& story) {
  const LogLine& end = *parts.end;
  const double latency = end.Number("latency_ms");
  story.explanation = "answered with " + end.Field("status") + " after " +
                      Ms(latency) + ", objective " + end.Field("objective_ms") +
                      " ms";
  constexpr double kFirstServerError = 500;
  if (end.Number("status") >= kFirstServerError) {
    story.cause = Cause::kWorkerError;
    story.explanation += "; the worker's own answer";
    return;
  }
  if (parts.undelivered != nullptr) {
    story.cause = Cause::kNotDelivered;
    story.explanation += "; the caller left while it was written";
    return;
  }
  story.cause = Cause::kAnsweredInTime;
  if (end.Field("late") != "1") return;
  const LogLine* sent = SentOrNull(parts, end.Field("attempt"));
  const LogLine* failed = FailedOrNull(parts);
  story.cause = Cause::kSlowWorker;
  if (sent == nullptr) return;
  const auto admitted_at =
      parts.admitted == nullptr ? sent->up : parts.admitted->up;
  const auto waited = static_cast<double>((sent->up - admitted_at).count());
  if (waited >= kMainShare * latency) {
    const bool is_repeat = sent->Field("cause") != "first-try";
    story.cause = is_repeat ? Cause::kFailedFirst : Cause::kQueuedLong;
    story.explanation += "; it was sent to the worker that answered only " +
                         Ms(waited) + " after it came";
    if (failed != nullptr)
      story.explanation += ", since " + DescribeAttempt(parts, *failed);
    else if (parts.queued != nullptr)
      story.explanation += ", since no worker had room (" +
                           parts.queued->Field("evidence") + ")";
    return;
  }
  const auto ended =
      std::ranges::find_if(parts.ended, [&end](const LogLine* line) {
        return line->Field("attempt") == end.Field("attempt");
      });
  if (ended == parts.ended.end()) return;
  story.explanation += "; " + DescribeAttempt(parts, **ended);
  if ((*ended)->Number("slowdown") >= kSlowMachine)
    story.explanation += "; its machine was slowed " +
                         (*ended)->Field("slowdown") +
                         " times when it answered";
}

void ExplainEnd(const Parts& parts, const std::vector<LogLine>& log,
                CallStory& story) {
  if (parts.end == nullptr) {
    story.cause = Cause::kHostGone;
    const LogLine& newest = story.lines.back();
    const auto& host = newest.host;
    const LogLine* last = &newest;
    for (const auto& line : log) {
      if (line.host != host || line.life != newest.life) continue;
      if (line.up > last->up) last = &line;
    }
    story.explanation =
        "no host tells its end; " + host + " wrote its last line " +
        Ms(static_cast<double>((last->up - newest.up).count())) + " later (" +
        last->event + ")";
    return;
  }
  if (parts.end->event == "caller-gone") {
    story.cause = Cause::kCallerGone;
    story.explanation = "the caller closed its connection after " +
                        parts.end->Field("latency_ms") + " ms";
    if (!parts.sent.empty())
      story.explanation +=
          ", while worker " + parts.sent.back()->Field("worker") + " had it";
    return;
  }
  if (parts.end->event == "call-answered") {
    ExplainAnswer(parts, story);
    return;
  }
  ExplainRefusal(parts, story);
}

// What the same hosts learnt about the call's workers, its service and what
// they depend on.
void CollectAround(const std::vector<LogLine>& log, CallStory& story) {
  static const std::set<std::string, std::less<>> kHostEvents = {
      "started",           "stopped",        "stop-announced",
      "readiness",         "reload",         "platform-lost",
      "platform-regained", "pause-detected", "contact-regained",
      "log-lines-lost"};
  std::set<std::string> hosts;
  std::set<std::string> workers;
  std::string service;
  for (const auto& line : story.lines) {
    hosts.insert(line.host);
    if (!line.Field("worker").empty()) workers.insert(line.Field("worker"));
    if (!line.Field("service").empty()) service = line.Field("service");
  }
  const auto begin = story.lines.front().time - kLookBack;
  const auto end = story.lines.back().time + kLookAhead;
  for (const auto& line : log) {
    if (!hosts.contains(line.host) || line.time < begin || line.time > end)
      continue;
    const auto& subject = line.Field("subject");
    const bool is_on_worker =
        workers.contains(line.Field("worker")) ||
        (subject.starts_with("worker ") && workers.contains(subject.substr(7)));
    const bool is_on_service = subject == "service " + service;
    const bool is_on_configuration = subject.starts_with("configuration");
    const bool is_of_call = !line.Field("call").empty();
    const bool is_wanted = kHostEvents.contains(line.event) || is_on_worker ||
                           is_on_service || is_on_configuration;
    if (is_wanted && !is_of_call) story.around.push_back(line);
  }
}

void SortByTime(std::vector<LogLine>& lines) {
  std::ranges::stable_sort(lines,
                           [](const LogLine& left, const LogLine& right) {
                             return left.time < right.time;
                           });
}

}  // namespace

std::string_view CauseName(Cause cause) {
  switch (cause) {
    case Cause::kUnknownCall:
      return "unknown-call";
    case Cause::kAnsweredInTime:
      return "answered-in-time";
    case Cause::kHostNotReady:
      return "host-not-ready";
    case Cause::kNoRoute:
      return "no-route";
    case Cause::kMalformed:
      return "malformed";
    case Cause::kHostStopping:
      return "host-stopping";
    case Cause::kNoWorker:
      return "no-worker";
    case Cause::kEvacuated:
      return "evacuated";
    case Cause::kOverloaded:
      return "overloaded";
    case Cause::kTooLate:
      return "too-late";
    case Cause::kCrashSuspected:
      return "crash-suspected";
    case Cause::kQueuedLong:
      return "queued-long";
    case Cause::kSlowWorker:
      return "slow-worker";
    case Cause::kFailedFirst:
      return "failed-first";
    case Cause::kAnswerLost:
      return "answer-lost";
    case Cause::kWorkerTimeout:
      return "worker-timeout";
    case Cause::kWorkerError:
      return "worker-error";
    case Cause::kCallerGone:
      return "caller-gone";
    case Cause::kNotDelivered:
      return "not-delivered";
    case Cause::kHostGone:
      return "host-gone";
    case Cause::kWorkerUnreachable:
      return "worker-unreachable";
    case Cause::kRefused:
      return "refused";
  }
  return "unknown-call";
}

CallStory ExplainCall(std::vector<LogLine> log, std::string_view call) {
  AlignTimes(log);
  CallStory story;
  for (const auto& line : log) {
    if (line.Field("call") == call) story.lines.push_back(line);
  }
  if (story.lines.empty()) {
    story.explanation =
        "no line names it: it reached no host whose log is here, or it came in "
        "a second with more calls than are told one by one";
    return story;
  }
  SortByTime(story.lines);
  ExplainEnd(PartsOf(story.lines), log, story);
  CollectAround(log, story);
  SortByTime(story.around);
  return story;
}

}  // namespace burdockwheel::explain
