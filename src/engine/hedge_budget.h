// Limits the extra work that hedges put on the workers of one service.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace burdockwheel::engine {

// What operators accept, as shares of a service's calls and of the time that
// these take at the workers.
struct HedgeLimit {
  double call_share = 0;
  double time_share = 0;
};

// Two token buckets that start empty and are filled by first tries that were
// answered. So the hedges of a host never exceed the shares of its own calls,
// and those of all hosts never exceed the shares of all calls, whatever hosts
// come and go. The fuller the buckets, the smaller the gain that is worth a
// hedge: at the limit, hedges go to the calls that gain most. Pure.
class HedgeBudget {
 public:
  // Hedges that may be saved up.
  static constexpr double kMaxSaved = 2;
  // The gain that a hedge must bring, as a share of what an answer is worth,
  // with full buckets and with just enough for one.
  static constexpr double kMinGainWhenFull = 0.1;
  static constexpr double kMinGainWhenLow = 0.5;

  // Hedges since the start of the host.
  struct Counts {
    std::uint64_t started = 0;
    std::uint64_t won = 0;     // their answer was relayed
    std::uint64_t denied = 0;  // calls that would have gained enough otherwise
    std::chrono::nanoseconds time{0};  // from the start to the end of each
  };

  explicit HedgeBudget(const HedgeLimit& limit) : limit(limit) {}

  // A first try was answered after this time.
  void RecordFirstTry(std::chrono::nanoseconds time);

  // Returns the gain that a hedge must bring now, or nothing if none may start.
  std::optional<double> MinGain() const;

  // A hedge starts that is expected to take this long, and ends.
  void RecordStart(std::chrono::nanoseconds expected);
  void RecordEnd(std::chrono::nanoseconds expected,
                 std::chrono::nanoseconds taken);

  void RecordWin() { this->counts.won += 1; }
  void RecordDenial() { this->counts.denied += 1; }

  const Counts& GetCounts() const { return this->counts; }

 private:
  HedgeLimit limit;
  double calls = 0;                            // hedges that may start
  std::chrono::duration<double> time{0};       // that hedges may take
  std::chrono::duration<double> mean_time{0};  // of a first try
  Counts counts;
};

}  // namespace burdockwheel::engine
