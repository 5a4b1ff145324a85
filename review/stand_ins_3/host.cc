#include "review/stand_ins_3/host.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <thread>
#include <utility>

#include "review/stand_ins_3/sockets.h"

namespace review {

namespace {

constexpr const char* kProgram = "target/src/command/burdockwheel";

std::string Address(std::uint16_t port) {
  return "\"127.0.0.1:" + std::to_string(port) + "\"";
}

}  // namespace

HostProcess::HostProcess(HostSettings settings, std::string folder)
    : settings(std::move(settings)),
      folder(std::move(folder)),
      front_port(FreePort()),
      ready_port(FreePort()),
      metrics_port(FreePort()) {
  if (this->settings.control_port == 0)
    this->settings.control_port = FreePort();
}

HostProcess::~HostProcess() {
  if (this->process < 0) return;
  this->Signal(SIGCONT);
  this->Signal(SIGKILL);
  this->AwaitEnd(std::chrono::seconds(5));
}

// What the template of the deploy file gives with the bounds of the users'
// small deployments.
std::string HostProcess::SettingsText() const {
  std::string seeds;
  for (const auto port : this->settings.seed_ports) {
    if (!seeds.empty()) seeds += ",";
    seeds += Address(port);
  }
  return R"({"host":")" + this->settings.name + R"(","failure_domain":")" +
         this->settings.zone + R"(","caller_listen":)" +
         Address(this->front_port) + R"(,"admin_listen":)" +
         Address(this->ready_port) + R"(,"metrics_listen":)" +
         Address(this->metrics_port) + R"(,"peer_listen":)" +
         Address(this->settings.control_port) +
         R"(,"platform":{"kind":"store","address":)" +
         Address(this->settings.store_port) +
         R"(},"message_conventions":"platform","load_interval_ms":100,)"
         R"("memory_mb":260,"most_body_bytes":16777216,"seed_peers":[)" +
         seeds +
         R"(],"fleet_retry":{"share":0.2,"slack":64,"levels":1},)"
         R"("stop":{"grace_s":6}})";
}

void HostProcess::Start() {
  const std::string path = this->folder + "/" + this->settings.name;
  std::ofstream(path + ".json") << this->SettingsText() << "\n";
  const std::string variable = "BURDOCKWHEEL_CONFIG=" + path + ".json";
  const std::string log = path + ".log";
  std::string search = "PATH=/usr/bin:/bin";
  std::array<char*, 3> environment = {const_cast<char*>(variable.c_str()),
                                      search.data(), nullptr};
  std::string program = kProgram;
  std::string verb = "serve";
  std::array<char*, 3> arguments = {program.data(), verb.data(), nullptr};
  this->process = fork();
  if (this->process != 0) return;
  const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  execve(program.c_str(), arguments.data(), environment.data());
  _exit(127);
}

void HostProcess::Signal(int number) const {
  if (this->process > 0) kill(this->process, number);
}

bool HostProcess::AwaitEnd(std::chrono::milliseconds most) {
  const auto until = Clock::now() + most;
  while (this->process > 0) {
    if (waitpid(this->process, nullptr, WNOHANG) == this->process) {
      this->process = -1;
      return true;
    }
    if (Clock::now() >= until) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return true;
}

bool HostProcess::IsReady() const {
  const auto connection = ConnectToLoopback(this->ready_port);
  if (!connection.IsOpen()) return false;
  SendAll(connection.Get(),
          "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
  std::string rest;
  Message answer;
  return ReadMessage(connection.Get(), Clock::now() + std::chrono::seconds(1),
                     rest, answer) &&
         answer.start_line.starts_with("HTTP/1.1 200");
}

bool HostProcess::AwaitReady(std::chrono::milliseconds most) const {
  const auto until = Clock::now() + most;
  while (Clock::now() < until) {
    if (this->IsReady()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

}  // namespace review
