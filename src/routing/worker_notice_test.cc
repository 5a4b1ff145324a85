// What a router does when workers announce that they leave or ask for a pause.
#include <boost/test/unit_test.hpp>

#include "routing/fake_workers.h"

namespace burdockwheel::routing {

namespace {

using model::AttemptResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kLife = 7;

// Three workers, of which the first is the one in question.
class NoticeFixture {
 public:
  NoticeFixture() : workers(3) {
    for (auto& record : this->workers.records) record.incarnation = kLife;
    this->List();
    // Until their ramps are over.
    this->workers.Run(seconds(20));
    this->workers.blocked = 0;
  }

  void List() {
    this->workers.router.UpdateWorkers(this->workers.now,
                                       this->workers.records);
  }

  // Lists the workers without the first one for this long.
  void RemoveFor(std::chrono::nanoseconds time) {
    const std::vector<model::WorkerRecord> rest(
        this->workers.records.begin() + 1, this->workers.records.end());
    this->workers.router.UpdateWorkers(this->workers.now, rest);
    this->workers.Run(time);
    this->workers.router.UpdateWorkers(this->workers.now, rest);
  }

  void Notice(const model::WorkerNotice& notice, int worker = 0) {
    const model::AttemptId attempt{++this->last_attempt};
    const auto& address = this->workers.Address(worker);
    this->workers.router.AttemptStarted(this->workers.now, address, attempt);
    model::AttemptOutcome outcome;
    outcome.result = AttemptResult::kRefused;
    outcome.status = 503;
    outcome.notice = notice;
    this->workers.router.AttemptEnded(this->workers.now, address, attempt,
                                      outcome);
    for (int index = 0; index < 3; ++index) this->workers.TakeCalls(index);
  }

  FakeWorkers workers;
  std::uint64_t last_attempt = 1U << 20U;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerNoticeTest, NoticeFixture)

// The worker's record is still live when its answers say that it leaves, and
// its health may stay good.
BOOST_AUTO_TEST_CASE(NothingBringsBackALifeThatSaidItLeaves) {
  this->workers.Run(seconds(1));
  this->Notice({.is_leaving = true});
  for (int second = 0; second < 120; ++second) {
    this->List();
    this->workers.router.ObserveProbe(this->workers.now,
                                      this->workers.Address(0), {}, {});
    this->workers.Run(seconds(1));
  }
  BOOST_TEST(this->workers.TakeCalls(0) == 0);
  BOOST_TEST(this->workers.blocked == 0);
}

// Records lapse while the platform is down and are listed again after it.
BOOST_AUTO_TEST_CASE(ARecordThatReturnsDoesNotBringItBack) {
  this->Notice({.is_leaving = true});
  this->RemoveFor(seconds(20));
  this->List();
  this->workers.Run(seconds(30));
  BOOST_TEST(this->workers.TakeCalls(0) == 0);
}

BOOST_AUTO_TEST_CASE(ANewLifeTakesCalls) {
  this->Notice({.is_leaving = true});
  this->workers.Run(seconds(5));
  this->workers.records[0].incarnation = kLife + 1;
  this->List();
  this->workers.Run(seconds(30));
  BOOST_TEST(this->workers.TakeCalls(0) > 100);
}

BOOST_AUTO_TEST_CASE(APausedWorkerGetsNothingUntilItsTimeIsOver) {
  this->workers.Run(seconds(1));
  this->Notice({.pause = seconds(3)});
  std::vector<load::WatchedWorker> watched;
  this->workers.router.AppendWatched({"slots"}, watched);
  BOOST_TEST(watched.size() == 2U);
  BOOST_TEST(this->workers.router.NextWake().has_value());
  this->workers.Run(milliseconds(2990));
  BOOST_TEST(this->workers.TakeCalls(0) == 0);
  BOOST_TEST(this->workers.blocked == 0);
  // The refusal itself counts as a failure for some seconds more.
  this->workers.Run(seconds(10));
  BOOST_TEST(this->workers.TakeCalls(0) > 100);
}

BOOST_AUTO_TEST_CASE(AShorterPauseDoesNotEndALongerOne) {
  this->Notice({.pause = seconds(5)});
  this->Notice({.pause = milliseconds(100)});
  this->workers.Run(seconds(4));
  BOOST_TEST(this->workers.TakeCalls(0) == 0);
}

BOOST_AUTO_TEST_CASE(TellsWhenTheFirstOfAllPausedWorkersMayBeAskedAgain) {
  this->Notice({.pause = seconds(4)}, 0);
  this->Notice({.pause = seconds(2)}, 1);
  BOOST_TEST(!this->workers.router.AllPausedUntil().has_value());
  this->Notice({.is_leaving = true}, 2);
  const auto until = this->workers.router.AllPausedUntil();
  BOOST_REQUIRE(until.has_value());
  BOOST_TEST((*until == this->workers.now + seconds(2)));
  this->workers.Run(seconds(1));
  BOOST_TEST(this->workers.TakeCalls(0) + this->workers.TakeCalls(1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
