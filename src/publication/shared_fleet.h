// Hosts that read one fake platform for one another, for tests.
#pragma once

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "publication/fake_publication.h"
#include "publication/publication_reader.h"
#include "publication/publication_update.h"

namespace burdockwheel::publication {

// The platform answers after kWay; messages between hosts take as long, go
// through their codec, and may be lost or cut. Where the hosts' links have a
// rate, what is sent waits for what was sent before it.
class SharedFleet : public FakePublication {
 public:
  // To the platform and between hosts.
  static constexpr std::chrono::milliseconds kWay{3};

  struct Host {
    std::unique_ptr<PublicationReader> reader;
    std::string domain;
    std::map<std::string, StoreRevision> told;
    std::optional<kernel::Instant> wake;
    bool is_alive = false;
    bool is_cut_from_platform = false;  // calls hang
    bool is_turned_away = false;        // calls fail at once
    bool is_cut_from_peers = false;
    int reads = 0;
    int lost = 0;
    int restored = 0;  // how often it noticed that the platform was restored
    std::uint64_t generation = 0;  // of the read under way
    kernel::Instant sends_until;
    kernel::Instant receives_until;
  };

  // Hosts that do not know their peers at the start learn of them by TellPeers.
  SharedFleet(int count, int domains, bool are_peers_known = true)
      : FakePublication({0, 100}), are_peers_known(are_peers_known) {
    for (int index = 0; index < count; ++index) {
      Host host;
      host.domain = "fd-" + std::to_string(index % domains);
      this->hosts.push_back(std::move(host));
    }
    for (std::size_t index = 0; index < this->hosts.size(); ++index)
      this->StartHost(index);
  }

  void StartHost(std::size_t index) {
    auto& host = this->hosts[index];
    ReaderSettings settings;
    settings.incarnation = {1000 + ++this->last_incarnation};
    settings.failure_domain = {host.domain};
    settings.is_shared = true;
    settings.random_seed = this->last_incarnation;
    host.reader = std::make_unique<PublicationReader>(settings);
    host.told.clear();
    host.is_alive = true;
    this->incarnations[index] = settings.incarnation;
    this->Feed(index, TimerFired());
    if (this->are_peers_known) this->TellPeers();
  }

  void KillHost(std::size_t index) { this->hosts[index].is_alive = false; }

  // The membership has noticed who is alive.
  void TellPeers() {
    for (std::size_t self = 0; self < this->hosts.size(); ++self) {
      if (!this->hosts[self].is_alive) continue;
      PeersListed peers;
      for (std::size_t other = 0; other < this->hosts.size(); ++other) {
        if (other == self || !this->hosts[other].is_alive) continue;
        peers.peers.push_back(
            {this->incarnations[other], {this->hosts[other].domain}});
      }
      this->Feed(self, peers);
    }
  }

  void Run(std::chrono::milliseconds time) {
    for (const auto end = this->now + time; this->now < end;) {
      this->now += std::chrono::milliseconds(1);
      while (!this->due.empty() && this->due.begin()->first <= this->now) {
        const auto function = std::move(this->due.begin()->second);
        this->due.erase(this->due.begin());
        function();
      }
      for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        auto& host = this->hosts[index];
        if (!host.is_alive || !host.wake || *host.wake > this->now) continue;
        host.wake.reset();
        this->Feed(index, TimerFired());
      }
      this->AnswerWatches();
    }
  }

  // How long until each host that `counts` holds what is published.
  std::chrono::milliseconds TimeToAgree(
      const std::function<bool(const Host&)>& counts,
      std::chrono::milliseconds most) {
    const auto begin = this->now;
    while (this->now - begin < most) {
      bool is_agreed = true;
      for (const auto& host : this->hosts) {
        if (!host.is_alive || !counts(host)) continue;
        if (host.told != this->items) is_agreed = false;
      }
      if (is_agreed) break;
      this->Run(std::chrono::milliseconds(1));
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->now -
                                                                 begin);
  }

  int Reads() const {
    int sum = 0;
    for (const auto& host : this->hosts) sum += host.reads;
    return sum;
  }

  void ForgetReads() {
    for (auto& host : this->hosts) host.reads = 0;
  }

  // How many hosts of its domain read before this one.
  std::size_t RankOf(std::size_t index) const {
    ReaderOrder order(this->incarnations.at(index),
                      {this->hosts[index].domain});
    std::vector<ReadingPeer> peers;
    for (std::size_t other = 0; other < this->hosts.size(); ++other) {
      if (other == index || !this->hosts[other].is_alive) continue;
      peers.push_back(
          {this->incarnations.at(other), {this->hosts[other].domain}});
    }
    order.SetPeers(peers);
    return order.Rank();
  }

