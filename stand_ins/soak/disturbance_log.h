// When each part of a soak was disturbed.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "kernel/instant.h"

namespace burdockwheel::stand_ins {

// Promises with a time bound hold only for parts that have been calm for a
// while. Parts are named by whoever notes, such as "host 3" or "store".
class DisturbanceLog {
 public:
  // For so long after a disturbance a part does not count as calm: the
  // platform's stability_ms.
  static constexpr std::chrono::milliseconds kStability{3000};

  // The part is disturbed from `begin` to `end`.
  void Note(const std::string& part, kernel::Instant begin,
            kernel::Instant end);

  // Tells whether the part was calm from `from` to `to`, and long enough
  // before.
  bool IsCalm(const std::string& part, kernel::Instant from,
              kernel::Instant to) const;

  // The same for all parts together.
  bool IsAllCalm(kernel::Instant from, kernel::Instant to) const;

  // The end of the last disturbance of all that begin before `now`.
  kernel::Instant LastEnd(kernel::Instant now) const;

 private:
  struct Span {
    kernel::Instant begin;
    kernel::Instant end;
  };

  static bool IsCalm(const std::vector<Span>& spans, kernel::Instant from,
                     kernel::Instant to);

  std::map<std::string, std::vector<Span>> spans_by_part;
};

}  // namespace burdockwheel::stand_ins
