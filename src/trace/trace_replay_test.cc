#include "trace/trace_replay.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>

#include "engine/testing/event_loop.h"
#include "engine/testing/fake_host.h"
#include "trace/trace_recorder.h"

namespace burdockwheel::trace {

using engine::testing::Answer;
using engine::testing::EventLoop;
using engine::testing::Failure;
using engine::testing::FakeHost;
using model::AttemptResult;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kRead = 0;
constexpr std::size_t kBooking = 1;
const model::ServiceName kService{"calendar"};

// A host whose events are recorded.
struct Scene {
  Scene(std::ostream& output, TraceRecorder::Detail detail)
      : host(loop, engine::testing::MakeSettings(1)),
        recorder(output, engine::testing::MakeSettings(1), loop.Now(), detail) {
    this->host.on_handled = [this](const auto& event, const auto& actions) {
      this->recorder.Record(this->loop.Now(), event, actions);
    };
    model::ServiceDefinition service;
    service.name = kService;
    service.kinds.resize(2);
    service.kinds[kRead] = {"read",          "GET", "/slots/{plant}",   true,
                            false,           1,     milliseconds(1000), 3,
                            milliseconds(50)};
    service.kinds[kBooking] = {
        "booking",          "POST", "/slots/{plant}", false, true, 1,
        milliseconds(1000), 3,      milliseconds(0)};
    this->host.Handle(engine::ConfigurationAccepted{
        engine::testing::MakeConfiguration(service)});
    this->host.Handle(engine::testing::MakeWorkers(kService, 4));
    this->loop.RunFor(std::chrono::minutes(1));
  }

  model::CallId Call(std::size_t kind, std::uint64_t fingerprint) {
    return this->host.Call({{},
                            kService,
                            kind,
                            this->loop.Now() + milliseconds(1000),
                            0,
                            fingerprint});
  }

  void EndLast(const model::AttemptOutcome& outcome) {
    this->loop.RunFor(milliseconds(5));
    this->host.EndAttempt(engine::StartAttempt(this->host.started.back()),
                          outcome);
  }

  EventLoop loop;
  FakeHost host;
  TraceRecorder recorder;
};

void PlayCrashingCall(Scene& scene) {
  scene.Call(kRead, 7);
  scene.EndLast(Failure(AttemptResult::kBroken));
  scene.loop.RunFor(milliseconds(60));
  scene.EndLast(Failure(AttemptResult::kBroken));
  scene.Call(kRead, 7);
  scene.Call(kRead, 8);
  scene.EndLast(Answer());
}

void PlayBrokenBooking(Scene& scene) {
  scene.Call(kBooking, 1);
  scene.EndLast(Failure(AttemptResult::kBroken));
  scene.Call(kBooking, 2);
  scene.EndLast(Failure(AttemptResult::kRefused));
  scene.EndLast(Answer());
  scene.loop.RunFor(milliseconds(100));
}

void PlaySlowRead(Scene& scene) {
  scene.Call(kRead, 1);
  scene.loop.RunFor(milliseconds(60));
  scene.EndLast(Answer());
}

void PlayPlannedStop(Scene& scene) {
  scene.Call(kBooking, 1);
  scene.host.Handle(engine::StopBegun{});
  scene.Call(kBooking, 2);
  scene.EndLast(Answer());
}

void PlayPeerSuspicion(Scene& scene) {
  for (const char* worker : {"worker-1", "worker-2"}) {
    for (int repeat = 0; repeat < 2; ++repeat)
      scene.host.Handle(engine::CrashSuspected{7, kService, {worker}, 1});
  }
  scene.Call(kRead, 7);
  scene.host.Handle(engine::CrashSuspected{
      7, kService, {std::string(engine::kAnsweredWorkerPlaceholder)}, 2});
  scene.Call(kRead, 7);
  scene.EndLast(Answer());
}

std::string RecordScene(const std::function<void(Scene&)>& play,
                        TraceRecorder::Detail detail) {
  std::ostringstream output;
  Scene scene(output, detail);
  play(scene);
  scene.recorder.Finish();
  return output.str();
}

TraceFailure FailureOf(const std::string& text) {
  std::istringstream input(text);
  const auto result = ReplayEngineTrace(input);
  BOOST_REQUIRE(!result.HasValue());
  return result.Failure();
}

// Replaces the only place where `from` stands.
std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  const auto found = text.find(from);
  BOOST_REQUIRE(found != std::string::npos);
  return text.replace(found, from.size(), to);
}

