// Bounds the memory that answers take while callers read them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <set>

#include "kernel/instant.h"

namespace burdockwheel::http {

// A caller may read its answer slowly or not at all. Where all answers together
// exceed the bound, the one that has made no progress for longest is given up,
// so that a caller that reads is not cut off for one that does not. The only
// answer is never given up: its size has a bound of its own. Not thread-safe;
// must outlive its shares.
class DeliveryBudget {
 public:
  // The bytes of one answer, until it is written.
  class Share {
   public:
    // `give_up` must end the delivery; the share may outlive that call.
    Share(DeliveryBudget& budget, std::function<void()> give_up);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // Takes the answer's size as its delivery begins.
    void Hold(kernel::Instant now, std::size_t bytes);
    // The caller has taken some of the answer.
    void NoteProgress(kernel::Instant now) { this->progress_at = now; }

   private:
    friend class DeliveryBudget;

    DeliveryBudget& budget;
    std::function<void()> give_up;
    std::size_t bytes = 0;
    kernel::Instant progress_at;
  };

  explicit DeliveryBudget(
      std::size_t max_bytes = std::numeric_limits<std::size_t>::max())
      : max_bytes(max_bytes) {}

  std::size_t UsedBytes() const { return this->used; }
  // Answers given up since the start.
  std::uint64_t GivenUpCount() const { return this->given_up; }

 private:
  void GiveUpOldest();

  std::size_t max_bytes;
  std::size_t used = 0;
  std::uint64_t given_up = 0;
  std::set<Share*> shares;
};

}  // namespace burdockwheel::http
