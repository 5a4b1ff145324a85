#include "engine/admission_queue.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::engine {

using std::chrono::milliseconds;

namespace {

constexpr kernel::Instant kStart{std::chrono::hours(1)};

// A queue of at most ten calls that wait 200 ms at most, of the kinds "light"
// with weight 1 and "heavy" with weight 3.
struct QueueFixture {
  QueueFixture() {
    model::QueueLimits limits{10, milliseconds(200)};
    model::CallKind light;
    light.name = "light";
    model::CallKind heavy;
    heavy.name = "heavy";
    heavy.weight = 3;
    this->queue.Update(limits, {light, heavy}, this->dropped);
  }

  void Add(std::size_t kind, std::uint64_t call, milliseconds at,
           milliseconds start_by = std::chrono::seconds(100)) {
    this->queue.Add(kind, {{call}, kStart + at, kStart + start_by},
                    this->dropped);
  }

  std::uint64_t Take(milliseconds at) {
    const auto call = this->queue.TryTake(kStart + at, this->dropped);
    return call ? call->value : 0;
  }

  AdmissionQueue queue;
  AdmissionQueue::Calls dropped;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionQueueTest, QueueFixture)

BOOST_AUTO_TEST_CASE(TakesTheOldestFirstUntilOverloaded) {
  this->Add(0, 1, milliseconds(0));
  this->Add(0, 2, milliseconds(1));
  BOOST_TEST(this->Take(milliseconds(2)) == 1U);
  BOOST_TEST(this->Take(milliseconds(2)) == 2U);
  BOOST_TEST(this->Take(milliseconds(2)) == 0U);
}

BOOST_AUTO_TEST_CASE(TakesTheNewestFirstUnderOverload) {
  this->Add(0, 1, milliseconds(0));
  for (std::uint64_t call = 2; call < 8; ++call) {
    this->Add(0, call, milliseconds(20 * call));
    this->Take(milliseconds(20 * call));
  }
  this->Add(0, 8, milliseconds(141));
  this->Add(0, 9, milliseconds(142));
  BOOST_TEST(this->queue.IsOverloaded(kStart + milliseconds(143)));
  BOOST_TEST(this->Take(milliseconds(143)) == 9U);
  BOOST_TEST(this->dropped.empty());
}

BOOST_AUTO_TEST_CASE(ShortensTheWaitUnderOverload) {
  this->Add(0, 1, milliseconds(0));
  BOOST_TEST((this->queue.NextWake(kStart) == kStart + milliseconds(200)));
  this->Add(0, 2, milliseconds(90));
  this->queue.Expire(kStart + milliseconds(99), this->dropped);
  BOOST_TEST(this->dropped.empty());
  this->queue.Expire(kStart + milliseconds(101), this->dropped);
  BOOST_TEST(this->dropped.size() == 1U);
  BOOST_TEST(this->queue.Size() == 1U);
}

BOOST_AUTO_TEST_CASE(SharesByWeight) {
  for (std::uint64_t call = 1; call <= 4; ++call) {
    this->Add(0, call, milliseconds(0));
    this->Add(1, 10 + call, milliseconds(0));
  }
  int heavy = 0;
  for (int taken = 0; taken < 4; ++taken)
    heavy += this->Take(milliseconds(1)) > 10 ? 1 : 0;
  BOOST_TEST(heavy == 3);
}

BOOST_AUTO_TEST_CASE(CountsTheTimeThatAKindHoldsAWorker) {
  this->queue.ObserveServiceTime(0, milliseconds(10));
  this->queue.ObserveServiceTime(1, milliseconds(30));
  for (std::uint64_t call = 1; call <= 5; ++call) {
    this->Add(0, call, milliseconds(0));
    this->Add(1, 10 + call, milliseconds(0));
  }
  int heavy = 0;
  for (int taken = 0; taken < 6; ++taken)
    heavy += this->Take(milliseconds(1)) > 10 ? 1 : 0;
  BOOST_TEST(heavy == 3);
}

BOOST_AUTO_TEST_CASE(
    AFullQueueDropsTheOldestCallOfTheKindWithMostCallsPerWeight) {
  for (std::uint64_t call = 1; call <= 7; ++call)
    this->Add(0, call, milliseconds(0));
  for (std::uint64_t call = 11; call <= 14; ++call)
    this->Add(1, call, milliseconds(1));
  BOOST_TEST(this->queue.Size() == 10U);
  BOOST_REQUIRE(this->dropped.size() == 1U);
  BOOST_TEST(this->dropped.front().value == 1U);
}

BOOST_AUTO_TEST_CASE(NeverReturnsACallThatCannotMeetItsDeadline) {
  this->Add(0, 1, milliseconds(0), milliseconds(50));
  this->Add(0, 2, milliseconds(0));
  BOOST_TEST(this->Take(milliseconds(51)) == 2U);
  BOOST_REQUIRE(this->dropped.size() == 1U);
  BOOST_TEST(this->dropped.front().value == 1U);
}

BOOST_AUTO_TEST_CASE(DropsTheCallsOfARemovedKind) {
  this->Add(0, 1, milliseconds(0));
  this->Add(1, 2, milliseconds(0));
  model::CallKind heavy;
  heavy.name = "heavy";
  this->queue.Update({10, milliseconds(200)}, {heavy}, this->dropped);
  BOOST_REQUIRE(this->dropped.size() == 1U);
  BOOST_TEST(this->dropped.front().value == 1U);
  BOOST_TEST(this->Take(milliseconds(1)) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
