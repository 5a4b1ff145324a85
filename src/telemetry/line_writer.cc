#include "telemetry/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <utility>

namespace burdockwheel::telemetry {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Half a second of lines at the highest rate that the budgets allow.
constexpr std::size_t kMostPendingBytes = std::size_t{256} * 1024;
// Lines are gathered for so long, so that a write carries several.
constexpr milliseconds kGatherTime{100};
// How long the last lines of a process are offered to a reader that is slow.
constexpr milliseconds kMostStopWait{200};
constexpr milliseconds kPollTime{50};

std::int64_t NowNs() {
  const std::chrono::nanoseconds since_epoch =
      steady_clock::now().time_since_epoch();
  return since_epoch.count();
}

}  // namespace

LineWriter::LineWriter(int descriptor)
    : descriptor(descriptor), thread([this] { this->Run(); }) {}

LineWriter::~LineWriter() {
  this->give_up_at_ns =
      NowNs() + std::chrono::nanoseconds(kMostStopWait).count();
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_stopping = true;
  }
  this->appended.notify_one();
  this->thread.join();
}

void LineWriter::Append(std::string_view line) {
  bool is_first = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->pending.size() + line.size() + 1 > kMostPendingBytes) {
      this->dropped += 1;
      return;
    }
    is_first = this->pending.empty();
    this->pending.append(line).push_back('\n');
  }
  if (is_first) this->appended.notify_one();
}

void LineWriter::Run() {
  std::unique_lock<std::mutex> lock(this->mutex);
  while (true) {
    this->appended.wait(
        lock, [this] { return this->is_stopping || !this->pending.empty(); });
    this->appended.wait_for(lock, kGatherTime,
                            [this] { return this->is_stopping; });
    if (this->pending.empty() && this->is_stopping) return;
    const auto text = std::exchange(this->pending, {});
    lock.unlock();
    this->WriteOut(text);
    lock.lock();
  }
}

// A pipe that is ready takes PIPE_BUF bytes without blocking (pipe(7)). The
// descriptor may be shared with other processes, so its mode is left as it is.
void LineWriter::WriteOut(const std::string& text) {
  std::size_t written = 0;
  while (written < text.size()) {
    if (!this->AwaitRoom()) break;
    const auto size = std::min<std::size_t>(text.size() - written, PIPE_BUF);
    const auto result = ::write(this->descriptor, text.data() + written, size);
    if (result < 0 && (errno == EINTR || errno == EAGAIN)) continue;
    if (result <= 0) break;
    written += static_cast<std::size_t>(result);
  }
  this->dropped += static_cast<std::uint64_t>(std::count(
      text.begin() + static_cast<std::ptrdiff_t>(written), text.end(), '\n'));
}

// Returns false when the process ends and the reader takes nothing.
bool LineWriter::AwaitRoom() const {
  while (true) {
    pollfd entry{this->descriptor, POLLOUT, 0};
    const int ready = ::poll(&entry, 1, static_cast<int>(kPollTime.count()));
    if (ready > 0) return true;
    if (ready < 0 && errno != EINTR) return false;
    const auto give_up_at = this->give_up_at_ns.load();
    if (give_up_at != 0 && NowNs() >= give_up_at) return false;
  }
}

}  // namespace burdockwheel::telemetry
