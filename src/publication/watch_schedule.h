// When the hosts that read the platform ask it, so that its answers to them
// are spread over time.
#pragma once

#include <chrono>
#include <map>

#include "kernel/instant.h"
#include "model/identifiers.h"

namespace burdockwheel::publication {

// Readers that are all woken by a change would all be answered again at the
// same time. Each one that it hears of gets a place in a common cycle, so that
// in calm the platform answers one of them every kAnswerSpacing, or more often
// where the readers are many. Pure.
class WatchSchedule {
 public:
  static constexpr std::chrono::milliseconds kAnswerSpacing{600};
  // For how long a reader that was heard keeps its place.
  static constexpr std::chrono::milliseconds kReaderPatience{2000};

  // No watch waits for longer than `max_wait`.
  WatchSchedule(model::Incarnation self, std::chrono::milliseconds max_wait)
      : self(self), max_wait(max_wait) {}

  // Another host has told that it reads and when it was last answered.
  void NoteReader(kernel::Instant now, model::Incarnation reader,
                  kernel::Instant answered_at);

  // Returns how long a watch that this host begins now should wait.
  // `is_shared_answer`: the last answer told of a change, so that all readers
  // have had it, whether they have been heard since or not.
  std::chrono::milliseconds NextWait(kernel::Instant now,
                                     bool is_shared_answer);

 private:
  void ForgetSilent(kernel::Instant now);

  struct Reader {
    kernel::Instant heard_at;
    kernel::Instant answered_at;
  };

  model::Incarnation self;
  std::chrono::milliseconds max_wait;
  std::map<std::uint64_t, Reader> others;  // by incarnation
};

}  // namespace burdockwheel::publication
