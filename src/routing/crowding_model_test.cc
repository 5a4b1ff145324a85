#include "routing/crowding_model.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::routing {

namespace {

using std::chrono::milliseconds;

constexpr int kSlots = 6;

CrowdingModel Taught(milliseconds roomy, milliseconds crowded, int samples,
                     int waiting = 0) {
  CrowdingModel model;
  for (int count = 0; count < samples; ++count) {
    model.Observe(roomy, {.calls_in_flight = 3}, kSlots);
    model.Observe(crowded, {.calls_in_flight = 6, .calls_queued = waiting},
                  kSlots);
  }
  return model;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CrowdingModelTest)

BOOST_AUTO_TEST_CASE(AimsLowerWhereWorkersSlowWhenNearlyFull) {
  const auto model = Taught(milliseconds(220), milliseconds(374), 20);
  BOOST_TEST(model.Slowdown() > 1.6);
  BOOST_TEST(model.TargetLoad() < 0.8);
}

BOOST_AUTO_TEST_CASE(FillsWorkersThatDoNot) {
  const auto model = Taught(milliseconds(220), milliseconds(240), 20);
  BOOST_TEST(model.TargetLoad() > 0.9);
}

BOOST_AUTO_TEST_CASE(KnowsNothingFromFewAnswersOrFromQueues) {
  BOOST_TEST(Taught(milliseconds(100), milliseconds(900), 9).Slowdown() == 1);
  BOOST_TEST(Taught(milliseconds(100), milliseconds(900), 50, 3).Slowdown() ==
             1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
