// A configuration that grows until it is nearly as large as an item may be.
#include <string>
#include <vector>

#include "review/stand_ins/caller.h"
#include "review/stand_ins/configuration.h"
#include "review/stand_ins/deployment.h"

namespace review {
namespace {

constexpr const char* kOld = "lovo22d";
constexpr const char* kNew = "huvo11a";
constexpr const char* kHost =
    "bestilling.slotbok.intern.vest.fjordstein-betong-ordre.example";
constexpr std::size_t kMaxValueBytes = 1'048'576;  // value_bytes
// apply_ms, and more.
constexpr Milliseconds kApplyTime{3000};
constexpr Milliseconds kLongTime{15'000};
constexpr int kCalls = 5;

std::vector<Route> RoutesOf(const std::string& service, int further) {
  std::vector<Route> routes = {
      {"r-3fexd9d", kHost, "/puka111/", service, false, 1500, 2}};
  for (int each = 0; each < further; ++each) {
    const auto number = std::to_string(1'000'000 + each);
    routes.push_back({"r-b" + number, kHost, "/b" + number + "/", kNew, true});
  }
  return routes;
}

// Returns how many bookings were run by another service than `service`.
int CountStale(Deployment& deployment, const std::string& service) {
  int stale = 0;
  for (const auto& host : deployment.Hosts()) {
    Caller caller(host->CallerAddress(), deployment.Records());
    for (int each = 0; each < kCalls; ++each) {
      const Call booking{"POST",  kHost, "/puka111/2f",
                         "truck", 1500,  NewRequestId()};
      caller.Ask(booking);
      for (const auto& worker : deployment.Workers()) {
        for (const auto& run : worker->Runs()) {
          const bool is_stale = run.request_id == booking.request_id &&
                                worker->Service() != service;
          stale += is_stale ? 1 : 0;
        }
      }
    }
  }
  return stale;
}

int Run(int argc, char** argv) {
  constexpr std::size_t kPageItems = 500;
  Deployment deployment(argc, argv, kPageItems);
  auto& recorder = deployment.Records();
  deployment.Platform().Put(
      "op/config", ConfigurationText(7, RoutesOf(kOld, 0), {kOld, kNew}));
  deployment.AddWorkers(kOld, "vest-a", 2, Milliseconds(20));
  deployment.AddWorkers(kNew, "vest-a", 2, Milliseconds(20));
  if (!deployment.StartHosts({"vest-a", "vest-b"})) return kExitNotRun;
  unsigned version = 7;
  int stale = 0;
  const std::vector<int> sizes = {1400, 2800, 4200, 5600, 6340};
  std::string service;
  for (const int size : sizes) {
    service = service == kNew ? kOld : kNew;
    const auto text = ConfigurationText(
        ++version, RoutesOf(service, Deployment::HasTrouble() ? size : 0),
        {kOld, kNew});
    if (text.size() > kMaxValueBytes) return kExitNotRun;
    deployment.Platform().Put("op/config", text);
    recorder.Write("version " + std::to_string(version) + " of " +
                   std::to_string(text.size()) +
                   " bytes acknowledged; bookings go to " + service);
    Sleep(kApplyTime);
    stale += CountStale(deployment, service);
  }
  Sleep(kLongTime);
  const int stale_later = CountStale(deployment, service);
  std::string outcome = std::to_string(stale);
  outcome += " bookings were run by the service of an older version later than";
  outcome += " apply_ms after the acknowledgement of the newest, ";
  outcome += std::to_string(stale_later);
  outcome += " more 15 s later";
  return deployment.Conclude(stale + stale_later > 0, outcome);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::Run(argc, argv); }
