#include "engine/crash_guard.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::engine {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr kernel::Instant kStart{std::chrono::hours(1)};
constexpr std::uint64_t kFingerprint = 42;

struct GuardFixture {
  GuardFixture() : guard(1) {}

  void Break(milliseconds at, const std::string& worker,
             std::uint64_t fingerprint = kFingerprint) {
    this->guard.RecordBrokenAttempt(kStart + at, fingerprint, {"s"}, {worker});
  }

  void Report(milliseconds at, const std::string& worker, int crashes = 1) {
    this->guard.RecordPeerReport(kStart + at,
                                 {kFingerprint, {"s"}, {worker}, crashes});
  }

  bool IsHeld(milliseconds at) {
    return this->guard.IsHeld(kStart + at, kFingerprint);
  }

  CrashGuard guard;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CrashGuardTest, GuardFixture)

BOOST_AUTO_TEST_CASE(HoldsAfterTwoCrashesSeenByAnyHosts) {
  this->Break(milliseconds(0), "w1");
  BOOST_TEST(!this->IsHeld(milliseconds(1)));
  BOOST_TEST(this->guard.IsSuspected(kStart + milliseconds(1), kFingerprint));
  this->Report(milliseconds(2), "w2");
  BOOST_TEST(this->IsHeld(milliseconds(3)));
}

BOOST_AUTO_TEST_CASE(CountsARepeatedlyReportedCrashOnce) {
  this->Break(milliseconds(0), "w1");
  this->Break(milliseconds(5), "w1");
  for (int repeat = 0; repeat < 5; ++repeat)
    this->Report(milliseconds(10 + repeat), "w1");
  BOOST_TEST(!this->IsHeld(milliseconds(20)));
}

BOOST_AUTO_TEST_CASE(CountsASecondCrashOfTheSameWorker) {
  this->Break(milliseconds(0), "w1");
  this->Break(milliseconds(3000), "w1");
  BOOST_TEST(this->IsHeld(milliseconds(3001)));
}

BOOST_AUTO_TEST_CASE(ReleasesAnExpiredHoldAndDoublesTheNextOne) {
  this->Break(milliseconds(0), "w1");
  this->Break(milliseconds(1), "w2");
  BOOST_TEST(this->IsHeld(seconds(29)));
  BOOST_TEST(!this->IsHeld(seconds(61)));
  this->Break(seconds(62), "w3");
  BOOST_TEST(this->IsHeld(seconds(62 + 59)));
  BOOST_TEST(!this->IsHeld(seconds(62 + 121)));
}

BOOST_AUTO_TEST_CASE(ACompleteAnswerReleasesTheCall) {
  this->Break(milliseconds(0), "w1");
  this->Break(milliseconds(1), "w2");
  this->guard.RecordAnsweredAttempt(kStart + milliseconds(2), kFingerprint,
                                    {"w3"}, kStart);
  BOOST_TEST(!this->IsHeld(milliseconds(3)));
  this->Report(milliseconds(4), "w1");
  BOOST_TEST(!this->IsHeld(milliseconds(5)));
}

BOOST_AUTO_TEST_CASE(ACompleteAnswerOnAPeerReleasesTheCall) {
  this->Break(milliseconds(0), "w1");
  this->Report(milliseconds(1), "w2");
  this->Report(milliseconds(2), std::string(kAnsweredWorkerPlaceholder), 2);
  BOOST_TEST(!this->IsHeld(milliseconds(3)));
}

BOOST_AUTO_TEST_CASE(AcceptsAnAnswerReportBeforeTheCrashReports) {
  this->Report(milliseconds(0), std::string(kAnsweredWorkerPlaceholder), 2);
  this->Report(milliseconds(1), "w1");
  this->Report(milliseconds(2), "w2");
  BOOST_TEST(!this->IsHeld(milliseconds(3)));
  this->Report(milliseconds(4), "w3");
  BOOST_TEST(!this->IsHeld(milliseconds(5)));
  this->Report(milliseconds(6), "w4");
  BOOST_TEST(this->IsHeld(milliseconds(7)));
}

BOOST_AUTO_TEST_CASE(ReportsTheAnswerToPeers) {
  this->Break(milliseconds(0), "w1");
  this->guard.RecordAnsweredAttempt(kStart + milliseconds(2), kFingerprint,
                                    {"w3"}, kStart);
  Actions actions;
  this->guard.TakeActions(kStart + milliseconds(2), actions);
  BOOST_REQUIRE(actions.size() == 1U);
  const auto& share = std::get<ShareCrashSuspicion>(actions[0]);
  BOOST_TEST(share.worker.value == kAnsweredWorkerPlaceholder);
  BOOST_TEST(share.crashes == 1);
}

BOOST_AUTO_TEST_CASE(HoldsARecentlyAnsweredCallForAtMostTwoSeconds) {
  this->guard.RecordAnsweredAttempt(kStart, kFingerprint, {"w3"}, kStart);
  this->Break(milliseconds(10), "w1");
  this->Break(milliseconds(11), "w2");
  BOOST_TEST(this->IsHeld(milliseconds(900)));
  BOOST_TEST(!this->IsHeld(milliseconds(2100)));
}

BOOST_AUTO_TEST_CASE(DiscountsABrokenConnectionToALiveWorker) {
  this->Break(milliseconds(10), "w1");
  this->guard.RecordAnsweredAttempt(kStart + milliseconds(100), 7, {"w1"},
                                    kStart);
  BOOST_TEST(
      !this->guard.IsSuspected(kStart + milliseconds(101), kFingerprint));
}

BOOST_AUTO_TEST_CASE(RepeatsEachReportThreeTimes) {
  this->Break(milliseconds(0), "w1");
  int shares = 0;
  for (int step = 0; step < 100; ++step) {
    Actions actions;
    this->guard.TakeActions(kStart + milliseconds(10 * step), actions);
    shares += static_cast<int>(actions.size());
  }
  BOOST_TEST(shares == 4);
  BOOST_TEST(!this->guard.NextWake().has_value());
}

BOOST_AUTO_TEST_CASE(BoundsReportsAndMemoryWhenAFailureDomainFails) {
  for (std::uint64_t call = 0; call < 5000; ++call)
    this->Break(milliseconds(1), "w" + std::to_string(call % 40), call);
  Actions actions;
  this->guard.TakeActions(kStart + milliseconds(2), actions);
  BOOST_TEST(actions.size() <= 64U);
  BOOST_TEST(this->guard.SuspicionCount() <= CrashGuard::kMaxSuspicions);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