struct NamedScene {
  const char* name;
  void (*play)(Scene&);
};

constexpr NamedScene kScenes[] = {{"crashing-call", PlayCrashingCall},
                                  {"broken-booking", PlayBrokenBooking},
                                  {"slow-read", PlaySlowRead},
                                  {"planned-stop", PlayPlannedStop},
                                  {"peer-suspicion", PlayPeerSuspicion}};

}  // namespace

BOOST_AUTO_TEST_SUITE(TraceReplayTest)

BOOST_AUTO_TEST_CASE(MeetsEveryActionThatWasRecorded) {
  for (const NamedScene& scene : kScenes) {
    std::istringstream input(
        RecordScene(scene.play, TraceRecorder::Detail::kEveryAction));
    const auto result = ReplayEngineTrace(input);
    BOOST_TEST(result.HasValue(), scene.name);
    if (result.HasValue()) continue;
    BOOST_ERROR(scene.name << " line " << result.Failure().line << " expected "
                           << result.Failure().expected << " got "
                           << result.Failure().got);
  }
}

BOOST_AUTO_TEST_CASE(TellsWhichLineIsNotMet) {
  const std::string text =
      RecordScene(PlayPlannedStop, TraceRecorder::Detail::kEveryAction);
  const auto failure = FailureOf(Replaced(text, "host-stopping", "overloaded"));
  BOOST_TEST((failure.reason == TraceFailureReason::kActionsDiffer));
  BOOST_TEST(failure.line > 3U);
  BOOST_TEST(failure.expected.find("overloaded") != std::string::npos);
  BOOST_TEST(failure.got.find("host-stopping") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(TellsThatTheOutcomeIsNotMet) {
  const std::string text =
      RecordScene(PlaySlowRead, TraceRecorder::Detail::kOutcomeOnly);
  const auto failure =
      FailureOf(Replaced(text, "\"hedges\":1", "\"hedges\":0"));
  BOOST_TEST((failure.reason == TraceFailureReason::kOutcomeDiffers));
}

BOOST_AUTO_TEST_CASE(RejectsWhatIsNoTrace) {
  BOOST_TEST((FailureOf("{}\n").reason == TraceFailureReason::kUnreadable));
  BOOST_TEST((FailureOf("{\"trace\":2,\"settings\":{}}\n").reason ==
              TraceFailureReason::kUnreadable));
  BOOST_TEST((FailureOf("").reason == TraceFailureReason::kOutcomeNotStated));
  const std::string text =
      RecordScene(PlaySlowRead, TraceRecorder::Detail::kOutcomeOnly);
  BOOST_TEST(
      (FailureOf(Replaced(text, "{\"at_ns\":0,", "{\"at_ns\":1,")).reason ==
       TraceFailureReason::kTimeFell));
}

// Set BURDOCKWHEEL_RECORD_TRACES to record the scenes anew into that folder.
BOOST_AUTO_TEST_CASE(MeetsTheStatedOutcomesOfTheKeptTraces) {
  if (const char* folder = std::getenv("BURDOCKWHEEL_RECORD_TRACES")) {
    for (const NamedScene& scene : kScenes) {
      std::ofstream(std::filesystem::path(folder) /
                    (std::string(scene.name) + ".jsonl"))
          << RecordScene(scene.play, TraceRecorder::Detail::kOutcomeOnly);
    }
  }
  int traces = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(BURDOCKWHEEL_TRACES)) {
    if (entry.path().extension() != ".jsonl") continue;
    traces += 1;
    std::ifstream input(entry.path());
    const auto result = ReplayEngineTrace(input);
    BOOST_TEST(result.HasValue(), entry.path().filename());
    if (result.HasValue()) continue;
    BOOST_ERROR(entry.path().filename()
                << " line " << result.Failure().line << " expected "
                << result.Failure().expected << " got "
                << result.Failure().got);
  }
  BOOST_TEST(traces >= 5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::trace
