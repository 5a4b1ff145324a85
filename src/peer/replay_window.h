// Recognizes sequence numbers that have been received before.
#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace burdockwheel::peer {

// A sliding window over the sequence numbers of one sender, as in RFC 4303,
// section 3.4.3. Numbers older than the window count as received.
class ReplayWindow {
 public:
  static constexpr std::size_t kSize = 4096;

  // Notes the number. Returns false if it was noted before or is too old.
  [[nodiscard]] bool TryAccept(std::uint64_t sequence);

 private:
  std::uint64_t newest = 0;  // 0 is never sent
  std::bitset<kSize> received;
};

}  // namespace burdockwheel::peer