  // The host that read most of a domain.
  std::size_t ReaderOf(const std::string& domain) const {
    std::size_t most = 0;
    int reads = -1;
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
      const auto& host = this->hosts[index];
      if (!host.is_alive || host.domain != domain || host.reads <= reads)
        continue;
      reads = host.reads;
      most = index;
    }
    return most;
  }

  kernel::Instant now{std::chrono::hours(1)};
  bool is_losing_answers = false;    // a third of those of watches
  double loss = 0;                   // of messages between hosts
  std::size_t bytes_per_second = 0;  // each way of a host's link; 0: no limit
  std::size_t updates = 0;           // sent, by receivers
  std::size_t overdue = 0;           // times a host missed answers
  std::vector<Host> hosts;

 private:
  struct Watch {
    std::size_t host = 0;
    std::uint64_t generation = 0;
    StoreRevision after;
    kernel::Instant until;
  };

  void Feed(std::size_t index, const ReaderEvent& event) {
    ReaderActions actions;
    this->hosts[index].reader->Handle(this->now, event, actions);
    for (const auto& action : actions) {
      std::visit(
          [this, index](const auto& concrete) { this->Do(index, concrete); },
          action);
    }
  }

  void Later(std::chrono::milliseconds delay, std::function<void()> function) {
    this->due.emplace(this->now + delay, std::move(function));
  }

  // How long `bytes` take on one way of a link.
  std::chrono::milliseconds TimeOnLink(kernel::Instant& busy_until,
                                       std::size_t bytes) const {
    if (this->bytes_per_second == 0 || bytes == 0)
      return std::chrono::milliseconds(0);
    busy_until =
        std::max(busy_until, this->now) +
        std::chrono::milliseconds(1000 * bytes / this->bytes_per_second);
    return std::chrono::duration_cast<std::chrono::milliseconds>(busy_until -
                                                                 this->now);
  }

  static std::size_t AnswerBytes(const ChangeBatch& batch) {
    std::size_t bytes = 0;
    for (const auto& change : batch.changes) {
      const auto* item = std::get_if<PublishedItem>(&change);
      if (item == nullptr) continue;
      const auto* configuration =
          std::get_if<PublishedConfiguration>(&item->content);
      // As base64.
      if (configuration != nullptr)
        bytes += configuration->document.size() * 4 / 3;
    }
    return bytes;
  }

  // A call that cannot leave in time is given up.
  bool IsLinkFull(const Host& host) const {
    return host.sends_until > this->now + std::chrono::milliseconds(300);
  }

  void Do(std::size_t index, const ReadPage& /*action*/) {
    const auto generation = this->BeginRead(index);
    if (this->hosts[index].is_cut_from_platform) {
      this->HangUntil(index, generation, std::chrono::milliseconds(800), true);
      return;
    }
    if (this->hosts[index].is_turned_away) {
      this->HangUntil(index, generation, 2 * kWay, true);
      return;
    }
    this->Later(2 * kWay, [this, index, generation] {
      ListPage page;
      page.revision = this->revision;
      for (const auto& [name, item_revision] : this->items)
        page.items.push_back({name, item_revision, {}});
      this->Answer(index, generation, PageRead{page});
    });
  }

  void Do(std::size_t index, const ReadChanges& action) {
    const auto generation = this->BeginRead(index);
    const bool is_lost = this->is_losing_answers && this->random() % 3 == 0;
    if (this->hosts[index].is_cut_from_platform || is_lost) {
      this->HangUntil(index, generation,
                      action.wait + std::chrono::milliseconds(800), false);
      return;
    }
    if (this->hosts[index].is_turned_away) {
      this->HangUntil(index, generation, 2 * kWay, false);
      return;
    }
    if (this->IsLinkFull(this->hosts[index])) {
      this->HangUntil(index, generation, std::chrono::milliseconds(300), false);
      return;
    }
    this->watches.push_back({index, generation, action.after_revision,
                             this->now + kWay + action.wait});
  }

  std::uint64_t BeginRead(std::size_t index) {
    this->hosts[index].reads += 1;
    return ++this->hosts[index].generation;
  }

  void HangUntil(std::size_t index, std::uint64_t generation,
                 std::chrono::milliseconds time, bool is_page) {
    this->Later(time, [this, index, generation, is_page] {
      if (is_page) {
        this->Answer(index, generation, PageRead{ReadFailure::kUnreachable});
      } else {
        this->Answer(index, generation, ChangesRead{ReadFailure::kUnreachable});
      }
    });
  }

  void Answer(std::size_t index, std::uint64_t generation,
              const ReaderEvent& event) {
    auto& host = this->hosts[index];
    if (!host.is_alive || host.generation != generation) return;
    this->Feed(index, event);
  }

  void AnswerWatches() {
    const auto waiting = std::exchange(this->watches, {});
    for (const auto& watch : waiting) {
      if (this->hosts[watch.host].generation != watch.generation) continue;
      // A cut silences a watch that waits.
      if (this->hosts[watch.host].is_cut_from_platform) {
        this->HangUntil(watch.host, watch.generation,
                        std::chrono::milliseconds(2800), false);
        continue;
      }
      const bool is_gone = this->IsHistoryGone(watch.after);
      if (this->revision <= watch.after && this->now < watch.until &&
          !is_gone) {
        this->watches.push_back(watch);
        continue;
      }
      const auto batch = this->ChangesAfter(watch.after);
      const auto time = this->TimeOnLink(this->hosts[watch.host].receives_until,
                                         AnswerBytes(batch));
      if (AnswerBytes(batch) > PublicationSource::kLargeAnswerBytes) {
        const auto begun =
            time * PublicationSource::kLargeAnswerBytes / AnswerBytes(batch);
        this->Later(
            kWay + std::chrono::duration_cast<std::chrono::milliseconds>(begun),
            [this, watch] {
              this->Answer(watch.host, watch.generation, LargeAnswerBegun());
            });
      }
      this->Later(kWay + time, [this, watch, batch, is_gone] {
        if (is_gone) {
          this->Answer(watch.host, watch.generation,
                       ChangesRead{ReadFailure::kHistoryGone});
          return;
        }
        this->Answer(watch.host, watch.generation, ChangesRead{batch});
      });
    }
  }

  void Send(std::size_t from, bool is_wide, std::size_t bytes,
            const std::function<void(std::size_t)>& deliver) {
    for (std::size_t to = 0; to < this->hosts.size(); ++to) {
      const bool is_near = this->hosts[to].domain == this->hosts[from].domain;
      if (to == from || !(is_near || is_wide)) continue;
      if (this->hosts[from].is_cut_from_peers ||
          this->hosts[to].is_cut_from_peers)
        continue;
      if (std::uniform_real_distribution<>(0, 1)(this->random) < this->loss)
        continue;
      const auto sent = this->TimeOnLink(this->hosts[from].sends_until, bytes);
      this->Later(kWay + sent, [this, to, bytes, deliver] {
        const auto received =
            this->TimeOnLink(this->hosts[to].receives_until, bytes);
        this->Later(received, [this, to, deliver] {
          if (this->hosts[to].is_alive) deliver(to);
        });
      });
    }
  }

  void Do(std::size_t index, const TellUpdate& action) {
    const auto body = EncodeUpdate(action.update);
    if (!IsWorthTelling(body.size(), this->hosts[index].reader->NearPeers())) {
      const auto beacon =
          this->hosts[index].reader->MakeBeacon(this->now, action.update.to);
      this->Do(index, TellBeacon{beacon, false});
      return;
    }
    this->Send(index, false, body.size(), [this, body](std::size_t to) {
      this->updates += 1;
      const auto update = TryDecodeUpdate(body);
      BOOST_REQUIRE(update.has_value());
      this->Feed(to, UpdateHeard{*update});
    });
  }

  void Do(std::size_t index, const TellBeacon& action) {
    const auto sender = this->incarnations[index];
    const auto domain = this->hosts[index].domain;
    // Beacons are datagrams, which need not wait for streams.
    this->Send(
        index, action.is_wide, 0,
        [this, sender, domain,
         body = EncodeBeacon(action.beacon)](std::size_t to) {
          this->Feed(to, BeaconHeard{sender, {domain}, *TryDecodeBeacon(body)});
        });
  }

  void Do(std::size_t index, const ItemChanged& action) {
    this->hosts[index].told[action.item.name] = action.item.revision;
  }
  void Do(std::size_t index, const ItemGone& action) {
    BOOST_TEST(this->hosts[index].told.erase(action.name) == 1U);
  }
  void Do(std::size_t index, const ResetSource& /*action*/) {
    ++this->hosts[index].generation;
  }
  void Do(std::size_t /*index*/, const ListingComplete& /*action*/) {}
  void Do(std::size_t /*index*/, const AnswerOverdue& /*action*/) {
    this->overdue += 1;
  }
  void Do(std::size_t index, const SourceLost& /*action*/) {
    this->hosts[index].lost += 1;
  }
  void Do(std::size_t /*index*/, const SourceRegained& /*action*/) {}
  void Do(std::size_t index, const SourceRestored& /*action*/) {
    this->hosts[index].restored += 1;
  }
  void Do(std::size_t index, const WakeAt& action) {
    BOOST_TEST((action.time > this->now));
    this->hosts[index].wake = action.time;
  }

  bool are_peers_known = true;
  std::uint64_t last_incarnation = 0;
  std::map<std::size_t, model::Incarnation> incarnations;
  std::multimap<kernel::Instant, std::function<void()>> due;
  std::vector<Watch> watches;
  std::mt19937_64 random{3};
};

}  // namespace burdockwheel::publication
