#include "stand_ins/soak/promise_ledger.h"

#include <algorithm>

namespace burdockwheel::stand_ins {
namespace {

using kernel::Instant;
using std::chrono::milliseconds;

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

// Statuses that promise that a request has not run and never will.
bool IsPromise(int status) {
  static const std::set<int> kPromises = {408, 421, 429, 503};
  return kPromises.contains(status);
}

std::int64_t Milliseconds(Instant::duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

}  // namespace

std::string PromiseLedger::HostPart(std::size_t host) {
  return "host " + std::to_string(host);
}

std::string PromiseLedger::WorkerPart(const std::string& worker) {
  return "worker " + worker;
}

void PromiseLedger::Add(Promise promise, std::string evidence) {
  this->violations.push_back({promise, std::move(evidence)});
}

PromiseLedger::Record* PromiseLedger::FindOrNull(const std::string& id) {
  const auto found = this->records.find(id);
  return found == this->records.end() ? nullptr : &found->second;
}

bool PromiseLedger::IsInTouch(std::size_t host, Instant from,
                              Instant to) const {
  return this->disturbances.IsCalm(HostPart(host), from, to) &&
         this->planned_work.IsCalm(HostPart(host), from, to) &&
         this->disturbances.IsCalm(std::string(kStorePart), from, to) &&
         this->disturbances.IsCalm(std::string(kMachinePart), from, to);
}

// What was done to the system.

void PromiseLedger::ConfigurationSent(
    std::uint64_t version, const std::map<std::string, std::string>& services) {
  this->versions.push_back({version, services, std::nullopt});
}

void PromiseLedger::ConfigurationAcknowledged(Instant now,
                                              std::uint64_t version) {
  for (auto& each : this->versions) {
    if (each.number == version) each.acknowledged_at = now;
  }
}

void PromiseLedger::WorkerLeaves(Instant now, const std::string& worker) {
  this->leaving.emplace(worker, now);
}

void PromiseLedger::HostStarted(std::size_t host) {
  auto& state = this->hosts[host];
  state.life += 1;
  state.shown.clear();
  state.stop_asked_at.reset();
}

void PromiseLedger::StopAsked(Instant now, std::size_t host) {
  this->hosts[host].stop_asked_at = now;
}

void PromiseLedger::HostEnded(std::size_t host) {
  this->Add(Promise::kStaysUp, "host " + std::to_string(host));
}

// What callers saw.

void PromiseLedger::Sent(Instant now, const SoakRequest& request) {
  Record record;
  record.request = request;
  record.life = this->hosts[request.host].life;
  record.sent_at = now;
  this->counts.sent += 1;
  if (!this->versions.empty()) {
    const auto& services = this->versions.back().services;
    const auto service = services.find(request.route);
    if (service != services.end())
      this->requests[service->second].push_back(now);
  }
  this->records.emplace(request.id, std::move(record));
}

void PromiseLedger::Answered(Instant now, const std::string& id,
                             const SoakAnswer& answer) {
  Record* record = this->FindOrNull(id);
  if (record == nullptr) return;
  record->ended_at = now;
  const std::string status = std::to_string(answer.status);
  if (!answer.request_id.empty() && answer.request_id != id)
    this->Add(Promise::kOwnWholeAnswer,
              id + " got the answer of " + answer.request_id);
  if (answer.has_surplus)
    this->Add(Promise::kOwnWholeAnswer, id + " got bytes behind its answer");
  const auto written = record->written.find(answer.seal);
  const bool is_written = written != record->written.end();
  if (answer.status >= kFirstSuccess && answer.status < kFirstRedirect) {
    this->counts.served += 1;
    record->is_served = true;
    if (!is_written)
      this->Add(Promise::kOwnWholeAnswer, id + " got a success unsealed");
    else if (written->second.body != answer.body)
      this->Add(Promise::kOwnWholeAnswer, id + " got another body");
    else if (written->second.status != answer.status)
      this->Add(Promise::kOwnWholeAnswer, id + " got a failure as " + status);
    return;
  }
  if (!answer.seal.empty() &&
      (!is_written || written->second.status != answer.status))
    this->Add(Promise::kOwnWholeAnswer, id + " got a changed status " + status);
  if (!IsPromise(answer.status)) {
    this->counts.failed += 1;
    return;
  }
  this->counts.refused += 1;
  record->is_promised_not_run = !record->request.is_idempotent;
  if (record->is_promised_not_run && !record->runs.empty())
    this->Add(Promise::kRefusalIsTrue, id + " had run and was told " + status);
}

void PromiseLedger::Malformed(Instant now, const std::string& id) {
  Record* record = this->FindOrNull(id);
  if (record == nullptr) return;
  record->ended_at = now;
  this->counts.failed += 1;
  this->Add(Promise::kOwnWholeAnswer, id + " got bytes that are no answer");
}

void PromiseLedger::Closed(Instant now, const std::string& id) {
  Record* record = this->FindOrNull(id);
  if (record == nullptr) return;
  record->ended_at = now;
  this->counts.closed += 1;
  const auto waited = now - record->sent_at;
  if (waited >= record->request.timeout) return;
  const bool is_passed_on = !record->arrivals.empty();
  const auto& host = this->hosts[record->request.host];
  if (host.stop_asked_at && now >= *host.stop_asked_at &&
      now <= *host.stop_asked_at + this->grace + kStopTail &&
      this->disturbances.IsAllCalm(record->sent_at, now) &&
      (is_passed_on || waited > kLossSlack)) {
    this->Add(Promise::kStopCutsNothing,
              id + " cut " + std::to_string(Milliseconds(waited)) +
                  " ms after it was sent, " +
                  std::to_string(Milliseconds(now - *host.stop_asked_at)) +
                  " ms after SIGTERM to host " +
                  std::to_string(record->request.host));
    return;
  }
  const bool is_sound = std::ranges::all_of(
      record->arrivals, [this, record, now](const auto& worker) {
        return this->disturbances.IsCalm(WorkerPart(worker), record->sent_at,
                                         now);
      });
  const bool is_calm =
      is_sound && this->IsInTouch(record->request.host, record->sent_at, now);
  if (is_calm && is_passed_on) this->lost.push_back(id);
}

void PromiseLedger::Left(Instant now, const std::string& id) {
  Record* record = this->FindOrNull(id);
  if (record == nullptr) return;
  record->ended_at = now;
  record->left_at = now;
  this->counts.left += 1;
}

bool PromiseLedger::IsOpen(const std::string& id) const {
  const auto found = this->records.find(id);
  return found != this->records.end() && !found->second.ended_at;
}

// What workers saw.

void PromiseLedger::Arrived(Instant now, const SoakArrival& arrival) {
  Record* record = this->FindOrNull(arrival.id);
  if (record == nullptr) {
    this->Add(Promise::kNothingInvented,
              "a worker got " + arrival.id + ", which nobody has sent");
    return;
  }
  const SoakRequest& request = record->request;
  if (arrival.target != request.target || arrival.body != request.body)
    this->Add(Promise::kNothingInvented, arrival.id + " was changed");
  const auto left = request.patience - (now - record->sent_at);
  if (arrival.time_left > left + kTimeSlack &&
      this->IsInTouch(request.host, record->sent_at, now) &&
      this->disturbances.IsCalm(WorkerPart(arrival.worker), record->sent_at,
                                now))
    this->Add(Promise::kTimePassedOn,
              arrival.id + " was passed on with " +
                  std::to_string(arrival.time_left.count()) + " ms, " +
                  std::to_string(Milliseconds(left)) + " were left");
  if (!record->arrivals.empty()) {
    this->counts.repeats += 1;
    this->repeats[arrival.service].push_back(now);
  }
  record->arrivals.push_back(arrival.worker);
  const std::set<std::string> workers(record->arrivals.begin(),
                                      record->arrivals.end());
  if (workers.size() > static_cast<std::size_t>(request.attempts))
    this->Add(
        Promise::kAttempts,
        arrival.id + " reached " + std::to_string(workers.size()) + " workers");
  this->CheckDrain(now, arrival, *record);
  const auto bounded = this->bounded_since.find(request.target);
  if (bounded == this->bounded_since.end() ||
      now <= bounded->second + DisturbanceLog::kStability ||
      !this->IsInTouch(request.host, bounded->second, now))
    return;
  this->poisoned_retries[request.target].insert(arrival.id);
}

void PromiseLedger::CheckDrain(Instant now, const SoakArrival& arrival,
                               const Record& record) {
  const auto leaving = this->leaving.find(arrival.worker);
  if (leaving == this->leaving.end()) return;
  const auto since = leaving->second;
  if (now <= since + kDrain) return;
  if (!this->IsInTouch(record.request.host, since, now)) return;
  if (!this->disturbances.IsCalm(WorkerPart(arrival.worker), now, now)) return;
  this->Add(Promise::kDrain, arrival.id + " reached " + arrival.worker + " " +
                                 std::to_string(Milliseconds(now - since)) +
                                 " ms after it had left, from host " +
                                 std::to_string(record.request.host));
}

void PromiseLedger::RunBegun(Instant now, const SoakArrival& arrival,
                             Instant planned_end) {
  this->counts.runs += 1;
  Record* record = this->FindOrNull(arrival.id);
  if (record == nullptr) return;
  record->runs.push_back({arrival.worker, planned_end, std::nullopt});
  if (!record->request.is_idempotent && record->runs.size() > 1)
    this->Add(Promise::kRunsOnce, arrival.id + " ran at " +
                                      record->runs.front().worker + " and at " +
                                      arrival.worker);
  if (record->is_promised_not_run)
    this->Add(Promise::kRefusalIsTrue,
              arrival.id + " runs after it was refused");
  this->CheckVersion(now, arrival, *record);
  this->CheckNeverBack(now, arrival, *record);
}

bool PromiseLedger::IsAllowedFrom(std::size_t first_version,
                                  const std::string& route,
                                  const std::string& service) const {
  for (std::size_t at = first_version; at < this->versions.size(); ++at) {
    const auto found = this->versions[at].services.find(route);
    if (found != this->versions[at].services.end() && found->second == service)
      return true;
  }
  return false;
}

void PromiseLedger::CheckVersion(Instant now, const SoakArrival& arrival,
                                 const Record& record) {
  const std::string& route = record.request.route;
  if (!this->IsAllowedFrom(0, route, arrival.service)) {
    this->Add(Promise::kRightService,
              arrival.id + " of " + route + " ran at " + arrival.service);
    return;
  }
  std::size_t first = 0;
  for (std::size_t at = 0; at < this->versions.size(); ++at) {
    const auto& acknowledged = this->versions[at].acknowledged_at;
    if (acknowledged && *acknowledged + kApply <= record.sent_at) first = at;
  }
  if (this->IsAllowedFrom(first, route, arrival.service)) return;
  const auto since = *this->versions[first].acknowledged_at;
  if (!this->IsInTouch(record.request.host, since, now)) return;
  this->Add(Promise::kInForce,
            arrival.id + ", sent " +
                std::to_string(Milliseconds(record.sent_at - since)) +
                " ms after version " +
                std::to_string(this->versions[first].number) + ", ran at " +
                arrival.service + " by host " +
                std::to_string(record.request.host));
}

void PromiseLedger::CheckNeverBack(Instant now, const SoakArrival& arrival,
                                   const Record& record) {
  auto& host = this->hosts[record.request.host];
  if (record.life != host.life) return;
  const std::string& route = record.request.route;
  const bool is_calm = this->disturbances.IsCalm(HostPart(record.request.host),
                                                 record.sent_at, now);
  const auto slack =
      is_calm ? kRollbackSlack : kRollbackSlack * kDisturbedRollback;
  std::size_t bound = 0;
  for (const auto& shown : host.shown) {
    if (shown.at + slack < record.sent_at) bound = shown.version;
  }
  if (!this->IsAllowedFrom(bound, route, arrival.service)) {
    this->Add(Promise::kNeverBack,
              arrival.id + " ran at " + arrival.service + " by host " +
                  std::to_string(record.request.host) +
                  ", which had shown version " +
                  std::to_string(this->versions[bound].number));
    return;
  }
  const std::size_t known = host.shown.empty() ? 0 : host.shown.back().version;
  for (std::size_t at = known; at < this->versions.size(); ++at) {
    const auto found = this->versions[at].services.find(route);
    if (found == this->versions[at].services.end() ||
        found->second != arrival.service)
      continue;
    if (at > known) host.shown.push_back({at, now});
    return;
  }
}

void PromiseLedger::RunEnded(Instant now, const std::string& id,
                             const std::string& worker) {
  Record* record = this->FindOrNull(id);
  if (record == nullptr) return;
  for (auto& run : record->runs) {
    if (run.worker == worker && !run.ended_at) run.ended_at = now;
  }
}

void PromiseLedger::WorkerCrashedBy(Instant now, const std::string& id) {
  const Record* record = this->FindOrNull(id);
  if (record == nullptr) return;
  const std::string& target = record->request.target;
  if (++this->crashes[target] == kCrashesBeforeBound)
    this->bounded_since.emplace(target, now);
}

void PromiseLedger::Sealed(const std::string& id, const std::string& seal,
                           int status, std::string body) {
  Record* record = this->FindOrNull(id);
  if (record != nullptr)
    record->written[seal] = Written{status, std::move(body)};
}

}  // namespace burdockwheel::stand_ins
