#include "review/stand_ins_2/record.h"

#include <iostream>

namespace burdockwheel::review {

void Record::Conclude(const std::string& line) {
  this->Write(line);
  this->file.flush();
  std::cout << line << std::endl;
}

}  // namespace burdockwheel::review
