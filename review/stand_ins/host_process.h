// Runs the project's entry host as the deploy file says.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace review {

// What a case is given by its script.
struct CaseFiles {
  std::string repository;  // the root of the checkout
  std::string folder;      // a temporary one
};

class HostProcess {
 public:
  // Uses an address of the loopback network of its own.
  HostProcess(const CaseFiles& files, std::string name, std::string zone,
              const std::string& store_address);
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  const std::string& Name() const { return this->name; }
  const std::string& CallerAddress() const { return this->caller_address; }
  const std::string& PeerAddress() const { return this->peer_address; }

  // Writes the settings from the deploy file's template and starts the process.
  void Start(const std::vector<std::string>& seeds);
  // Returns false if the host is not ready after ten seconds.
  bool AwaitReady() const;

  // Kills the process and waits for its end.
  void Kill();
  // Returns the memory that the process takes, 0 if it has ended.
  double ResidentMegabytes() const;

  // As the platform's page on machines has it.
  static constexpr int kMemoryMegabytes = 260;

 private:
  std::string PidFile() const;

  CaseFiles files;
  std::string name;
  std::string zone;
  std::string store_address;
  std::string ip;
  std::string caller_address;
  std::string ready_address;
  std::string peer_address;
  pid_t process = -1;
};

}  // namespace review
