#include "http/delivery_budget.h"

#include <algorithm>
#include <utility>

namespace burdockwheel::http {

DeliveryBudget::Share::Share(DeliveryBudget& budget,
                             std::function<void()> give_up)
    : budget(budget), give_up(std::move(give_up)) {}

DeliveryBudget::Share::~Share() {
  this->budget.shares.erase(this);
  this->budget.used -= this->bytes;
}

void DeliveryBudget::Share::Hold(kernel::Instant now, std::size_t bytes) {
  DeliveryBudget& whole = this->budget;
  whole.used += bytes - this->bytes;
  this->bytes = bytes;
  this->progress_at = now;
  whole.shares.insert(this);
  while (whole.used > whole.max_bytes && whole.shares.size() > 1)
    whole.GiveUpOldest();
}

void DeliveryBudget::GiveUpOldest() {
  Share* const oldest =
      *std::ranges::min_element(this->shares, {}, &Share::progress_at);
  this->shares.erase(oldest);
  this->used -= std::exchange(oldest->bytes, 0);
  this->given_up += 1;
  // Ends the share, and the function with it.
  const auto give_up = std::move(oldest->give_up);
  give_up();
}

}  // namespace burdockwheel::http
