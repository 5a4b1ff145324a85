#include "http/answer_budget.h"

#include <algorithm>
#include <utility>

namespace burdockwheel::http {

AnswerBudget::Share::Share(AnswerBudget& budget, std::function<void()> give_up)
    : budget(budget), give_up(std::move(give_up)) {
  this->budget.shares.insert(this);
}

AnswerBudget::Share::~Share() {
  this->budget.shares.erase(this);
  this->budget.used -= this->bytes;
}

void AnswerBudget::Share::Raise(std::size_t bytes) {
  AnswerBudget& whole = this->budget;
  whole.used += bytes - this->bytes;
  this->bytes = bytes;
  // This share may end with the first answer that is given up.
  while (whole.used > whole.max_bytes && !whole.shares.empty())
    whole.GiveUpLargest();
}

void AnswerBudget::GiveUpLargest() {
  Share* const largest =
      *std::ranges::max_element(this->shares, {}, &Share::bytes);
  // Ends the share, and the function with it.
  const auto give_up = std::move(largest->give_up);
  give_up();
}

}  // namespace burdockwheel::http
