#include "review/stand_ins/recorder.h"

#include <iomanip>

#include "review/stand_ins/test_clock.h"

namespace review {

void Recorder::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->file << std::setw(6) << SinceStart().count() << " ms " << line
             << std::endl;
}

}  // namespace review
