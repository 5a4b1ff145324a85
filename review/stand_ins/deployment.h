// A small deployment: a store, workers that report to it, and entry hosts.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins/host_process.h"
#include "review/stand_ins/proxy.h"
#include "review/stand_ins/recorder.h"
#include "review/stand_ins/store.h"
#include "review/stand_ins/worker.h"

namespace review {

// What a case's program ends with.
constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;

class Deployment {
 public:
  // Takes the program's arguments: the repository, a temporary folder and the
  // file to record in.
  Deployment(int argc, char** argv, std::size_t page_items);
  ~Deployment();

  // Tells whether the script is run with the disruption.
  static bool HasTrouble();

  Recorder& Records() { return this->recorder; }
  Store& Platform() { return this->store; }
  std::vector<std::unique_ptr<Worker>>& Workers() { return this->workers; }
  std::vector<std::unique_ptr<HostProcess>>& Hosts() { return this->hosts; }

  // The link to the store of the host of the same index.
  Proxy& Link(std::size_t host) { return *this->links[host]; }

  void AddWorkers(const std::string& service, const std::string& zone,
                  int count, Milliseconds work);
  // Starts one host in each of `zones`, each with a link of its own to the
  // store. Returns false if one gets not ready.
  bool StartHosts(const std::vector<std::string>& zones);

  // Returns how many workers began to work on a request.
  int RunsOf(const std::string& request_id);

  // Notes the outcome and returns the exit code.
  int Conclude(bool is_broken, const std::string& outcome);

 private:
  CaseFiles files;
  Recorder recorder;
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Proxy>> links;
  std::vector<std::unique_ptr<HostProcess>> hosts;
  std::atomic<bool> is_ending{false};
  std::thread reporter;
};

}  // namespace review
