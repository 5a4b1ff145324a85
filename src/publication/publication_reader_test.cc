#include "publication/publication_reader.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "publication/fake_publication.h"

namespace burdockwheel::publication {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ReaderSettings SharedSettings() {
  ReaderSettings settings;
  settings.incarnation = {1};
  settings.failure_domain = {"fd-1"};
  settings.is_shared = true;
  return settings;
}

// A platform with items whose pages hold two, and a reader that is fed by it.
class ReaderFixture : public FakePublication {
 public:
  ReaderFixture() : FakePublication({0, 7}) {}

  void Feed(const ReaderEvent& event) {
    ReaderActions actions;
    this->reader.Handle(this->now, event, actions);
    for (const auto& action : actions)
      std::visit([this](const auto& concrete) { this->Do(concrete); }, action);
  }

  // Answers what the reader waits for, as far as there is an answer.
  void Answer() {
    if (this->wanted_page) {
      const std::string after = *std::exchange(this->wanted_page, std::nullopt);
      this->Feed(PageRead{this->PageAfter(after)});
      return;
    }
    if (!this->wanted_changes) return;
    const auto after = *this->wanted_changes;
    if (this->IsHistoryGone(after)) {
      this->wanted_changes.reset();
      this->Feed(ChangesRead{ReadFailure::kHistoryGone});
      return;
    }
    const auto batch = this->ChangesAfter(after);
    if (batch.changes.empty()) return;
    this->wanted_changes.reset();
    this->Feed(ChangesRead{batch});
  }

  void Fail(ReadFailure failure) {
    if (std::exchange(this->wanted_page, std::nullopt)) {
      this->Feed(PageRead{failure});
    } else if (std::exchange(this->wanted_changes, std::nullopt)) {
      this->Feed(ChangesRead{failure});
    }
  }

  // Starts the reader and waits until it watches, since no peer does.
  void RunUntilWatching() {
    this->Feed(TimerFired());
    this->Run(PublicationReader::kFirstPatience + seconds(1));
  }

  // Lets time pass; timers fire, and the platform answers if it `is_up`.
  void Run(milliseconds time, bool is_up = true) {
    for (const auto end = this->now + time; this->now < end;) {
      this->now += milliseconds(1);
      if (this->wake && *this->wake <= this->now) {
        this->wake.reset();
        this->Feed(TimerFired());
      }
      if (is_up) {
        this->Answer();
      } else {
        this->Fail(ReadFailure::kUnreachable);
      }
    }
  }

  // What the reader has told is what is published.
  void CheckComplete() const {
    BOOST_TEST(this->told.size() == this->items.size());
    for (const auto& [name, item_revision] : this->items) {
      BOOST_REQUIRE(this->told.contains(name));
      BOOST_TEST((this->told.at(name) == item_revision));
    }
  }

  ListPage PageAfter(const std::string& after) const {
    ListPage page;
    page.revision = this->revision;
    for (const auto& [name, item_revision] : this->items) {
      if (name <= after) continue;
      if (page.items.size() == 2) {
        page.has_more = true;
        break;
      }
      page.items.push_back({name, item_revision, {}});
      page.last_name = name;
    }
    return page;
  }

  kernel::Instant now{std::chrono::hours(1)};
  PublicationReader reader{SharedSettings()};
  std::map<std::string, StoreRevision> told;
  std::optional<std::string> wanted_page;
  std::optional<StoreRevision> wanted_changes;
  milliseconds wanted_wait{0};
  std::optional<kernel::Instant> wake;
  int reads = 0;
  int lost = 0;
  int regained = 0;
  int restored = 0;
  int resets = 0;

