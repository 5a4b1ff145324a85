#include "stand_ins/soak/soak_plan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

namespace burdockwheel::stand_ins {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(SoakPlanTest)

BOOST_AUTO_TEST_CASE(DrawsTheSamePlanFromTheSameSeed) {
  const SoakSettings settings{7, milliseconds(30000), 0};
  const auto first = DrawSoakPlan(settings);
  const auto second = DrawSoakPlan(settings);
  BOOST_TEST_REQUIRE(first.steps.size() == second.steps.size());
  for (std::size_t at = 0; at < first.steps.size(); ++at) {
    BOOST_TEST((first.steps[at].at == second.steps[at].at));
    BOOST_TEST((first.steps[at].fault == second.steps[at].fault));
    BOOST_TEST(first.steps[at].target == second.steps[at].target);
  }
}

BOOST_AUTO_TEST_CASE(DrawsEachFaultWithinFiftySeeds) {
  std::set<SoakFault> drawn;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    for (const auto& step : DrawSoakPlan({seed, milliseconds(20000), 0}).steps)
      drawn.insert(step.fault);
  }
  BOOST_TEST(drawn.size() == static_cast<std::size_t>(kSoakFaults));
}

BOOST_AUTO_TEST_CASE(EndsEachFaultBeforeTheCalmEnd) {
  const milliseconds length(20000);
  const milliseconds calm(8000);
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const auto plan = DrawSoakPlan({seed, length, 0});
    BOOST_TEST(std::ranges::is_sorted(plan.steps, {}, &SoakStep::at));
    for (const auto& step : plan.steps)
      BOOST_TEST((step.at + step.length <= length - calm));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace burdockwheel::stand_ins
