// Bounds the memory that unfinished answers of workers take together.
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <set>

namespace burdockwheel::http {

// One answer is bounded by its connection; their sum is bounded here. An answer
// without an end grows past all others, so that the largest one is given up
// when the sum is exceeded. Not thread-safe; must outlive its shares.
class AnswerBudget {
 public:
  // The bytes of one unfinished answer, until it ends.
  class Share {
   public:
    // `give_up` must end the answer, and with it this share.
    Share(AnswerBudget& budget, std::function<void()> give_up);
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    // Tells how many bytes there are now; never fewer than before. The answer
    // that is given up may be this one.
    void Raise(std::size_t bytes);

   private:
    friend class AnswerBudget;

    AnswerBudget& budget;
    std::function<void()> give_up;
    std::size_t bytes = 0;
  };

  explicit AnswerBudget(
      std::size_t max_bytes = std::numeric_limits<std::size_t>::max())
      : max_bytes(max_bytes) {}

  std::size_t UsedBytes() const { return this->used; }

 private:
  void GiveUpLargest();

  std::size_t max_bytes;
  std::size_t used = 0;
  std::set<Share*> shares;
};

}  // namespace burdockwheel::http
