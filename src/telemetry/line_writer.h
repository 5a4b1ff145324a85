// Writes log lines to a file descriptor on a thread of its own.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace burdockwheel::telemetry {

// Whoever appends never waits for the reader of the descriptor: lines that find
// the buffer full are dropped and counted. Safe to use from several threads.
class LineWriter {
 public:
  // `descriptor` must stay open as long as the writer lives.
  explicit LineWriter(int descriptor);

  // Writes what the reader takes within a short time and ends the thread.
  ~LineWriter();

  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  // Takes a line without its end.
  void Append(std::string_view line);

  // Returns how many lines found the buffer full, for the life of the writer.
  std::uint64_t Dropped() const { return this->dropped; }

 private:
  void Run();
  void WriteOut(const std::string& text);
  bool AwaitRoom() const;

  int descriptor;
  std::mutex mutex;
  std::condition_variable appended;
  std::string pending;
  bool is_stopping = false;
  std::atomic<std::uint64_t> dropped{0};
  std::atomic<std::int64_t> give_up_at_ns{0};  // steady clock; 0: not stopping
  std::thread thread;
};

}  // namespace burdockwheel::telemetry
