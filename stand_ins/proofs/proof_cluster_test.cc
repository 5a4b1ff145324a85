#include "stand_ins/proofs/proof_cluster_test.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <thread>

#include "stand_ins/experiment/deployment_documents.h"
#include "stand_ins/load/load_generator.h"

namespace burdockwheel::stand_ins {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kEntryHosts = 5;
constexpr milliseconds kMeanServiceTime{20};

// After the last event nothing holds a call back, and no call has a deadline
// beyond this.
constexpr milliseconds kSettleTime{5000};

Deployment ProofDeployment() {
  Deployment deployment;
  deployment.name = "proof";
  deployment.failure_domains = 2;
  deployment.entry_hosts = kEntryHosts;
  DeployedKind read;
  read.name = "read-slots";
  read.method = "GET";
  read.path_pattern = "/slots/{plant}";
  read.path = "/slots/sandnes";
  DeployedKind book;
  book.name = "book-truck";
  book.method = "POST";
  book.path_pattern = "/bookings";
  book.path = "/bookings";
  book.is_idempotent = false;
  book.request_bytes = 200;
  deployment.services = {{"slot-calendar", 2, {read}},
                         {"truck-booking", 4, {book}}};
  return deployment;
}

ClusterOptions OptionsOf(const Proof& proof) {
  // Cases follow one another; each has ports that no earlier one has used.
  static int next_base_port = 24000;
  ClusterOptions options;
  options.deployment = ProofDeployment();
  options.burdockwheel_path = BURDOCKWHEEL_PATH;
  options.stand_ins_folder = STAND_INS_FOLDER;
  options.base_port = next_base_port;
  options.mean_service_time = kMeanServiceTime;
  options.switched_off = proof.switched_off;
  options.work_folder = (std::filesystem::temp_directory_path() /
                         ("burdockwheel-proof-" + std::to_string(getpid()) +
                          "-" + std::to_string(next_base_port)))
                            .string();
  std::filesystem::create_directories(options.work_folder);
  next_base_port += 100;
  return options;
}

void FollowEvents(Cluster& cluster, const std::vector<ProofEvent>& events) {
  const auto start = steady_clock::now();
  for (const auto& event : events) {
    std::this_thread::sleep_until(start + event.at);
    event.act(cluster);
  }
}

}  // namespace

ProofResult RunProof(const Proof& proof) {
  const auto options = OptionsOf(proof);
  Cluster cluster(options);
  BOOST_REQUIRE(cluster.TryStart().HasValue());
  LoadPlan plan =
      DeploymentLoadPlan(options.deployment, cluster.Addresses(), proof.rate);
  plan.length = proof.length;
  LoadReport report;
  std::thread load([&plan, &report] { report = RunLoad(plan); });
  FollowEvents(cluster, proof.events);
  load.join();
  for (std::size_t host = 0; host < kEntryHosts; ++host)
    cluster.SignalHost(host, SIGCONT);
  std::this_thread::sleep_for(kSettleTime);
  ProofResult result;
  result.runs = CheckRuns(report.key_outcomes, cluster.CollectRuns(),
                          !cluster.HasLostCounts());
  result.foreign_answers = report.foreign_answers;
  result.resends = report.resends;
  for (const auto& kind : report.kinds) {
    for (const auto& [outcome, count] : kind.outcomes) result.calls += count;
  }
  cluster.Stop();
  std::filesystem::remove_all(options.work_folder);
  return result;
}

}  // namespace burdockwheel::stand_ins
