// Workers of one service as a router's tests need them.
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "routing/service_router.h"

namespace burdockwheel::routing {

// How a fake worker behaves.
struct FakeBehaviour {
  std::chrono::nanoseconds latency = std::chrono::milliseconds(10);
  model::AttemptResult result = model::AttemptResult::kAnswered;
  model::WorkerReport report;  // its claim, true or not
};

// Sends calls to a router at a steady rate and answers each after its worker's
// latency. Counts the calls that each worker gets.
class FakeWorkers {
 public:
  explicit FakeWorkers(int count, const RouterSettings& settings = {},
                       int domains = 1)
      : router({"domain-0"}, nullptr, settings) {
    for (int index = 0; index < count; ++index) {
      const model::WorkerId address{"10.0.0." + std::to_string(index) + ":80"};
      const auto domain = "domain-" + std::to_string(index % domains);
      this->records.push_back(
          {.id = address, .service = {"slots"}, .failure_domain = {domain}});
    }
    this->router.UpdateDefinition(this->now, this->definition, 25);
    this->router.UpdateWorkers(this->now, this->records);
  }

  const model::WorkerId& Address(int index) const {
    return this->records[static_cast<std::size_t>(index)].id;
  }

  // Offers calls for the time; what finds no worker is counted and dropped.
  void Run(std::chrono::nanoseconds time,
           std::chrono::nanoseconds gap = std::chrono::milliseconds(2)) {
    for (const auto end = this->now + time; this->now < end;) {
      this->now += gap;
      this->EndDue();
      const auto chosen = this->router.Choose(this->now, {}, this->random);
      if (!chosen) {
        ++this->blocked;
        continue;
      }
      this->Start(*chosen);
    }
  }

  void Start(const model::WorkerId& worker) {
    const model::AttemptId attempt{++this->last_attempt};
    this->router.AttemptStarted(this->now, worker, attempt);
    this->calls[worker] += 1;
    this->outstanding.push_back({worker, attempt, this->now});
  }

  // Returns the calls that the worker got since the last time it was asked.
  int TakeCalls(int index) {
    return std::exchange(this->calls[this->Address(index)], 0);
  }

  kernel::Instant now{std::chrono::hours(1)};
  std::mt19937_64 random{7};
  model::ServiceDefinition definition;
  std::vector<model::WorkerRecord> records;
  std::map<model::WorkerId, FakeBehaviour> behaviours;
  ServiceRouter router;
  int blocked = 0;

 private:
  struct Outstanding {
    model::WorkerId worker;
    model::AttemptId attempt;
    kernel::Instant started_at;
  };

  void EndDue() {
    std::vector<Outstanding> due;
    std::erase_if(this->outstanding, [this, &due](const Outstanding& each) {
      const auto latency = this->behaviours[each.worker].latency;
      if (this->now - each.started_at < latency) return false;
      due.push_back(each);
      return true;
    });
    for (const auto& each : due) {
      const auto& behaviour = this->behaviours[each.worker];
      const bool is_answered =
          behaviour.result == model::AttemptResult::kAnswered;
      this->router.AttemptEnded(
          this->now, each.worker, each.attempt,
          {behaviour.result, is_answered ? 200 : 0, this->now - each.started_at,
           behaviour.report});
    }
  }

  std::uint64_t last_attempt = 0;
  std::map<model::WorkerId, int> calls;
  std::vector<Outstanding> outstanding;
};

}  // namespace burdockwheel::routing
