// One process of the product.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace burdockwheel::review {

struct EntryHostOptions {
  std::string program;  // the program of the deploy file
  std::string folder;   // for the settings and the log
  std::string name;
  std::string zone;
  std::uint16_t store_port = 0;
  std::vector<std::string> seeds;
  int memory_mb = 260;
  int grace_s = 6;
  int retry_slack = 64;
  // Members that the template adds for a site, each followed by a comma.
  std::string site_members;
};

// Runs "PROGRAM serve" with the settings that deploy/entry.json.in gives on a
// machine of the small deployments. The process ends with this object.
class EntryHost {
 public:
  explicit EntryHost(const EntryHostOptions& options);
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;
  ~EntryHost();

  std::uint16_t CallerPort() const { return this->caller_port; }
  std::uint16_t ReadyPort() const { return this->ready_port; }
  std::string ControlAddress() const;

  // Starts the process; returns false if it cannot be started.
  bool TryStart();
  void Signal(int signal) const;
  // Waits for the end of the process; returns its status as waitpid does, or
  // -1 if it still runs after the time.
  int WaitForEnd(int max_ms);
  bool HasEnded();

 private:
  std::string Settings() const;

  EntryHostOptions options;
  std::uint16_t caller_port;
  std::uint16_t ready_port;
  std::uint16_t metrics_port;
  std::uint16_t control_port;
  pid_t process = -1;
  int status = -1;
};

// Returns a port of 127.0.0.1 that is free for TCP and UDP.
std::uint16_t FreePort();

}  // namespace burdockwheel::review
