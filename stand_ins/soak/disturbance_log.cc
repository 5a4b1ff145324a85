#include "stand_ins/soak/disturbance_log.h"

#include <algorithm>

namespace burdockwheel::stand_ins {

void DisturbanceLog::Note(const std::string& part, kernel::Instant begin,
                          kernel::Instant end) {
  this->spans_by_part[part].push_back({begin, end});
}

bool DisturbanceLog::IsCalm(const std::string& part, kernel::Instant from,
                            kernel::Instant to) const {
  const auto found = this->spans_by_part.find(part);
  return found == this->spans_by_part.end() || IsCalm(found->second, from, to);
}

bool DisturbanceLog::IsAllCalm(kernel::Instant from, kernel::Instant to) const {
  return std::ranges::all_of(
      this->spans_by_part,
      [from, to](const auto& entry) { return IsCalm(entry.second, from, to); });
}

bool DisturbanceLog::IsCalm(const std::vector<Span>& spans,
                            kernel::Instant from, kernel::Instant to) {
  return std::ranges::none_of(spans, [from, to](const Span& span) {
    return span.begin <= to && span.end >= from - kStability;
  });
}

kernel::Instant DisturbanceLog::LastEnd(kernel::Instant now) const {
  kernel::Instant last;
  for (const auto& [part, spans] : this->spans_by_part) {
    for (const auto& span : spans) {
      if (span.begin < now) last = std::max(last, span.end);
    }
  }
  return last;
}

}  // namespace burdockwheel::stand_ins
