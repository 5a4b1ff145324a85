// The times and kinds of calls in an open loop.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace burdockwheel::stand_ins {

struct Arrival {
  std::chrono::nanoseconds time{0};  // since the start of the load
  std::size_t kind = 0;
  std::size_t caller = 0;
  std::uint64_t token = 0;
};

// A Poisson process: the calls come whether or not earlier ones have ended.
// The same seed gives the same calls.
class ArrivalSchedule {
 public:
  // `shares` weigh the kinds; `rate` is in calls a second.
  ArrivalSchedule(double rate, std::vector<double> shares, std::size_t callers,
                  std::uint64_t seed)
      : gap_seconds(rate),
        kinds(shares.begin(), shares.end()),
        callers(0, callers - 1),
        generator(seed) {}

  // Returns the next call; times never fall.
  Arrival Next();

 private:
  std::exponential_distribution<double> gap_seconds;
  std::discrete_distribution<std::size_t> kinds;
  std::uniform_int_distribution<std::size_t> callers;
  std::mt19937_64 generator;
  std::chrono::nanoseconds last{0};
};

}  // namespace burdockwheel::stand_ins
