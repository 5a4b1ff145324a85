#include "publication/worker_directory.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::publication {

namespace {

using model::WorkerState;
using std::chrono::milliseconds;
using std::chrono::seconds;

class DirectoryFixture {
 public:
  void Observe(std::uint64_t incarnation, std::uint64_t sequence,
               WorkerState state = WorkerState::kLive) {
    PublishedWorker worker;
    worker.record.id = {"w-1"};
    worker.record.incarnation = incarnation;
    worker.record.address = {"127.0.0.1:9001"};
    worker.record.service = {"slots"};
    worker.record.state = state;
    worker.sequence = sequence;
    this->directory.Observe({"servers/w-1", this->NextRevision(), worker});
  }

  void Remove() {
    this->directory.ObserveGone(this->now, "servers/w-1", this->NextRevision());
  }

  void Pass(milliseconds time) {
    this->now += time;
    this->directory.Advance(this->now);
  }

  // "live", "doubtful", "leaving" or "gone".
  std::string State() const {
    const auto records = this->directory.Records();
    if (records.empty()) return "gone";
    if (records.front().is_doubtful) return "doubtful";
    return records.front().state == WorkerState::kLive ? "live" : "leaving";
  }

  kernel::Instant now{std::chrono::hours(1)};
  StoreRevision NextRevision() { return {0, ++this->last_number}; }

  std::uint64_t last_number = 10;
  WorkerDirectory directory;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerDirectoryTest, DirectoryFixture)

BOOST_AUTO_TEST_CASE(ADrainHoldsAgainstLateRecordsOfTheSameLife) {
  this->Observe(1, 5);
  this->Observe(1, 7, WorkerState::kLeaving);
  BOOST_TEST(this->State() == "leaving");
  // A heartbeat from before the drain arrives late, and one from after it that
  // says ready again.
  this->Observe(1, 6);
  BOOST_TEST(this->State() == "leaving");
  this->Observe(1, 8);
  BOOST_TEST(this->State() == "leaving");
  this->Observe(2, 1);
  BOOST_TEST(this->State() == "live");
}

BOOST_AUTO_TEST_CASE(AnEndedLifeDoesNotComeBackByALateRecord) {
  this->Observe(1, 5);
  this->Remove();
  BOOST_TEST(this->State() == "gone");
  this->Observe(1, 5);
  BOOST_TEST(this->State() == "gone");
  this->Observe(1, 4);
  BOOST_TEST(this->State() == "gone");
  this->Observe(1, 6);
  BOOST_TEST(this->State() == "live");
}

BOOST_AUTO_TEST_CASE(ARecordOfAnEarlierLifeIsPassedOver) {
  this->Observe(7, 1);
  this->Observe(6, 900, WorkerState::kLeaving);
  BOOST_TEST(this->State() == "live");
}

BOOST_AUTO_TEST_CASE(ARemovalCountsAtOnceWhileThePlatformIsSound) {
  this->Observe(1, 5);
  this->Remove();
  BOOST_TEST(this->State() == "gone");
}

// Leases run out while the platform is away; they are back soon after, or the
// worker is gone.
BOOST_AUTO_TEST_CASE(ALapsedRecordIsKeptUntilThePlatformIsSoundAgain) {
  this->Observe(1, 5);
  this->directory.NoteSourceLost();
  this->Pass(seconds(60));
  this->directory.NoteSourceRegained(this->now);
  this->Remove();
  BOOST_TEST(this->State() == "doubtful");
  BOOST_REQUIRE(this->directory.NextWake().has_value());
  this->Pass(WorkerDirectory::kLapseGrace - milliseconds(1));
  BOOST_TEST(this->State() == "doubtful");
  this->Pass(milliseconds(1));
  BOOST_TEST(this->State() == "gone");
}

BOOST_AUTO_TEST_CASE(ALapsedRecordThatIsBackStays) {
  this->Observe(1, 5);
  this->directory.NoteSourceLost();
  this->Pass(seconds(5));
  this->directory.NoteSourceRegained(this->now);
  this->Remove();
  this->Pass(seconds(1));
  this->Observe(1, 6);
  this->Pass(seconds(10));
  BOOST_TEST(this->State() == "live");
}

BOOST_AUTO_TEST_CASE(ADrainingWorkerIsNotKeptByALapse) {
  this->Observe(1, 5, WorkerState::kLeaving);
  this->directory.NoteSourceLost();
  this->Remove();
  BOOST_TEST(this->State() == "gone");
}

BOOST_AUTO_TEST_CASE(AnUnreadableItemChangesNothing) {
  this->Observe(1, 5);
  this->directory.Observe(
      {"servers/w-1", this->NextRevision(), UnreadableItem{"not-json"}});
  this->directory.Observe(
      {"servers/forged", this->NextRevision(), UnreadableItem{"not-json"}});
  BOOST_TEST(this->State() == "live");
  BOOST_TEST(this->directory.Records().size() == 1U);
}

BOOST_AUTO_TEST_CASE(TellsEachChangeOnce) {
  this->Observe(1, 5);
  this->Observe(1, 6);  // nothing but its sequence is new
  this->Observe(1, 7, WorkerState::kLeaving);
  this->Remove();
  const auto changes = this->directory.TakeChanges();
  BOOST_REQUIRE_EQUAL(changes.size(), 3U);
  BOOST_TEST((changes[0].cause == DirectoryCause::kListed));
  BOOST_TEST((changes[1].cause == DirectoryCause::kDrainListed));
  BOOST_TEST((changes[2].cause == DirectoryCause::kRemoved));
  BOOST_TEST(this->directory.TakeChanges().empty());
}

// An evacuation is no word on the worker: its life, drain and gaps in its
// record are judged as ever.
BOOST_AUTO_TEST_CASE(RecordsTellOfTheEvacuationOfTheirDomain) {
  const model::FailureDomain domain{};
  this->Observe(1, 5);
  BOOST_TEST(!this->directory.Records().front().is_evacuated);
  this->directory.SetEvacuated({domain});
  this->Observe(1, 6);
  BOOST_TEST(this->directory.Records().front().is_evacuated);
  this->directory.NoteSourceLost();
  this->Remove();
  BOOST_TEST(this->State() == "doubtful");
  BOOST_TEST(this->directory.Records().front().is_evacuated);
  this->directory.SetEvacuated({});
  BOOST_TEST(!this->directory.Records().front().is_evacuated);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::publication
