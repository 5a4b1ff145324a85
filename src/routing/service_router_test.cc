#include "routing/service_router.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::routing {

namespace {

const kernel::Instant kStart{std::chrono::hours(1)};
const model::WorkerAddress kFirst{"10.0.0.1:80"};

model::WorkerRecord Record(const model::WorkerAddress& address) {
  return {address, {"slots"}, {"a"}, model::WorkerState::kLive};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ServiceRouterTest)

BOOST_AUTO_TEST_CASE(OwnCallsInFlightStayWithinTheShareOfConnections) {
  std::mt19937_64 random(1);
  ServiceRouter router({"a"});
  router.UpdateDefinition(kStart, model::ServiceDefinition{}, 25);
  router.UpdateWorkers(kStart, {Record(kFirst)});
  std::uint64_t started = 0;
  while (router.Choose(kStart, {}, random).has_value() && started < 100)
    router.AttemptStarted(kStart, kFirst, {++started});
  BOOST_TEST(started <= 10U);
  BOOST_TEST(!router.HasRoom(kStart));
  BOOST_TEST(router.HasWorkers());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
