// Queues the calls of one service that wait on a host for a worker.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "kernel/instant.h"
#include "model/identifiers.h"
#include "model/service_definition.h"

namespace burdockwheel::engine {

// Bounds the waiting calls by number and age and shares the service's capacity
// among the kinds of call by weight.
//
// Kinds share by stride scheduling (Waldspurger and Weihl, 1995): a kind's pass
// rises by the time that a call of it holds a worker's slot, divided by its
// weight; the kind with the lowest pass goes next. While the queue has not been
// empty for kOverloadAfter, the host is overloaded: the newest call of a kind
// goes first and calls are dropped after a shorter wait (CoDel, RFC 8289, in
// the form that Maurer, "Fail at Scale", ACM Queue 13(8), 2015, gives for
// servers). A dropped call has not been sent from the queue.
class AdmissionQueue {
 public:
  // How long the queue may be non-empty before the host counts as overloaded.
  static constexpr std::chrono::milliseconds kOverloadAfter{100};
  // Under overload, the longest wait is the usual one divided by this.
  static constexpr int kOverloadWaitDivisor = 4;

  // Tests switch these off to show the effect of each.
  struct Protections {
    bool is_newest_first = true;
    // Drops calls that are too many, too old or too late.
    bool is_bounded = true;
    bool is_weighted = true;
  };

  struct WaitingCall {
    model::CallId call;
    kernel::Instant queued_at;
    // A call that starts on a worker after this cannot meet its deadline.
    kernel::Instant start_by;
  };

  using Calls = std::vector<model::CallId>;

  // Sets the limits and the weights of the kinds, which are identified by name.
  // Appends waiting calls of removed kinds to `dropped`.
  void Update(const model::QueueLimits& limits,
              const std::vector<model::CallKind>& kinds, Calls& dropped);

  // Adds a call. Appends the calls that are dropped for it to `dropped`, which
  // may include the new one.
  void Add(std::size_t kind, const WaitingCall& waiting, Calls& dropped);

  // Removes and returns the call to send next, or nothing if there is none.
  // Appends calls that have waited too long to `dropped`.
  std::optional<model::CallId> TryTake(kernel::Instant now, Calls& dropped);

  // Appends the calls that have waited too long to `dropped`.
  void Expire(kernel::Instant now, Calls& dropped);

  // Appends all waiting calls to `dropped`.
  void DropAll(Calls& dropped);

  // Returns how long a call may wait at present.
  std::chrono::nanoseconds MaxWait(kernel::Instant now) const;

  // Removes a call whose caller has disconnected or that can no longer meet its
  // deadline.
  void Remove(std::size_t kind, model::CallId call);

  // Records how long a call of the kind held a worker's slot.
  void ObserveServiceTime(std::size_t kind, std::chrono::nanoseconds time);

  bool IsEmpty() const { return this->size == 0; }
  std::size_t Size() const { return this->size; }
  bool IsOverloaded(kernel::Instant now) const;

  // Returns when Expire next has a call to drop, or nothing if the queue is
  // empty.
  std::optional<kernel::Instant> NextWake(kernel::Instant now) const;

  void SetProtectionsForTest(const Protections& value) {
    this->protections = value;
  }

 private:
  struct Kind {
    std::string name;
    double weight = 1;
    double pass = 0;          // seconds of slot time for each unit of weight
    double service_time = 0;  // seconds, smoothed; 0 before the first
    std::deque<WaitingCall> calls;  // in the order of arrival
  };

  Kind* NextKindOrNull();
  Kind& KindWithMostCallsPerWeight();
  // Raises the kind's pass by the slot time of one call.
  void Charge(Kind& kind);
  void DropOldest(Kind& kind, Calls& dropped);
  WaitingCall TakeFrom(Kind& kind, bool is_newest_first);

  model::QueueLimits limits;
  Protections protections;
  std::vector<Kind> kinds;
  std::size_t size = 0;
  double virtual_time = 0;          // the pass of the kind that was served last
  kernel::Instant non_empty_since;  // valid while the queue is not empty
};

}  // namespace burdockwheel::engine
