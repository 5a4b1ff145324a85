// The store's revision counter is beyond 2^40 when the operators send the
// version that moves a route to another service and adds one.
#include <atomic>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "review/stand_ins_3/client.h"
#include "review/stand_ins_3/configuration.h"
#include "review/stand_ins_3/host.h"
#include "review/stand_ins_3/record.h"
#include "review/stand_ins_3/store.h"
#include "review/stand_ins_3/worker.h"

namespace {

using review::Clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr int kHosts = 3;
constexpr int kWorkersOfService = 3;
constexpr std::size_t kPageItems = 500;

// Bounds of the users' small deployments.
constexpr milliseconds kApply{2000};
constexpr milliseconds kStability{3000};

constexpr std::uint64_t kLowRevision = 1;
// As of a counter that began at the microseconds since 1970; a JSON number
// holds it exactly.
constexpr std::uint64_t kHighRevision = 1'796'000'000'000'000;

class Case {
 public:
  Case(std::string folder, const std::string& record, bool has_trouble)
      : folder(std::move(folder)),
        record(record),
        store(has_trouble ? kHighRevision : kLowRevision, kPageItems) {}

  int Run() {
    this->StartWorkers("old");
    this->StartWorkers("new");
    this->store.Put("op/config", First().Json());
    if (!this->StartHosts()) {
      this->record.Tell("the hosts did not become ready");
      return kCouldNotRun;
    }
    std::vector<std::thread> clients;
    clients.reserve(kHosts);
    for (int host = 0; host < kHosts; ++host)
      clients.emplace_back([this, host] { this->SendRequests(host); });
    std::this_thread::sleep_for(kStability + milliseconds(1000));
    this->store.Put("op/config", Second().Json());
    this->acknowledged_at = Clock::now();
    this->is_changed = true;
    this->record.Tell("version 2 is acknowledged");
    std::this_thread::sleep_for(milliseconds(15'000));
    this->is_over = true;
    for (auto& client : clients) client.join();
    return this->Judge();
  }

 private:
  static review::ConfigurationText First() {
    review::ConfigurationText text;
    text.version = 1;
    text.services = {"old", "new"};
    text.routes = {
        {"r-book", "book.example", "/book/", "non_idempotent", "old"}};
    return text;
  }

  static review::ConfigurationText Second() {
    auto text = First();
    text.version = 2;
    text.routes[0].service = "new";
    text.routes.push_back(
        {"r-added", "added.example", "/added/", "idempotent", "new"});
    return text;
  }

  void StartWorkers(const std::string& service) {
    for (int index = 0; index < kWorkersOfService; ++index) {
      review::Worker::Settings settings;
      settings.id = "i-" + service + std::to_string(index);
      settings.service = service;
      this->workers.push_back(std::make_unique<review::Worker>(
          settings, [this, service](const review::Run& run) {
            this->NoteRun(run, service);
          }));
      auto& worker = *this->workers.back();
      this->store.Put(worker.Key(), worker.Entry("ready"));
    }
  }

  bool StartHosts() {
    const std::vector<std::uint16_t> control = {
        review::FreePort(), review::FreePort(), review::FreePort()};
    for (int index = 0; index < kHosts; ++index) {
      review::HostSettings settings;
      settings.name = "host-" + std::to_string(index);
      settings.store_port = this->store.Port();
      settings.seed_ports = control;
      settings.control_port = control[static_cast<std::size_t>(index)];
      this->hosts.push_back(
          std::make_unique<review::HostProcess>(settings, this->folder));
      this->hosts.back()->Start();
    }
    for (const auto& host : this->hosts) {
      if (!host->AwaitReady(milliseconds(15'000))) return false;
    }
    return true;
  }

  void SendRequests(int host) {
    const auto port = this->hosts[static_cast<std::size_t>(host)]->FrontPort();
    review::Client client(port);
    int count = 0;
    while (!this->is_over) {
      const std::string id =
          "h" + std::to_string(host) + "n" + std::to_string(++count);
      const auto booking = client.Send("POST", "book.example", "/book/" + id,
                                       "b" + id, milliseconds(1500));
      this->Note("booking", booking);
      if (this->is_changed) {
        const auto added = client.Send("GET", "added.example", "/added/" + id,
                                       "a" + id, milliseconds(1500));
        this->Note("added", added);
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

  void Note(const std::string& kind, const review::Outcome& outcome) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->service_of.find(outcome.request_id);
    const std::string service =
        found == this->service_of.end() ? "none" : found->second;
    this->record.Write(kind + " " + outcome.request_id + " status " +
                       std::to_string(outcome.status) + " run by " + service);
    const bool is_late =
        this->is_changed && outcome.sent_at > this->acknowledged_at + kApply;
    if (!is_late) return;
    this->late += 1;
    if (kind == "booking" && service == "old") this->run_by_old += 1;
    if (kind == "added" && outcome.status == 404) this->not_found += 1;
  }

  void NoteRun(const review::Run& run, const std::string& service) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->service_of[run.request_id] = service;
  }

  int Judge() {
    this->record.Tell("requests sent later than apply_ms: " +
                      std::to_string(this->late));
    this->record.Tell("bookings run by the old service: " +
                      std::to_string(this->run_by_old));
    this->record.Tell("requests on the added route answered 404: " +
                      std::to_string(this->not_found));
    const bool is_broken = this->run_by_old > 0 || this->not_found > 0;
    this->record.Tell(is_broken ? "CONFIG is broken" : "CONFIG holds");
    return is_broken ? kBroken : kHeld;
  }

  std::string folder;
  review::Record record;
  review::Store store;
  std::mutex mutex;
  std::unordered_map<std::string, std::string> service_of;
  int late = 0;
  int run_by_old = 0;
  int not_found = 0;
  std::atomic<bool> is_over{false};
  std::atomic<bool> is_changed{false};
  Clock::time_point acknowledged_at;
  std::vector<std::unique_ptr<review::Worker>> workers;
  std::vector<std::unique_ptr<review::HostProcess>> hosts;
};

}  // namespace

// Usage: case FOLDER RECORD, in the root of the repository.
int main(int argc, char** argv) {
  if (argc != 3) return kCouldNotRun;
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  return Case(argv[1], argv[2], has_trouble).Run();
}