 private:
  void Do(const ReadPage& action) {
    ++this->reads;
    this->wanted_page = action.after;
  }
  void Do(const ReadChanges& action) {
    ++this->reads;
    this->wanted_changes = action.after_revision;
    this->wanted_wait = action.wait;
  }
  void Do(const ResetSource& /*action*/) {
    ++this->resets;
    this->wanted_page.reset();
    this->wanted_changes.reset();
  }
  void Do(const ItemChanged& action) {
    this->told[action.item.name] = action.item.revision;
  }
  void Do(const ItemGone& action) {
    BOOST_TEST(this->told.erase(action.name) == 1U);
  }
  void Do(const ListingComplete& /*action*/) {}
  void Do(const TellUpdate& /*action*/) {}
  void Do(const TellBeacon& /*action*/) {}
  void Do(const AnswerOverdue& /*action*/) {}
  void Do(const SourceLost& /*action*/) { ++this->lost; }
  void Do(const SourceRegained& /*action*/) { ++this->regained; }
  void Do(const SourceRestored& /*action*/) { ++this->restored; }
  void Do(const WakeAt& action) {
    BOOST_TEST((action.time > this->now));
    this->wake = action.time;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PublicationReaderTest, ReaderFixture)

BOOST_AUTO_TEST_CASE(ListsAllPagesAndThenFollowsChanges) {
  for (const char* name : {"a", "b", "c", "d", "e"}) this->Put(name);
  this->Feed(TimerFired());
  this->Run(seconds(1));
  this->CheckComplete();
  this->Put("c");
  this->Put("f");
  this->Remove("a");
  this->Run(seconds(1));
  this->CheckComplete();
}

// Pages are taken one after the other; what changes between them shows twice,
// once or in an order of its own.
BOOST_AUTO_TEST_CASE(IsCompleteThoughItemsChangeBetweenPages) {
  std::mt19937_64 random(1);
  for (int round = 0; round < 200; ++round) {
    ReaderFixture fixture;
    for (const char* name : {"a", "b", "c", "d", "e", "f"}) fixture.Put(name);
    fixture.Feed(TimerFired());
    for (int step = 0; step < 20; ++step) {
      const std::string name(1, static_cast<char>('a' + random() % 8));
      if (random() % 2 == 0) {
        fixture.Put(name);
      } else if (fixture.items.contains(name)) {
        fixture.Remove(name);
      }
      fixture.now += milliseconds(1);
      fixture.Answer();
    }
    fixture.Run(seconds(1));
    fixture.CheckComplete();
  }
}

BOOST_AUTO_TEST_CASE(ListsAgainWhenTheHistoryIsGone) {
  for (const char* name : {"a", "b", "c"}) this->Put(name);
  this->RunUntilWatching();
  this->Fail(ReadFailure::kUnreachable);
  this->Remove("b");
  this->Put("d");
  this->Compact();
  this->Run(seconds(2));
  this->CheckComplete();
  BOOST_TEST(this->lost == 1);
  BOOST_TEST(this->regained == 1);
}

// Several large configurations made the answer to each further watch
// unreadable, until their history was gone.
BOOST_AUTO_TEST_CASE(ListsAgainWhenThereAreMoreChangesThanOneAnswerHolds) {
  this->Put("a");
  this->RunUntilWatching();
  this->Put("b");
  this->Fail(ReadFailure::kTooLarge);
  BOOST_REQUIRE(this->wanted_page.has_value());
  this->Run(seconds(1));
  this->CheckComplete();
  BOOST_TEST(this->lost == 0);
}

BOOST_AUTO_TEST_CASE(BacksOffWhileThePlatformIsAway) {
  this->Put("a");
  this->RunUntilWatching();
  const int before = this->reads;
  this->Run(seconds(60), false);
  // About one read in 0.24 to 0.48 s.
  BOOST_TEST(this->reads - before >= 120);
  BOOST_TEST(this->reads - before <= 260);
  BOOST_TEST(this->lost == 1);
  this->Put("b");
  this->Run(seconds(2));
  BOOST_TEST(this->regained == 1);
  this->CheckComplete();
}

// A platform that turned this host away for a while is back; a long wait would
// hide that from a host whose last try hung.
BOOST_AUTO_TEST_CASE(AsksALostPlatformForAQuickAnswer) {
  this->Put("a");
  this->RunUntilWatching();
  BOOST_TEST(this->wanted_wait.count() > 1000);
  this->Fail(ReadFailure::kUnreachable);
  this->now = *this->wake;
  this->Feed(TimerFired());
  BOOST_REQUIRE(this->wanted_changes.has_value());
  BOOST_TEST(this->wanted_wait.count() == 0);
  this->wanted_changes.reset();
  ChangeBatch nothing;
  nothing.revision = this->revision;
  this->Feed(ChangesRead{nothing});
  BOOST_TEST(this->regained == 1);
  // Back to waiting, at once: what happened meanwhile must not wait.
  BOOST_REQUIRE(this->wanted_changes.has_value());
  BOOST_TEST(this->wanted_wait.count() > 1000);
}

BOOST_AUTO_TEST_CASE(ReadsChangesInQuickSuccessionTogether) {
  this->Feed(TimerFired());
  this->Run(milliseconds(50));
  const int before = this->reads;
  for (int change = 0; change < 100; ++change) {
    this->Put("item-" + std::to_string(change % 10));
    this->Run(milliseconds(20));
  }
  this->Run(seconds(1));
  BOOST_TEST(this->reads - before <= 8);
  this->CheckComplete();
}

// The answer to a watch may be lost, and nothing further comes on its
// connection.
BOOST_AUTO_TEST_CASE(AsksAgainForWhatAPeerHasSeen) {
  this->Put("a");
  this->RunUntilWatching();
  this->Put("b");
  const auto waiting = this->wanted_changes;
  BOOST_REQUIRE(waiting.has_value());
  this->Feed(BeaconHeard{{99}, {"fd-2"}, {this->revision}});
  this->now += milliseconds(100);
  BOOST_TEST(this->resets == 0);
  this->Run(seconds(1));
  BOOST_TEST(this->resets <= 1);
  this->CheckComplete();
}

// A peer's update was lost, and so were the first reads for it. Hosts whose
// peers read wait long after a failed read, but not for what they lack.
BOOST_AUTO_TEST_CASE(AsksSoonAgainForWhatItLacksWhilePeersRead) {
  this->Put("a");
  this->RunUntilWatching();
  PeersListed peers;
  for (std::uint64_t peer = 2; peer < 20; ++peer)
    peers.peers.push_back({{peer}, {"fd-1"}});
  this->Feed(peers);
  this->Put("b");
  for (int beacon = 0; beacon < 4; ++beacon) {
    this->Feed(BeaconHeard{{2}, {"fd-1"}, {this->revision}});
    this->Run(PublicationReader::kBeaconInterval, false);
  }
  BOOST_TEST(this->told.size() == 1U);
  this->Feed(BeaconHeard{{2}, {"fd-1"}, {this->revision}});
  this->Run(PublicationReader::kLongestBackOff);
  this->CheckComplete();
}

BOOST_AUTO_TEST_CASE(TrustsNoAnswerFromBeforeAPause) {
  this->Put("a");
  this->RunUntilWatching();
  this->Feed(PauseEnded());
  BOOST_TEST(this->resets == 1);
  this->Put("b");
  this->Run(seconds(1));
  this->CheckComplete();
}

// The platform has lost what it acknowledged and gives revisions out again: by
// its own revisions the copy would look older, and a change under a revision
// that is known already would be missed.
BOOST_AUTO_TEST_CASE(ListsAgainWhenThePlatformIsRestoredFromAnOlderCopy) {
  this->Put("a");
  this->Put("b");
  this->RunUntilWatching();
  const auto copied = this->revision.number;
  this->Put("c");
  this->Put("d");
  this->Run(seconds(2));
  this->CheckComplete();
  this->RestoreFromCopyOf(copied);
  this->Run(seconds(3));
  this->CheckComplete();
  BOOST_TEST(this->restored == 1);
  // Past the revisions that were known before.
  for (const std::string name : {"c", "e", "f", "g"}) this->Put(name);
  this->Run(seconds(2));
  this->CheckComplete();
  BOOST_TEST(this->restored == 1);
}

BOOST_AUTO_TEST_CASE(ListsAnewIfThePlatformIsRestoredBetweenTwoPages) {
  for (const std::string name : {"a", "b", "c", "d", "e"}) this->Put(name);
  this->Feed(TimerFired());
  this->Answer();
  this->RestoreFromCopyOf(this->revision.number - 2);
  this->Run(seconds(3));
  this->CheckComplete();
}

// A peer that has not noticed yet tells of what was known before.
BOOST_AUTO_TEST_CASE(TakesNothingOfAnEraThatIsOver) {
  this->Put("a");
  this->RunUntilWatching();
  const auto before = this->revision;
  this->RestoreFromCopyOf(before.number);
  this->Run(seconds(3));
  this->CheckComplete();
  const StoreRevision later(before.era, before.number + 5);
  this->Feed(UpdateHeard{{before, later, {PublishedItem{"z", later, {}}}}});
  this->CheckComplete();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::publication
