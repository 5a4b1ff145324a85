// Causes injected into a running deployment, found again from its hosts' logs.
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "stand_ins/experiment/child_process.h"
#include "stand_ins/soak/soak_callers.h"
#include "stand_ins/soak/soak_connection.h"
#include "stand_ins/soak/soak_system.h"

namespace burdockwheel::stand_ins {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kHosts = 3;
constexpr milliseconds kStartTimeout{15000};
constexpr milliseconds kStep{50};
// Until each host has heard of a change, or its log has been written.
constexpr milliseconds kSpreadTime{1500};
constexpr milliseconds kCallTime{4000};
constexpr milliseconds kExplainTime{5000};

SoakPlan SmallPlan() {
  SoakPlan plan;
  plan.hosts = kHosts;
  return plan;
}

std::string MakeWorkFolder() {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("burdockwheel-explanation-" + std::to_string(getpid()));
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  return folder.string();
}

// Three hosts and nine workers that serve until a test disturbs them.
struct RunningSystem {
  RunningSystem()
      : folder(MakeWorkFolder()),
        system(this->context, SmallPlan(),
               {BURDOCKWHEEL_PATH, STAND_INS_FOLDER, this->folder}, 1) {
    BOOST_REQUIRE(this->system.TryStart());
    SoakCallers balancer(this->system, 1, 1);
    balancer.AskReadiness();
    const auto end = steady_clock::now() + kStartTimeout;
    while (!balancer.AreAllReady() && steady_clock::now() < end)
      this->context.run_for(kStep);
    BOOST_REQUIRE(balancer.AreAllReady());
    this->context.stop();
    this->context.restart();
  }
  ~RunningSystem() { std::filesystem::remove_all(this->folder); }

  // Sends a request to the first host and returns its answer's status.
  int Send(const std::string& id, const std::string& method,
           const std::string& target) {
    const auto connection = std::make_shared<SoakConnection>(
        this->context, this->system.Hosts().front().caller_address);
    int status = 0;
    connection->Send(
        method + " " + target +
            " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: " + id +
            "\r\nDeadline-Ms: 2000\r\n\r\n",
        kCallTime, [&status](SoakSendResult, const SoakAnswer& answer) {
          status = answer.status;
        });
    const auto end = steady_clock::now() + kCallTime;
    while (status == 0 && steady_clock::now() < end)
      this->context.run_for(kStep);
    this->context.run_for(kSpreadTime);
    return status;
  }

  // Returns what `burdockwheel explain` tells from the logs of all hosts.
  std::string Explain(const std::string& id) const {
    const std::string told = this->folder + "/told";
    std::vector<std::string> arguments = {BURDOCKWHEEL_PATH, "explain",
                                          "--call=" + id};
    for (int host = 0; host < kHosts; ++host)
      arguments.push_back(this->folder + "/host-" + std::to_string(host) +
                          ".log");
    auto started = ChildProcess::TryStart(arguments, told);
    BOOST_REQUIRE(started.HasValue());
    BOOST_REQUIRE(started.Value().TryWait(kExplainTime));
    std::ostringstream text;
    text << std::ifstream(told).rdbuf();
    BOOST_TEST_MESSAGE(text.str());
    return text.str();
  }

  void DisturbWorkersOf(int service, const SoakWorkerFaults& faults) {
    for (auto& place : this->system.Workers()) {
      if (place.worker->Service() == SoakSystem::ServiceName(service))
        place.worker->SetFaults(faults);
    }
  }

  boost::asio::io_context context{1};
  std::string folder;
  SoakSystem system;
};

bool Names(const std::string& told, const std::string& cause) {
  return told.find("\ncause " + cause + "\n") != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ExplanationTest)

BOOST_AUTO_TEST_CASE(NamesAnAnswerThatWasLostAfterItsCallRan) {
  RunningSystem running;
  running.DisturbWorkersOf(1, {.losing = 1});
  BOOST_TEST(running.Send("booking-1", "POST", "/book/1") == 502);
  BOOST_TEST(Names(running.Explain("booking-1"), "answer-lost"));
}

BOOST_AUTO_TEST_CASE(NamesASlowWorker) {
  RunningSystem running;
  running.DisturbWorkersOf(0, {.slowness = 40});
  BOOST_TEST(running.Send("read-1", "GET", "/read/1") == 200);
  BOOST_TEST(Names(running.Explain("read-1"), "slow-worker"));
}

BOOST_AUTO_TEST_CASE(NamesAServiceWithoutWorkers) {
  RunningSystem running;
  for (std::size_t place = 0; place < running.system.Workers().size();
       ++place) {
    auto& worker = *running.system.Workers()[place].worker;
    if (worker.Service() != SoakSystem::ServiceName(1)) continue;
    running.system.WithdrawWorker(place);
    worker.End();
  }
  running.context.run_for(kSpreadTime);
  BOOST_TEST(running.Send("booking-2", "POST", "/book/2") == 503);
  BOOST_TEST(Names(running.Explain("booking-2"), "no-worker"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
