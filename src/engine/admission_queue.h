// The calls of one service that wait on a host for a worker.
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
// goes first and calls leave unserved after a shorter wait (CoDel, RFC 8289, in
// the form that Maurer, "Fail at Scale", ACM Queue 13(8), 2015, gives for
// servers). Every call that leaves unserved has not been sent.
class AdmissionQueue {
 public:
  // How long the queue may stand before the host counts as overloaded.
  static constexpr std::chrono::milliseconds kOverloadAfter{100};
  // The longest wait under overload is the usual one divided by this.
  static constexpr int kOverloadWaitDivisor = 4;

  // What a test may switch off to show what it does.
  struct Protections {
    bool is_newest_first = true;
    bool is_age_bounded = true;
    bool is_weighted = true;
  };

  struct WaitingCall {
    model::CallId call;
    kernel::Instant queued_at;
    // A call that a worker takes up after this cannot meet its deadline.
    kernel::Instant start_by;
  };

  using Calls = std::vector<model::CallId>;

  // Takes the limits and the weights of the kinds, which are known by name.
  // Appends waiting calls of kinds that are gone to `unserved`.
  void Update(const model::QueueLimits& limits,
              const std::vector<model::CallKind>& kinds, Calls& unserved);

  // Adds a call. Appends the calls that must give way to `unserved`, which may
  // include the new one.
  void Add(std::size_t kind, const WaitingCall& waiting, Calls& unserved);

  // Takes out the call that is to be sent next, or nothing. Appends calls that
  // have waited too long to `unserved`.
  std::optional<model::CallId> TryTake(kernel::Instant now, Calls& unserved);

  // Appends the calls that have waited too long to `unserved`.
  void Expire(kernel::Instant now, Calls& unserved);

  // Takes out a call whose caller has gone or whose time is over.
  void Remove(std::size_t kind, model::CallId call);

  // Notes how long a call of the kind held a worker.
  void ObserveServiceTime(std::size_t kind, std::chrono::nanoseconds time);

  bool IsEmpty() const { return this->size == 0; }
  std::size_t Size() const { return this->size; }
  bool IsOverloaded(kernel::Instant now) const;

  // Returns when Expire next has something to do, nothing if empty.
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

  std::chrono::nanoseconds MaxWait(kernel::Instant now) const;
  Kind* NextKindOrNull();
  Kind& LongestKindByWeight();
  void Charge(Kind& kind);
  void DropOldest(Kind& kind, Calls& unserved);
  WaitingCall TakeFrom(Kind& kind, bool is_newest_first);

  model::QueueLimits limits;
  Protections protections;
  std::vector<Kind> kinds;
  std::size_t size = 0;
  double virtual_time = 0;          // the pass of the kind that went last
  kernel::Instant non_empty_since;  // meaningful while not empty
};

}  // namespace burdockwheel::engine
