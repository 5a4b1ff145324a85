#include "peer/replay_window.h"

namespace burdockwheel::peer {

bool ReplayWindow::TryAccept(std::uint64_t sequence) {
  if (sequence == 0) return false;
  if (sequence > this->newest) {
    const std::uint64_t advance = sequence - this->newest;
    if (advance >= kSize) {
      this->received.reset();
    } else {
      this->received <<= advance;
    }
    this->newest = sequence;
    this->received.set(0);
    return true;
  }
  const std::uint64_t age = this->newest - sequence;
  if (age >= kSize) return false;
  if (this->received.test(age)) return false;
  this->received.set(age);
  return true;
}

}  // namespace burdockwheel::peer
