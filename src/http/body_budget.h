// Bounds the memory that callers' request bodies take together.
#pragma once

#include <cstddef>
#include <limits>

namespace burdockwheel::http {

// Not thread-safe; must outlive its reservations.
class BodyBudget {
 public:
  // The bytes that one body holds of the budget, until it ends.
  class Reservation {
   public:
    explicit Reservation(BodyBudget& budget) : budget(budget) {}
    ~Reservation() { this->budget.used -= this->bytes; }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // Raises the reservation to `wanted` bytes. Returns false, and keeps what
    // it holds, if the budget has no room for that.
    bool TryRaise(std::size_t wanted) {
      if (wanted <= this->bytes) return true;
      const auto added = wanted - this->bytes;
      if (added > this->budget.max_bytes - this->budget.used) return false;
      this->budget.used += added;
      this->bytes = wanted;
      return true;
    }

   private:
    BodyBudget& budget;
    std::size_t bytes = 0;
  };

  explicit BodyBudget(
      std::size_t max_bytes = std::numeric_limits<std::size_t>::max())
      : max_bytes(max_bytes) {}

 private:
  std::size_t max_bytes;
  std::size_t used = 0;
};

}  // namespace burdockwheel::http
