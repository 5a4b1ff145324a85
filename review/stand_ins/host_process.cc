#include "review/stand_ins/host_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <random>
#include <utility>

#include "review/stand_ins/stream.h"

namespace review {

namespace {

// The template states this port for each machine.
constexpr int kMetricsPort = 9464;
constexpr Milliseconds kReadyTimeout{10'000};
constexpr Milliseconds kPollPause{50};

// Returns the port that was bound, 0 if it is taken. Port 0 takes a free one.
int TryBind(const std::string& ip, int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &endpoint.sin_addr);
  auto* const plain = reinterpret_cast<sockaddr*>(&endpoint);  // NOLINT
  socklen_t size = sizeof(endpoint);
  const bool is_bound = bind(descriptor, plain, size) == 0 &&
                        getsockname(descriptor, plain, &size) == 0;
  close(descriptor);
  return is_bound ? ntohs(endpoint.sin_port) : 0;
}

std::string FreeLoopbackAddress() {
  std::random_device random;
  std::uniform_int_distribution<int> part(2, 250);
  while (true) {
    auto ip = "127." + std::to_string(part(random)) + "." +
              std::to_string(part(random)) + "." + std::to_string(part(random));
    if (TryBind(ip, kMetricsPort) != 0) return ip;
  }
}

std::string FreeAddress(const std::string& ip) {
  return ip + ":" + std::to_string(TryBind(ip, 0));
}

void ReplaceAll(std::string& text, const std::string& from,
                const std::string& to) {
  for (auto at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size()))
    text.replace(at, from.size(), to);
}

std::string Quoted(const std::string& text) { return '"' + text + '"'; }

}  // namespace

HostProcess::HostProcess(const CaseFiles& files, std::string name,
                         std::string zone, const std::string& store_address)
    : files(files),
      name(std::move(name)),
      zone(std::move(zone)),
      store_address(store_address),
      ip(FreeLoopbackAddress()),
      caller_address(FreeAddress(this->ip)),
      ready_address(FreeAddress(this->ip)),
      peer_address(FreeAddress(this->ip)) {}

HostProcess::~HostProcess() { this->Kill(); }

void HostProcess::Start(const std::vector<std::string>& seeds) {
  std::ifstream source(this->files.repository + "/deploy/settings.json.in");
  std::string text(std::istreambuf_iterator<char>(source), {});
  std::string seed_list;
  for (const auto& seed : seeds)
    seed_list += (seed_list.empty() ? "" : ",") + Quoted(seed);
  ReplaceAll(text, "{{#seeds}}{{.|json}}{{,}}{{/seeds}}", seed_list);
  ReplaceAll(text, "{{node_name|json}}", Quoted(this->name));
  ReplaceAll(text, "{{zone|json}}", Quoted(this->zone));
  ReplaceAll(text, "{{listen.front|json}}", Quoted(this->caller_address));
  ReplaceAll(text, "{{listen.ready|json}}", Quoted(this->ready_address));
  ReplaceAll(text, "{{listen.control|json}}", Quoted(this->peer_address));
  ReplaceAll(text, "{{ip}}", this->ip);
  ReplaceAll(text, "{{platform.address|json}}", Quoted(this->store_address));
  ReplaceAll(text, "{{limits.memory_mb|json}}",
             std::to_string(kMemoryMegabytes));
  ReplaceAll(text, "{{bounds.retry_ratio|json}}", "0.2");
  ReplaceAll(text, "{{bounds.retry_slack|json}}", "64");
  ReplaceAll(text, "{{bounds.grace_s|json}}", "6");
  const auto settings = this->files.folder + "/" + this->name + ".json";
  std::ofstream(settings) << text;
  const auto log = this->files.folder + "/" + this->name + ".log";
  posix_spawn_file_actions_t actions{};
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string program =
      this->files.repository + "/target/src/command/burdockwheel";
  std::string verb = "serve";
  std::string variable = "BURDOCKWHEEL_CONFIG=" + settings;
  std::array<char*, 3> arguments{program.data(), verb.data(), nullptr};
  std::array<char*, 2> environment{variable.data(), nullptr};
  posix_spawn(&this->process, program.c_str(), &actions, nullptr,
              arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  // The script ends what is left if this program is killed.
  std::ofstream(this->PidFile()) << this->process << "\n";
}

std::string HostProcess::PidFile() const {
  return this->files.folder + "/" + this->name + ".pid";
}

bool HostProcess::AwaitReady() const {
  const auto until = Clock::now() + kReadyTimeout;
  while (Clock::now() < until) {
    const int descriptor = Stream::Connect(this->ready_address);
    if (descriptor >= 0) {
      Stream stream(descriptor);
      stream.Write("GET /ready HTTP/1.1\r\nHost: " + this->ready_address +
                   "\r\n\r\n");
      const auto answer = stream.Read(kReadyTimeout);
      if (answer && answer->Status() == 200) return true;
    }
    Sleep(kPollPause);
  }
  return false;
}

void HostProcess::Kill() {
  if (this->process <= 0) return;
  kill(this->process, SIGKILL);
  waitpid(this->process, nullptr, 0);
  std::remove(this->PidFile().c_str());
  this->process = -1;
}

double HostProcess::ResidentMegabytes() const {
  constexpr double kKilobytesOfMegabyte = 1024;
  std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
  std::string word;
  while (status >> word) {
    if (word != "VmRSS:") continue;
    double kilobytes = 0;
    status >> kilobytes;
    return kilobytes / kKilobytesOfMegabyte;
  }
  return 0;
}

}  // namespace review
