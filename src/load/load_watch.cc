#include "load/load_watch.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace burdockwheel::load {

namespace {

// Rendezvous hashing: how a host, by its seed, weighs a name.
std::uint64_t WeightOf(const std::string& name, std::uint64_t seed) {
  return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

kernel::Instant::duration Scaled(std::chrono::milliseconds interval,
                                 double factor) {
  return std::chrono::duration_cast<kernel::Instant::duration>(interval *
                                                               factor);
}

}  // namespace

LoadWatch::LoadWatch(const LoadWatchSettings& settings) : settings(settings) {}

void LoadWatch::SetPeers(const std::vector<WatchingPeer>& peers) {
  this->neighbours.clear();
  this->peers_by_domain.clear();
  for (const auto& peer : peers) {
    this->peers_by_domain[peer.failure_domain] += 1;
    if (peer.failure_domain == this->settings.failure_domain)
      this->neighbours.push_back(peer.incarnation);
  }
  this->RankGroups();
}

void LoadWatch::NoteKnown(kernel::Instant now,
                          const std::vector<WatchedWorker>& workers) {
  for (const auto& worker : workers)
    this->known_since.try_emplace(worker.id, now);
  if (this->known_since.size() == workers.size()) return;
  std::unordered_set<model::WorkerId> present;
  for (const auto& worker : workers) present.insert(worker.id);
  std::erase_if(this->known_since, [&present](const auto& entry) {
    return !present.contains(entry.first);
  });
}

void LoadWatch::SetGroups(const std::vector<WatchedWorker>& workers) {
  const auto count = static_cast<std::size_t>(std::ranges::count(
      workers, this->settings.failure_domain, &WatchedWorker::failure_domain));
  const auto groups =
      std::max<std::size_t>(1, (count + kWorkersOfGroup - 1) / kWorkersOfGroup);
  if (groups == this->ranks.size()) return;
  this->ranks.assign(groups, 0);
  this->RankGroups();
}

void LoadWatch::RankGroups() {
  const auto& domain = this->settings.failure_domain.value;
  for (std::size_t group = 0; group < this->ranks.size(); ++group) {
    const auto own = WeightOf(domain, this->settings.incarnation.value + group);
    this->ranks[group] = static_cast<std::size_t>(std::ranges::count_if(
        this->neighbours, [&domain, group, own](model::Incarnation neighbour) {
          return WeightOf(domain, neighbour.value + group) > own;
        }));
  }
}

std::vector<WantedProbe> LoadWatch::TakeProbes(
    kernel::Instant now, const std::vector<WatchedWorker>& workers) {
  this->probe_at.reset();
  if (!this->IsEnabled()) return {};
  if (!this->joined_at) this->joined_at = now + this->settings.join_time;
  if (now < *this->joined_at) {
    this->probe_at = this->joined_at;
    if (!this->has_call) return {};
    return this->TakeEarlyProbes(now, workers);
  }
  this->SetGroups(workers);
  this->NoteKnown(now, workers);
  // Workers that are due soon go along, so that rounds stay together.
  const auto soon = now + Scaled(this->settings.interval, 0.25);
  bool is_any_due = false;
  std::vector<const WatchedWorker*> due;
  for (const auto& worker : workers) {
    const auto due_at = this->DueAt(worker);
    if (due_at <= now) is_any_due = true;
    if (due_at <= soon) {
      due.push_back(&worker);
      continue;
    }
    this->probe_at = std::min(this->probe_at.value_or(due_at), due_at);
  }
  if (!is_any_due) {
    for (const auto* worker : due) {
      const auto due_at = this->DueAt(*worker);
      this->probe_at = std::min(this->probe_at.value_or(due_at), due_at);
    }
    return {};
  }
  return this->Send(now, due);
}

std::vector<WantedProbe> LoadWatch::Send(
    kernel::Instant now, const std::vector<const WatchedWorker*>& due) {
  std::vector<WantedProbe> wanted;
  for (const auto* worker : due) {
    this->outstanding[worker->id] = now;
    wanted.push_back({worker->id, worker->service});
  }
  this->share_at = now + kCollectTime;
  const auto next_round = now + this->settings.interval;
  this->probe_at = std::min(this->probe_at.value_or(next_round), next_round);
  return wanted;
}

std::vector<WantedProbe> LoadWatch::TakeEarlyProbes(
    kernel::Instant now, const std::vector<WatchedWorker>& workers) {
  std::vector<const WatchedWorker*> due;
  for (const auto* worker : this->EarlyWorkers(workers)) {
    auto due_at = now;
    if (worker->measured_at)
      due_at = *worker->measured_at + this->settings.interval;
    due_at = std::max(due_at, this->BlockedUntil(*worker).value_or(due_at));
    if (due_at <= now) {
      due.push_back(worker);
      continue;
    }
    this->probe_at = std::min(*this->probe_at, due_at);
  }
  if (due.empty()) return {};
  return this->Send(now, due);
}

std::vector<const WatchedWorker*> LoadWatch::EarlyWorkers(
    const std::vector<WatchedWorker>& workers) const {
  const auto& own = this->settings.failure_domain;
  const bool has_local =
      std::ranges::count(workers, own, &WatchedWorker::failure_domain) > 0;
  std::unordered_map<model::ServiceName, std::vector<const WatchedWorker*>>
      by_service;
  for (const auto& worker : workers) {
    if (has_local && worker.failure_domain != own) continue;
    by_service[worker.service].push_back(&worker);
  }
  const auto weight = [this](const WatchedWorker* worker) {
    return WeightOf(worker->id.value, this->settings.incarnation.value);
  };
  std::vector<const WatchedWorker*> early;
  for (auto& [service, candidates] : by_service) {
    std::ranges::sort(candidates, {}, weight);
    if (candidates.size() > kWorkersBeforeJoin)
      candidates.resize(kWorkersBeforeJoin);
    early.insert(early.end(), candidates.begin(), candidates.end());
  }
  return early;
}

bool LoadWatch::NoteCall(kernel::Instant now) {
  if (this->has_call) return false;
  this->has_call = true;
  return !this->joined_at || now < *this->joined_at;
}

kernel::Instant LoadWatch::DueAt(const WatchedWorker& worker) const {
  const auto interval = this->settings.interval;
  const auto& domain = worker.failure_domain;
  const bool is_watched_there = domain != this->settings.failure_domain &&
                                this->peers_by_domain.contains(domain);
  const std::size_t group = HashOf(worker.id) % this->ranks.size();
  const double patience = (is_watched_there ? kForeignIntervals : 1) +
                          kStepIn * static_cast<double>(this->ranks[group]);
  // A worker that nobody has measured yet is due at once for the first host of
  // its group; the others hear of it.
  auto due_at =
      this->known_since.at(worker.id) + Scaled(interval, patience - 1);
  if (worker.measured_at)
    due_at = *worker.measured_at + Scaled(interval, patience);
  return std::max(due_at, this->BlockedUntil(worker).value_or(due_at));
}

std::optional<kernel::Instant> LoadWatch::BlockedUntil(
    const WatchedWorker& worker) const {
  std::optional<kernel::Instant> until;
  const auto sent = this->outstanding.find(worker.id);
  if (sent != this->outstanding.end()) until = sent->second + kLongestPause;
  const auto pause = this->pauses.find(worker.id);
  if (pause == this->pauses.end()) return until;
  return std::max(until.value_or(pause->second.until), pause->second.until);
}

void LoadWatch::NoteProbeEnded(
    kernel::Instant now, const model::WorkerId& worker,
    const std::optional<model::WorkerReport>& report) {
  this->outstanding.erase(worker);
  if (!report) {
    auto& pause = this->pauses[worker];
    pause.length = std::clamp(pause.length * 2, kShortestPause, kLongestPause);
    pause.until = now + pause.length;
    return;
  }
  this->pauses.erase(worker);
  this->measured.push_back({worker, *report, now});
}

std::optional<LoadShare> LoadWatch::TakeShare(kernel::Instant now) {
  if (!this->share_at) return std::nullopt;
  if (now < *this->share_at && !this->outstanding.empty()) return std::nullopt;
  this->share_at.reset();
  if (this->measured.empty()) return std::nullopt;
  LoadShare share;
  const auto count = std::min(this->measured.size(), kMostEntries);
  const auto end = this->measured.begin() + static_cast<std::ptrdiff_t>(count);
  for (auto each = this->measured.begin(); each != end; ++each) {
    share.digest.push_back(
        {HashOf(each->worker), each->report,
         std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                               each->at)});
  }
  this->measured.erase(this->measured.begin(), end);
  if (!this->measured.empty()) this->share_at = now;
  this->rounds += 1;
  share.is_wide = this->rounds % kRoundsForWide == 0;
  return share;
}

std::optional<kernel::Instant> LoadWatch::NextWake() const {
  if (!this->share_at) return this->probe_at;
  return std::min(*this->share_at, this->probe_at.value_or(*this->share_at));
}

}  // namespace burdockwheel::load
