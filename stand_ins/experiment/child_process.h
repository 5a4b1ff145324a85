// A process that a test program has started and stops by its id.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "kernel/result.h"

namespace burdockwheel::stand_ins {

enum class SpawnFailure { kNoLogFile, kNotStarted };

// What a process has used of the machine.
struct ProcessUsage {
  std::chrono::milliseconds cpu{0};  // in user and kernel mode together
  std::int64_t resident_bytes = 0;
};

// Owns one child; kills it when it goes out of scope.
class ChildProcess {
 public:
  // Starts a program with its output appended to `log_path`. `arguments` begins
  // with the path of the program.
  static kernel::Result<ChildProcess, SpawnFailure> TryStart(
      std::vector<std::string> arguments, const std::string& log_path);

  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  pid_t Id() const { return this->id; }

  // Sends a signal if the process has not been seen to end.
  void Signal(int number) const;

  // Looks whether the process has ended, without waiting.
  bool IsRunning();

  // Waits at most `timeout` for the end; returns whether it came.
  bool TryWait(std::chrono::milliseconds timeout);

  // Kills the process and waits for its end.
  void Kill();

  // Nothing once the process has ended.
  std::optional<ProcessUsage> UsageOrNull() const;

 private:
  explicit ChildProcess(pid_t id) : id(id) {}

  pid_t id = 0;  // 0 once the process has been waited for
};

}  // namespace burdockwheel::stand_ins
