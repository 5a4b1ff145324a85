// The store cuts each watch that has waited for a second. A worker leaves
// without having reported `draining`: its entry is removed.
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
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

constexpr std::size_t kPageItems = 500;
constexpr int kBookingWorkers = 2;
constexpr int kOtherWorkers = 3;
constexpr int kClientsOfHost = 5;
constexpr milliseconds kWatchIsCutAfter{1000};

// Bounds of the users' small deployments.
constexpr milliseconds kDrain{2000};
constexpr milliseconds kStability{3000};
// How much longer than `drain_ms` the worker serves.
constexpr milliseconds kServesLonger{14'000};

constexpr milliseconds kWork{100};

std::string ZoneOf(int index) {
  return "zone-" + std::string(1, static_cast<char>('a' + index % 3));
}

struct Sent {
  Clock::time_point at;
  int host = 0;
};

class Case {
 public:
  Case(std::string folder, const std::string& record, bool has_trouble)
      : folder(std::move(folder)), record(record), has_trouble(has_trouble) {}

  int Run() {
    this->StartWorkers();
    this->store.Put("op/config", Configuration());
    if (!this->StartHosts()) {
      this->record.Tell("the hosts did not become ready");
      return kCouldNotRun;
    }
    std::vector<std::thread> clients;
    for (int host = 0; host < 3; ++host) {
      for (int client = 0; client < kClientsOfHost; ++client) {
        clients.emplace_back(
            [this, host, client] { this->SendBookings(host, client); });
      }
    }
    if (this->has_trouble) this->store.CutWatchesAfter(kWatchIsCutAfter);
    // The hosts are in touch before the worker leaves.
    std::this_thread::sleep_for(kStability + milliseconds(1000));
    this->DrainWorker();
    this->is_over = true;
    for (auto& client : clients) client.join();
    return this->Judge();
  }

 private:
  static std::string Configuration() {
    review::ConfigurationText text;
    text.routes = {
        {"r-book", "book.example", "/book/", "non_idempotent", "booking"},
        {"r-other", "other.example", "/other/", "idempotent", "other"}};
    text.services = {"booking", "other"};
    return text.Json();
  }

  void StartWorkers() {
    for (int index = 0; index < kBookingWorkers + kOtherWorkers; ++index) {
      review::Worker::Settings settings;
      settings.id = "i-" + std::to_string(100 + index);
      settings.service = index < kBookingWorkers ? "booking" : "other";
      settings.zone = ZoneOf(index);
      settings.work = kWork;
      this->workers.push_back(std::make_unique<review::Worker>(
          settings, [this](const review::Run& run) { this->NoteRun(run); }));
      auto& worker = *this->workers.back();
      this->store.Put(worker.Key(), worker.Entry("ready"));
    }
  }

  bool StartHosts() {
    const std::vector<std::uint16_t> control = {
        review::FreePort(), review::FreePort(), review::FreePort()};
    for (int index = 0; index < 3; ++index) {
      review::HostSettings settings;
      settings.name = "host-" + std::to_string(index);
      settings.zone = ZoneOf(index);
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

  void SendBookings(int host, int number) {
    review::Client client(
        this->hosts[static_cast<std::size_t>(host)]->FrontPort());
    int count = 0;
    while (!this->is_over) {
      const std::string id = "h" + std::to_string(host) + "c" +
                             std::to_string(number) + "n" +
                             std::to_string(++count);
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->sent[id] = {Clock::now(), host};
      }
      const auto outcome = client.Send("POST", "book.example", "/book/" + id,
                                       id, milliseconds(1500));
      this->record.Write("answer " + id + " " + std::to_string(outcome.status));
      if (outcome.status != 200) {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->failed.insert(id);
      }
      std::this_thread::sleep_for(milliseconds(40));
    }
  }

  void NoteRun(const review::Run& run) {
    this->record.Write("run " + run.request_id + " at " + run.worker);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->runs.push_back(run);
  }

  // Routing prefers some workers; a worker that is not used shows nothing.
  review::Worker* MostUsedByFirstHost() {
    std::map<std::string, int> counts;
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& run : this->runs) {
      if (this->sent[run.request_id].host == 0) counts[run.worker] += 1;
    }
    return std::max_element(this->workers.begin(), this->workers.end(),
                            [&counts](const auto& left, const auto& right) {
                              return counts[left->Id()] < counts[right->Id()];
                            })
        ->get();
  }

  void DrainWorker() {
    this->leaving = this->MostUsedByFirstHost();
    auto& leaving = *this->leaving;
    leaving.Drain();
    this->store.Remove(leaving.Key());
    this->drained_at = Clock::now();
    this->record.Tell("the entry of " + leaving.Id() +
                      " is removed, acknowledged");
    std::this_thread::sleep_until(this->drained_at + kDrain + kServesLonger);
    leaving.End();
    this->gone_at = Clock::now();
    this->record.Tell(leaving.Id() + " has ended");
    std::this_thread::sleep_for(milliseconds(500));
  }

  int Judge() {
    const auto& leaving = this->leaving->Id();
    const auto from = this->drained_at + kDrain;
    std::map<int, int> late;
    std::map<int, int> all;
    int cut_off = 0;
    for (const auto& run : this->runs) {
      const auto found = this->sent.find(run.request_id);
      if (found == this->sent.end() || found->second.at < from ||
          run.arrived_at > this->gone_at)
        continue;
      all[found->second.host] += 1;
      if (run.worker != leaving) continue;
      late[found->second.host] += 1;
      if (this->failed.contains(run.request_id)) cut_off += 1;
    }
    for (int host = 0; host < 3; ++host) {
      this->record.Tell("host-" + std::to_string(host) + ": " +
                        std::to_string(late[host]) + " of " +
                        std::to_string(all[host]) +
                        " bookings at the leaving worker, later than "
                        "drain_ms");
    }
    this->record.Tell("of these, cut off without a success as it ended: " +
                      std::to_string(cut_off));
    const int total = late[0] + late[1] + late[2];
    this->record.Tell(total > 0 ? "DRAIN is broken" : "DRAIN holds");
    return total > 0 ? kBroken : kHeld;
  }

  std::string folder;
  review::Record record;
  bool has_trouble;
  review::Store store{1, kPageItems};
  std::mutex mutex;
  std::map<std::string, Sent> sent;
  std::vector<review::Run> runs;
  std::set<std::string> failed;
  std::atomic<bool> is_over{false};
  Clock::time_point drained_at;
  Clock::time_point gone_at;
  std::vector<std::unique_ptr<review::Worker>> workers;
  review::Worker* leaving = nullptr;
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
