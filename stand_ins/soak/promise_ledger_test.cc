#include "stand_ins/soak/promise_ledger.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

namespace burdockwheel::stand_ins {
namespace {

using kernel::Instant;
using std::chrono::milliseconds;

constexpr std::size_t kHost = 0;

SoakAnswer Refusal() {
  SoakAnswer answer;
  answer.status = 503;
  return answer;
}

Instant At(int ms) { return Instant() + milliseconds(100'000 + ms); }

SoakRequest Booking(const std::string& id) {
  SoakRequest request;
  request.id = id;
  request.host = kHost;
  request.route = "book";
  request.is_idempotent = false;
  request.target = "/book/" + id;
  request.timeout = milliseconds(1500);
  request.patience = milliseconds(2000);
  return request;
}

SoakArrival ArrivalOf(const SoakRequest& request, const std::string& worker,
                      const std::string& service = "trucks") {
  return {request.id,     worker,       service,
          request.target, request.body, milliseconds(1000)};
}

// A ledger under one configuration that is in force.
struct Fixture {
  Fixture() {
    this->ledger.HostStarted(kHost);
    this->ledger.ConfigurationSent(1, {{"book", "trucks"}});
    this->ledger.ConfigurationAcknowledged(At(-50'000), 1);
  }

  void Run(int ms, const SoakRequest& request, const std::string& worker,
           const std::string& service = "trucks") {
    const auto arrival = ArrivalOf(request, worker, service);
    this->ledger.Arrived(At(ms), arrival);
    this->ledger.RunBegun(At(ms), arrival, At(ms + 20));
  }

  bool Has(Promise promise) const {
    return std::ranges::any_of(this->ledger.Violations(),
                               [promise](const Violation& violation) {
                                 return violation.promise == promise;
                               });
  }

  PromiseLedger ledger{milliseconds(3000)};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PromiseLedgerTest, Fixture)

BOOST_AUTO_TEST_CASE(FindsNothingInASoundCall) {
  const auto request = Booking("a");
  this->ledger.Sent(At(0), request);
  this->Run(5, request, "w-1");
  this->ledger.RunEnded(At(25), "a", "w-1");
  this->ledger.Sealed("a", "seal", 200, "body");
  this->ledger.Answered(At(30), "a", {200, "a", "seal", "body"});
  this->ledger.Finish(At(10'000));
  BOOST_TEST(this->ledger.Violations().empty());
  BOOST_TEST(this->ledger.Counts().served == 1);
}

BOOST_AUTO_TEST_CASE(FindsASecondRun) {
  const auto request = Booking("a");
  this->ledger.Sent(At(0), request);
  this->Run(5, request, "w-1");
  this->Run(50, request, "w-2");
  BOOST_TEST(this->Has(Promise::kRunsOnce));
}

BOOST_AUTO_TEST_CASE(FindsARefusalOfWhatHasRunOrRunsLater) {
  const auto before = Booking("a");
  this->ledger.Sent(At(0), before);
  this->Run(5, before, "w-1");
  this->ledger.Answered(At(30), "a", Refusal());
  BOOST_TEST(this->ledger.Violations().size() == 1U);
  const auto after = Booking("b");
  this->ledger.Sent(At(100), after);
  this->ledger.Answered(At(130), "b", Refusal());
  this->Run(150, after, "w-1");
  BOOST_TEST(this->ledger.Violations().size() == 2U);
  BOOST_TEST(this->Has(Promise::kRefusalIsTrue));
}

BOOST_AUTO_TEST_CASE(FindsAnswersThatAreNotTheWorkers) {
  for (const SoakAnswer& answer :
       {SoakAnswer{200, "a", "", "body"}, SoakAnswer{200, "a", "seal", "bo"},
        SoakAnswer{200, "b", "seal", "body"},
        SoakAnswer{500, "a", "seal", "body"},
        SoakAnswer{200, "a", "seal", "body", true}}) {
    Fixture fixture;
    const auto request = Booking("a");
    fixture.ledger.Sent(At(0), request);
    fixture.Run(5, request, "w-1");
    fixture.ledger.Sealed("a", "seal", 200, "body");
    fixture.ledger.Answered(At(30), "a", answer);
    BOOST_TEST(fixture.Has(Promise::kOwnWholeAnswer));
  }
}

BOOST_AUTO_TEST_CASE(FindsBytesThatAreNoAnswer) {
  const auto request = Booking("a");
  this->ledger.Sent(At(0), request);
  this->Run(5, request, "w-1");
  this->ledger.Malformed(At(30), "a");
  BOOST_TEST(this->Has(Promise::kOwnWholeAnswer));
  BOOST_TEST(!this->ledger.IsOpen("a"));
}

BOOST_AUTO_TEST_CASE(FindsRequestsThatNobodySentOrThatWereChanged) {
  this->ledger.Arrived(At(0), ArrivalOf(Booking("x"), "w-1"));
  BOOST_TEST(this->ledger.Violations().size() == 1U);
  this->ledger.Sent(At(0), Booking("a"));
  auto changed = Booking("a");
  changed.target += "?more";
  this->ledger.Arrived(At(5), ArrivalOf(changed, "w-1"));
  BOOST_TEST(this->ledger.Violations().size() == 2U);
}

BOOST_AUTO_TEST_CASE(FindsMoreWorkersThanTheRouteAllows) {
  const auto request = Booking("a");
  this->ledger.Sent(At(0), request);
  for (const char* worker : {"w-1", "w-2", "w-3"})
    this->ledger.Arrived(At(5), ArrivalOf(request, worker));
  BOOST_TEST(this->Has(Promise::kAttempts));
}

BOOST_AUTO_TEST_CASE(FindsANewCallAtAWorkerThatHasLeft) {
  this->ledger.WorkerLeaves(At(0), "w-1");
  const auto early = Booking("a");
  this->ledger.Sent(At(1900), early);
  this->ledger.Arrived(At(1950), ArrivalOf(early, "w-1"));
  BOOST_TEST(!this->Has(Promise::kDrain));
  const auto late = Booking("b");
  this->ledger.Sent(At(2000), late);
  this->ledger.Arrived(At(2050), ArrivalOf(late, "w-1"));
  BOOST_TEST(this->Has(Promise::kDrain));
}

BOOST_AUTO_TEST_CASE(AsksNoDrainOfAHostThatWasDisturbed) {
  this->ledger.WorkerLeaves(At(0), "w-1");
  this->ledger.Disturbances().Note(PromiseLedger::HostPart(kHost), At(100),
                                   At(200));
  const auto request = Booking("a");
  this->ledger.Sent(At(2500), request);
  this->ledger.Arrived(At(2550), ArrivalOf(request, "w-1"));
  BOOST_TEST(!this->Has(Promise::kDrain));
}

BOOST_AUTO_TEST_CASE(FindsAnOldConfigurationAfterItsBound) {
  this->ledger.ConfigurationSent(2, {{"book", "lorries"}});
  this->ledger.ConfigurationAcknowledged(At(0), 2);
  const auto early = Booking("a");
  this->ledger.Sent(At(1900), early);
  this->Run(1950, early, "w-1");
  BOOST_TEST(this->ledger.Violations().empty());
  const auto late = Booking("b");
  this->ledger.Sent(At(2000), late);
  this->Run(2050, late, "w-1");
  BOOST_TEST(this->Has(Promise::kInForce));
}

BOOST_AUTO_TEST_CASE(FindsAServiceThatNoConfigurationNames) {
  const auto request = Booking("a");
  this->ledger.Sent(At(0), request);
  this->Run(5, request, "w-1", "calendar");
  BOOST_TEST(this->Has(Promise::kRightService));
}

BOOST_AUTO_TEST_CASE(FindsAHostThatGoesBackInOneLife) {
  this->ledger.ConfigurationSent(2, {{"book", "lorries"}});
  const auto newer = Booking("a");
  this->ledger.Sent(At(0), newer);
  this->Run(5, newer, "w-1", "lorries");
  const auto older = Booking("b");
  this->ledger.Sent(At(300), older);
  this->Run(305, older, "w-2", "trucks");
  BOOST_TEST(this->Has(Promise::kNeverBack));
}

BOOST_AUTO_TEST_CASE(LetsANewLifeBeginWithAnOlderConfiguration) {
  this->ledger.ConfigurationSent(2, {{"book", "lorries"}});
  const auto newer = Booking("a");
  this->ledger.Sent(At(0), newer);
  this->Run(5, newer, "w-1", "lorries");
  this->ledger.HostStarted(kHost);
  const auto older = Booking("b");
  this->ledger.Sent(At(300), older);
  this->Run(305, older, "w-2", "trucks");
  BOOST_TEST(!this->Has(Promise::kNeverBack));
}

BOOST_AUTO_TEST_CASE(FindsARequestThatAPlannedStopCuts) {
  const auto request = Booking("a");
  this->ledger.Sent(At(0), request);
  this->ledger.StopAsked(At(100), kHost);
  this->ledger.Arrived(At(150), ArrivalOf(request, "w-1"));
  this->ledger.Closed(At(300), "a");
  BOOST_TEST(this->Has(Promise::kStopCutsNothing));
}

BOOST_AUTO_TEST_CASE(FindsAnswersThatAreLostWithoutCause) {
  for (int each = 0; each < 4; ++each) {
    const auto request = Booking("a" + std::to_string(each));
    this->ledger.Sent(At(0), request);
    this->Run(5, request, "w-1");
    this->ledger.Closed(At(20), request.id);
  }
  this->ledger.Finish(At(10'000));
  BOOST_TEST(this->Has(Promise::kNoLostAnswers));
}

BOOST_AUTO_TEST_CASE(FindsRepeatsBeyondTheBudget) {
  for (int each = 0; each < 100; ++each) {
    const auto request = Booking("a" + std::to_string(each));
    this->ledger.Sent(At(each), request);
    this->ledger.Arrived(At(each), ArrivalOf(request, "w-1"));
    this->ledger.Arrived(At(each), ArrivalOf(request, "w-2"));
  }
  this->ledger.Finish(At(10'000));
  BOOST_TEST(this->Has(Promise::kRetryBudget));
}

BOOST_AUTO_TEST_CASE(FindsMoreTimeThanIsLeft) {
  const auto request = Booking("a");
  this->ledger.Sent(At(0), request);
  this->ledger.Arrived(At(1600), ArrivalOf(request, "w-1"));
  BOOST_TEST(this->Has(Promise::kTimePassedOn));
}

BOOST_AUTO_TEST_CASE(FindsRequestsThatAreHeldPastTheirTime) {
  for (int each = 0; each < 8; ++each) {
    const auto request = Booking("a" + std::to_string(each));
    this->ledger.Sent(At(0), request);
    this->ledger.Closed(At(2100), request.id);
  }
  this->ledger.Finish(At(10'000));
  BOOST_TEST(this->Has(Promise::kAnsweredInTime));
}

BOOST_AUTO_TEST_CASE(FindsWorkThatGoesOnAfterItsCallersHaveLeft) {
  for (int each = 0; each < 4; ++each) {
    auto request = Booking("a" + std::to_string(each));
    request.is_idempotent = true;
    this->ledger.Sent(At(0), request);
    const auto arrival = ArrivalOf(request, "w-1");
    this->ledger.RunBegun(At(5), arrival, At(2000));
    this->ledger.Left(At(100), request.id);
    this->ledger.RunEnded(At(1900), request.id, "w-1");
  }
  this->ledger.Finish(At(10'000));
  BOOST_TEST(this->Has(Promise::kCancelled));
}

BOOST_AUTO_TEST_CASE(FindsACrashingCallThatGoesOn) {
  for (int each = 0; each < 8; ++each) {
    auto request = Booking("a" + std::to_string(each));
    request.target = "/book/poison";
    this->ledger.Sent(At(each * 1000), request);
    this->ledger.Arrived(At(each * 1000), ArrivalOf(request, "w-1"));
    this->ledger.WorkerCrashedBy(At(each * 1000), request.id);
  }
  this->ledger.Finish(At(10'000));
  BOOST_TEST(!this->Has(Promise::kCrashBound));
  for (int each = 8; each < 10; ++each) {
    auto request = Booking("a" + std::to_string(each));
    request.target = "/book/poison";
    this->ledger.Sent(At(each * 1000), request);
    this->ledger.Arrived(At(each * 1000), ArrivalOf(request, "w-1"));
  }
  this->ledger.Finish(At(10'000));
  BOOST_TEST(this->Has(Promise::kCrashBound));
}

BOOST_AUTO_TEST_CASE(FindsASystemThatDoesNotRecover) {
  this->ledger.Disturbances().Note(PromiseLedger::HostPart(kHost), At(0),
                                   At(1000));
  const auto request = Booking("a");
  this->ledger.Sent(At(6500), request);
  this->ledger.Answered(At(6600), "a", Refusal());
  this->ledger.Finish(At(10'000));
  BOOST_TEST(this->Has(Promise::kRecovers));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
