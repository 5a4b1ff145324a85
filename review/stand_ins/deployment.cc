#include "review/stand_ins/deployment.h"

#include <array>
#include <cstdio>
#include <cstdlib>

namespace review {

namespace {

constexpr Milliseconds kHeartbeat{1500};

std::string Argument(int argc, char** argv, int index) {
  return index < argc ? argv[index] : "";
}

}  // namespace

Deployment::Deployment(int argc, char** argv, std::size_t page_items)
    : files{Argument(argc, argv, 1), Argument(argc, argv, 2)},
      recorder(Argument(argc, argv, 3)),
      store(page_items) {
  this->recorder.Write(HasTrouble() ? "with the disruption"
                                    : "without the disruption");
}

Deployment::~Deployment() {
  this->is_ending = true;
  if (this->reporter.joinable()) this->reporter.join();
  for (const auto& host : this->hosts) host->Kill();
}

bool Deployment::HasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void Deployment::AddWorkers(const std::string& service, const std::string& zone,
                            int count, Milliseconds work) {
  for (int each = 0; each < count; ++each) {
    std::array<char, 16> id{};
    std::snprintf(id.data(), id.size(), "i-%08zx", this->workers.size());
    this->workers.push_back(std::make_unique<Worker>(id.data(), service, zone,
                                                     work, this->recorder));
    this->workers.back()->Report(this->store);
  }
}

bool Deployment::StartHosts(const std::vector<std::string>& zones) {
  this->reporter = std::thread([this] {
    const auto gap = kHeartbeat / this->workers.size();
    for (std::size_t next = 0; !this->is_ending; ++next) {
      this->workers[next % this->workers.size()]->Report(this->store);
      Sleep(gap);
    }
  });
  std::vector<std::string> seeds;
  for (const auto& zone : zones) {
    this->links.push_back(std::make_unique<Proxy>(this->store.Address()));
    this->hosts.push_back(std::make_unique<HostProcess>(
        this->files, "edge-" + std::to_string(this->hosts.size()), zone,
        this->links.back()->Address()));
    if (seeds.size() < 3) seeds.push_back(this->hosts.back()->PeerAddress());
  }
  for (const auto& host : this->hosts) host->Start(seeds);
  for (const auto& host : this->hosts) {
    if (!host->AwaitReady()) return false;
  }
  // Traffic starts eight seconds after the machines do.
  constexpr Milliseconds kLead{8000};
  if (SinceStart() < kLead) Sleep(kLead - SinceStart());
  return true;
}

int Deployment::RunsOf(const std::string& request_id) {
  int runs = 0;
  for (const auto& worker : this->workers) {
    for (const auto& run : worker->Runs()) {
      if (run.request_id == request_id) ++runs;
    }
  }
  return runs;
}

int Deployment::Conclude(bool is_broken, const std::string& outcome) {
  const std::string line =
      std::string(is_broken ? "BROKEN: " : "held: ") + outcome;
  this->recorder.Write(line);
  std::puts(line.c_str());
  return is_broken ? kExitBroken : kExitHeld;
}

}  // namespace review
