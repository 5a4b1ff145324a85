// The store gives no answers to just the hosts that read it for the others,
// and the configuration changes.
#include <algorithm>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins/caller.h"
#include "review/stand_ins/configuration.h"
#include "review/stand_ins/deployment.h"

namespace review {
namespace {

constexpr const char* kOld = "lovo22d";
constexpr const char* kNew = "huvo11a";
constexpr const char* kHost = "jepu9.example";
constexpr Milliseconds kWork{20};
constexpr int kRounds = 3;
constexpr Milliseconds kRestTime{9000};
// Hosts whose requests reach the store this often in kWatchedTime read it for
// the others.
constexpr Milliseconds kWatchedTime{3000};
constexpr int kMinReads = 3;
// platform_down of a share of the machines: at most 0.35 of them, for 9 s.
constexpr double kMaxShare = 0.35;
constexpr Milliseconds kSilentTime{7000};
constexpr Milliseconds kChangeAfter{100};
constexpr Milliseconds kApplyBound{2000};  // apply_ms
constexpr Milliseconds kCallPause{100};

struct Findings {
  std::mutex mutex;
  int bookings = 0;
  int stale = 0;
  Milliseconds latest{0};  // after the acknowledgement
};

std::vector<std::size_t> FindReaders(Deployment& deployment) {
  std::vector<int> before;
  for (std::size_t host = 0; host < deployment.Hosts().size(); ++host)
    before.push_back(deployment.Link(host).RequestCount());
  Sleep(kWatchedTime);
  std::vector<std::size_t> readers;
  for (std::size_t host = 0; host < before.size(); ++host) {
    const int reads = deployment.Link(host).RequestCount() - before[host];
    if (reads >= kMinReads) readers.push_back(host);
  }
  return readers;
}

bool IsRunBy(Deployment& deployment, const std::string& request_id,
             const std::string& service) {
  for (const auto& worker : deployment.Workers()) {
    if (worker->Service() != service) continue;
    for (const auto& run : worker->Runs()) {
      if (run.request_id == request_id) return true;
    }
  }
  return false;
}

// Sends bookings to a host that the store serves, from the end of the bound on.
void RunCaller(Deployment& deployment, const HostProcess& host,
               const std::string& old_service, Clock::time_point acknowledged,
               Clock::time_point end, Findings& findings) {
  Caller caller(host.CallerAddress(), deployment.Records());
  std::this_thread::sleep_until(acknowledged + kApplyBound + kCallPause);
  while (Clock::now() < end) {
    const Call booking{"POST",  kHost, "/puka111/2f",
                       "truck", 1500,  NewRequestId()};
    const auto sent_after =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - acknowledged);
    caller.Ask(booking);
    const bool is_stale = IsRunBy(deployment, booking.request_id, old_service);
    if (is_stale) {
      deployment.Records().Write(
          "booking " + booking.request_id + ", sent to " + host.Name() + " " +
          std::to_string(sent_after.count()) +
          " ms after the acknowledgement, was run by the old service");
    }
    {
      const std::lock_guard<std::mutex> lock(findings.mutex);
      ++findings.bookings;
      findings.stale += is_stale ? 1 : 0;
      if (is_stale) findings.latest = std::max(findings.latest, sent_after);
    }
    Sleep(kCallPause);
  }
}

std::string ConfigurationOf(unsigned version, const std::string& service) {
  return ConfigurationText(
      version, {{"r-2", kHost, "/puka111/", service, false, 1500, 2}},
      {kOld, kNew});
}

// Returns false if the round can't be played.
bool RunRound(Deployment& deployment, unsigned version, Findings& findings) {
  auto& recorder = deployment.Records();
  const auto& hosts = deployment.Hosts();
  const std::string old_service = version % 2 == 0 ? kOld : kNew;
  const std::string new_service = version % 2 == 0 ? kNew : kOld;
  const auto readers = FindReaders(deployment);
  std::vector<bool> is_silent(hosts.size(), false);
  for (const auto reader : readers) {
    recorder.Write(hosts[reader]->Name() + " reads the store");
    is_silent[reader] = true;
  }
  const auto max_silent =
      static_cast<std::size_t>(kMaxShare * static_cast<double>(hosts.size()));
  if (readers.empty() || readers.size() > max_silent) return false;
  if (Deployment::HasTrouble()) {
    recorder.Write("the store is silent to them");
    for (const auto reader : readers) deployment.Link(reader).SetCut(true);
  }
  const auto begin = Clock::now();
  Sleep(kChangeAfter);
  deployment.Platform().Put("op/config", ConfigurationOf(version, new_service));
  const auto acknowledged = Clock::now();
  recorder.Write("version " + std::to_string(version) +
                 " acknowledged; bookings go to " + new_service);
  std::vector<std::thread> callers;
  callers.reserve(hosts.size());
  for (std::size_t host = 0; host < hosts.size(); ++host) {
    if (is_silent[host]) continue;
    callers.emplace_back([&, host] {
      RunCaller(deployment, *hosts[host], old_service, acknowledged,
                begin + kSilentTime, findings);
    });
  }
  for (auto& caller : callers) caller.join();
  for (const auto reader : readers) deployment.Link(reader).SetCut(false);
  recorder.Write("the store serves all");
  return true;
}

int Run(int argc, char** argv) {
  constexpr std::size_t kPageItems = 500;
  Deployment deployment(argc, argv, kPageItems);
  deployment.Platform().Put("op/config", ConfigurationOf(7, kOld));
  deployment.AddWorkers(kOld, "vest-a", 3, kWork);
  deployment.AddWorkers(kNew, "vest-a", 3, kWork);
  const bool is_started =
      deployment.StartHosts({"vest-a", "vest-a", "vest-a", "vest-b", "vest-b",
                             "vest-b", "vest-c", "vest-c", "vest-c"});
  if (!is_started) return kExitNotRun;
  Findings findings;
  unsigned version = 7;
  int played = 0;
  for (int round = 0; round < kRounds; ++round) {
    played += RunRound(deployment, ++version, findings) ? 1 : 0;
    Sleep(kRestTime);
  }
  if (played == 0) return kExitNotRun;
  std::string outcome = std::to_string(findings.stale) + " of ";
  outcome += std::to_string(findings.bookings);
  outcome += " bookings were run by the service of the older version, the last";
  outcome += " sent " + std::to_string(findings.latest.count());
  outcome += " ms after the acknowledgement";
  return deployment.Conclude(findings.stale > 0, outcome);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::Run(argc, argv); }
