// An entry host as a process of its own, with the settings of a small
// deployment.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace review {

struct HostSettings {
  std::string name;
  std::string zone = "zone-a";
  std::uint16_t store_port = 0;
  std::vector<std::uint16_t> seed_ports;
  std::uint16_t control_port = 0;
};

// Runs `target/src/command/burdockwheel serve` as deploy/system.toml does.
class HostProcess {
 public:
  // Writes settings and log to files of the host's name in `folder`.
  HostProcess(HostSettings settings, std::string folder);
  ~HostProcess();
  HostProcess(const HostProcess&) = delete;
  HostProcess& operator=(const HostProcess&) = delete;

  void Start();
  void Signal(int number) const;
  // Waits for the end of the process; returns false if it has not come.
  bool AwaitEnd(std::chrono::milliseconds most);
  bool AwaitReady(std::chrono::milliseconds most) const;
  // Asks GET /ready as the platform does.
  bool IsReady() const;

  std::uint16_t FrontPort() const { return this->front_port; }
  const std::string& Name() const { return this->settings.name; }

 private:
  std::string SettingsText() const;

  HostSettings settings;
  std::string folder;
  std::uint16_t front_port;
  std::uint16_t ready_port;
  std::uint16_t metrics_port;
  pid_t process = -1;
};

}  // namespace review
