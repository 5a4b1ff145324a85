#include "stand_ins/experiment/deployment.h"

namespace burdockwheel::stand_ins {
namespace {

constexpr int kWorkerSlots = 6;
constexpr int kEntryHosts = 19;
constexpr int kMostEntryHosts = 25;
constexpr int kDemoEntryHosts = 3;
constexpr int kBenchmarkSlots = 200;
constexpr std::size_t kRequestBytes = 200;

DeployedKind Read(std::string name, std::string pattern, std::string path) {
  return {std::move(name), "GET", std::move(pattern), std::move(path)};
}

DeployedKind Write(std::string name, std::string pattern, std::string path) {
  return {std::move(name), "POST", std::move(pattern),
          std::move(path), false,  kRequestBytes};
}

Deployment Fjordstein() {
  return {
      "fjordstein",
      3,
      kEntryHosts,
      kMostEntryHosts,
      kWorkerSlots,
      {{"slot-calendar",
        20,
        {Read("read-slots", "/slots/{plant}", "/slots/sandnes")}},
       {"truck-booking", 10, {Write("book-truck", "/bookings", "/bookings")}},
       {"pour-confirmation",
        6,
        {Write("confirm-pour", "/pours/{pour}/confirmation",
               "/pours/17/confirmation")}},
       {"mix-archive", 6, {Read("read-mix", "/mixes/{mix}", "/mixes/b35")}}}};
}

Deployment Association() {
  return {"association",
          4,
          kEntryHosts,
          kMostEntryHosts,
          6,
          {{"name-lookup",
            20,
            {Read("look-up-name", "/names/{name}", "/names/tamsui")}},
           {"submission",
            8,
            {Write("submit-name", "/submissions", "/submissions")}},
           {"renaming",
            8,
            {Write("rename", "/names/{name}/renamings",
                   "/names/tamsui/renamings")}},
           {"retirement",
            8,
            {Write("retire-name", "/names/{name}/retirement",
                   "/names/tamsui/retirement")}},
           {"boundary-read",
            8,
            {Read("read-boundary", "/boundaries/{township}",
                  "/boundaries/beitou")}}}};
}

Deployment Demo() {
  return {
      "demo",
      3,
      kDemoEntryHosts,
      kDemoEntryHosts + 1,
      kWorkerSlots,
      {{"slot-calendar",
        3,
        {Read("read-slots", "/slots/{plant}", "/slots/sandnes")}},
       {"truck-booking", 3, {Write("book-truck", "/bookings", "/bookings")}}}};
}

// One host that hands small calls to workers which are never the bottleneck.
Deployment Benchmark() {
  return {
      "benchmark",
      1,
      1,
      1,
      kBenchmarkSlots,
      {{"slot-calendar",
        3,
        {Read("read-slots", "/slots/{plant}", "/slots/sandnes")}},
       {"truck-booking", 3, {Write("book-truck", "/bookings", "/bookings")}}}};
}

}  // namespace

int Deployment::WorkerCount() const {
  int count = 0;
  for (const DeployedService& service : this->services)
    count += service.workers;
  return count;
}

double Deployment::CapacityOf(
    const DeployedService& service,
    std::chrono::microseconds mean_service_time) const {
  const double mean_seconds =
      std::chrono::duration<double>(mean_service_time).count();
  return service.workers * this->worker_slots / mean_seconds;
}

double Deployment::Capacity(std::chrono::microseconds mean_service_time) const {
  double capacity = 0;
  for (const DeployedService& service : this->services)
    capacity += this->CapacityOf(service, mean_service_time);
  return capacity;
}

std::optional<Deployment> DeploymentOrNull(std::string_view name) {
  if (name == "fjordstein") return Fjordstein();
  if (name == "association") return Association();
  if (name == "demo") return Demo();
  if (name == "benchmark") return Benchmark();
  return std::nullopt;
}

}  // namespace burdockwheel::stand_ins
