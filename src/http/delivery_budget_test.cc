#include "http/delivery_budget.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <random>
#include <vector>

namespace burdockwheel::http {

namespace {

constexpr std::size_t kMaxBytes = 1000;

// Deliveries that end when they are given up.
class DeliveryFixture {
 public:
  std::size_t Begin(std::size_t bytes) {
    const auto index = this->deliveries.size();
    this->deliveries.push_back(std::make_unique<DeliveryBudget::Share>(
        this->budget, [this, index] { this->deliveries[index].reset(); }));
    this->deliveries[index]->Hold(this->now, bytes);
    this->now += std::chrono::milliseconds(1);
    return index;
  }
  void Progress(std::size_t index) {
    this->deliveries[index]->NoteProgress(this->now);
    this->now += std::chrono::milliseconds(1);
  }
  bool IsHeld(std::size_t index) const {
    return this->deliveries[index] != nullptr;
  }

  kernel::Instant now{std::chrono::hours(1)};
  DeliveryBudget budget{kMaxBytes};
  std::vector<std::unique_ptr<DeliveryBudget::Share>> deliveries;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(DeliveryBudgetTest, DeliveryFixture)

// Guards against callers that read being cut off for one that does not.
BOOST_AUTO_TEST_CASE(GivesUpTheDeliveryThatStoodStillLongest) {
  const auto reading = this->Begin(400);
  const auto stalled = this->Begin(300);
  const auto other = this->Begin(300);
  this->Progress(reading);
  this->Progress(other);
  const auto newest = this->Begin(200);
  BOOST_TEST(!this->IsHeld(stalled));
  BOOST_TEST(this->IsHeld(reading));
  BOOST_TEST(this->IsHeld(other));
  BOOST_TEST(this->IsHeld(newest));
  BOOST_TEST(this->budget.UsedBytes() == 900U);
  BOOST_TEST(this->budget.GivenUpCount() == 1U);
}

BOOST_AUTO_TEST_CASE(DeliversAnAnswerThatExceedsTheBoundByItself) {
  const auto small = this->Begin(10);
  const auto large = this->Begin(5000);
  BOOST_TEST(!this->IsHeld(small));
  BOOST_TEST(this->IsHeld(large));
  this->deliveries[large].reset();
  BOOST_TEST(this->budget.UsedBytes() == 0U);
}

// The bound holds through any order of deliveries, and nothing stays counted.
BOOST_AUTO_TEST_CASE(NeverHoldsMoreThanTheBound) {
  std::mt19937_64 random(3);
  const auto draw = [&random](std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(0, most)(random);
  };
  for (int step = 0; step < 20'000; ++step) {
    const auto choice = draw(2);
    if (choice == 0 || this->deliveries.empty()) {
      this->Begin(draw(kMaxBytes));
    } else {
      const auto index = draw(this->deliveries.size() - 1);
      if (this->IsHeld(index) && choice == 1) this->Progress(index);
      if (choice == 2) this->deliveries[index].reset();
    }
    BOOST_REQUIRE(this->budget.UsedBytes() <= kMaxBytes);
  }
  this->deliveries.clear();
  BOOST_TEST(this->budget.UsedBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
