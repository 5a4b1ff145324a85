#include "publication/watch_schedule.h"

#include <algorithm>
#include <iterator>

namespace burdockwheel::publication {

using std::chrono::milliseconds;

void WatchSchedule::NoteReader(kernel::Instant now, model::Incarnation reader,
                               kernel::Instant answered_at) {
  this->others[reader.value] = {now, answered_at};
  this->ForgetSilent(now);
}

void WatchSchedule::ForgetSilent(kernel::Instant now) {
  std::erase_if(this->others, [now](const auto& entry) {
    return now - entry.second.heard_at > kReaderPatience;
  });
}

milliseconds WatchSchedule::NextWait(kernel::Instant now,
                                     bool is_shared_answer) {
  this->ForgetSilent(now);
  const auto count = static_cast<int>(this->others.size()) + 1;
  const auto cycle = std::min(this->max_wait, kAnswerSpacing * count);
  const auto place = static_cast<int>(std::distance(
      this->others.begin(), this->others.lower_bound(this->self.value)));
  // All count their places from the answers of the first one.
  if (place == 0) return cycle;
  const auto first =
      is_shared_answer ? now : this->others.begin()->second.answered_at;
  const auto step = cycle / count;
  auto wait =
      std::chrono::duration_cast<milliseconds>(first + step * place - now) %
      cycle;
  // Not right after the answer that this host has just had.
  while (wait <= step / 2) wait += cycle;
  return std::min(wait, this->max_wait);
}

}  // namespace burdockwheel::publication
