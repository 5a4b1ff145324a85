#include "stand_ins/load/arrival_schedule.h"

namespace burdockwheel::stand_ins {

Arrival ArrivalSchedule::Next() {
  const std::chrono::duration<double> gap(this->gap_seconds(this->generator));
  this->last += std::chrono::duration_cast<std::chrono::nanoseconds>(gap);
  Arrival arrival;
  arrival.time = this->last;
  arrival.kind = this->kinds(this->generator);
  arrival.caller = this->callers(this->generator);
  arrival.token = this->generator();
  return arrival;
}

}  // namespace burdockwheel::stand_ins
