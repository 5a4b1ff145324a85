#include "stand_ins/experiment/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace burdockwheel::stand_ins {
namespace {

constexpr std::chrono::milliseconds kWaitInterval{5};
// Fields of /proc/ID/stat after the program's name, which may hold blanks;
// proc(5).
constexpr int kFieldsBeforeUserTime = 11;

// Closes the file actions of a spawn.
class SpawnActions {
 public:
  SpawnActions() { posix_spawn_file_actions_init(&this->actions); }
  SpawnActions(const SpawnActions&) = delete;
  SpawnActions& operator=(const SpawnActions&) = delete;
  ~SpawnActions() { posix_spawn_file_actions_destroy(&this->actions); }

  void SendOutputTo(const std::string& path) {
    posix_spawn_file_actions_addopen(&this->actions, STDOUT_FILENO,
                                     path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&this->actions, STDOUT_FILENO,
                                     STDERR_FILENO);
    // A socket that a child holds too is not closed when its owner closes it.
    posix_spawn_file_actions_addclosefrom_np(&this->actions, STDERR_FILENO + 1);
  }

  const posix_spawn_file_actions_t* Get() const { return &this->actions; }

 private:
  posix_spawn_file_actions_t actions{};
};

}  // namespace

kernel::Result<ChildProcess, SpawnFailure> ChildProcess::TryStart(
    std::vector<std::string> arguments, const std::string& log_path) {
  if (!std::ofstream(log_path, std::ios::app)) return SpawnFailure::kNoLogFile;
  SpawnActions actions;
  actions.SendOutputTo(log_path);
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  pid_t id = 0;
  if (posix_spawn(&id, argv[0], actions.Get(), nullptr, argv.data(), environ) !=
      0)
    return SpawnFailure::kNotStarted;
  return ChildProcess(id);
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : id(std::exchange(other.id, 0)) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  if (this == &other) return *this;
  this->Kill();
  this->id = std::exchange(other.id, 0);
  return *this;
}

ChildProcess::~ChildProcess() { this->Kill(); }

void ChildProcess::Signal(int number) const {
  if (this->id > 0) kill(this->id, number);
}

bool ChildProcess::IsRunning() {
  if (this->id == 0) return false;
  if (waitpid(this->id, nullptr, WNOHANG) == 0) return true;
  this->id = 0;
  return false;
}

bool ChildProcess::TryWait(std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (this->IsRunning()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kWaitInterval);
  }
  return true;
}

void ChildProcess::Kill() {
  if (this->id == 0) return;
  kill(this->id, SIGKILL);
  waitpid(this->id, nullptr, 0);
  this->id = 0;
}

std::optional<ProcessUsage> ChildProcess::UsageOrNull() const {
  if (this->id == 0) return std::nullopt;
  const std::string folder = "/proc/" + std::to_string(this->id);
  std::ifstream stat(folder + "/stat");
  std::string line;
  if (!std::getline(stat, line)) return std::nullopt;
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) fields >> skipped;
  std::int64_t user_ticks = 0;
  std::int64_t system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  std::ifstream statm(folder + "/statm");
  std::int64_t total_pages = 0;
  std::int64_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  ProcessUsage usage;
  usage.cpu = std::chrono::milliseconds((user_ticks + system_ticks) * 1000 /
                                        sysconf(_SC_CLK_TCK));
  usage.resident_bytes = resident_pages * sysconf(_SC_PAGESIZE);
  return usage;
}

}  // namespace burdockwheel::stand_ins
