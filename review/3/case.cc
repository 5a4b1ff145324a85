// Bookings at a worker that fails some of them, after it has run them, by an
// answer of 503 without Not-Executed.
#include <array>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins/caller.h"
#include "review/stand_ins/configuration.h"
#include "review/stand_ins/deployment.h"

namespace review {
namespace {

constexpr const char* kBookings = "wuno96b";
constexpr const char* kBookingHost = "jepu9.example";
constexpr Milliseconds kWork{60};
constexpr int kCallers = 16;
constexpr int kRounds = 40;
// One of 8 workers (share 0.125) fails 0.45 of its requests for 6.5 s.
constexpr int kWorkers = 8;
constexpr double kFailedShare = 0.45;
constexpr Milliseconds kFailingTime{6500};

struct Refused {
  std::string request_id;
  int status = 0;
};

class FailingAnswers {
 public:
  Worker::Answer Make(const Message& request) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const bool is_failing = this->share(this->random) < kFailedShare;
    if (is_failing && Clock::now() < this->until)
      return {503, "the database did not confirm"};
    return {200, request.Target() + " " + request.Header("request-id")};
  }
  void Begin() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->until = Clock::now() + kFailingTime;
  }

 private:
  std::mutex mutex;
  std::mt19937 random{std::random_device()()};
  std::uniform_real_distribution<double> share{0, 1};
  Clock::time_point until;
};

bool IsPromiseOfNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

int Run(int argc, char** argv) {
  constexpr std::size_t kPageItems = 500;
  FailingAnswers failing;
  Deployment deployment(argc, argv, kPageItems);
  deployment.Platform().Put(
      "op/config",
      ConfigurationText(
          7, {{"r-2", kBookingHost, "/puka111/", kBookings, false, 1500, 2}},
          {kBookings}));
  deployment.AddWorkers(kBookings, "vest-a", kWorkers, kWork);
  deployment.Workers().front()->SetAnswerMaker(
      [&failing](const Message& request) { return failing.Make(request); });
  if (!deployment.StartHosts({"vest-a", "vest-b"})) return kExitNotRun;
  auto& recorder = deployment.Records();
  if (Deployment::HasTrouble()) {
    recorder.Write("worker " + deployment.Workers().front()->Id() + " fails");
    failing.Begin();
  }
  std::mutex mutex;
  std::vector<Refused> refused;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int each = 0; each < kCallers; ++each) {
    callers.emplace_back([&, each] {
      const auto& hosts = deployment.Hosts();
      Caller caller(hosts[each % hosts.size()]->CallerAddress(), recorder);
      for (int round = 0; round < kRounds; ++round) {
        const Call booking{"POST",  kBookingHost, "/puka111/2f",
                           "truck", 1500,         NewRequestId()};
        const auto answer = caller.Ask(booking);
        if (!answer || !IsPromiseOfNotRun(answer->Status())) continue;
        const std::lock_guard<std::mutex> lock(mutex);
        refused.push_back({booking.request_id, answer->Status()});
      }
    });
  }
  for (auto& caller : callers) caller.join();
  int broken = 0;
  for (const auto& each : refused) {
    if (deployment.RunsOf(each.request_id) == 0) continue;
    ++broken;
    recorder.Write("booking " + each.request_id + " has run and was answered " +
                   std::to_string(each.status));
  }
  std::string outcome = std::to_string(broken) + " of ";
  outcome += std::to_string(kCallers * kRounds);
  outcome += " bookings were promised not to have run, and have run";
  return deployment.Conclude(broken > 0, outcome);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::Run(argc, argv); }
