// Writes what was sent, answered and run to a file.
#pragma once

#include <fstream>
#include <mutex>
#include <string>

namespace review {

class Recorder {
 public:
  explicit Recorder(const std::string& path) : file(path) {}

  // Writes a line with the time since the case began.
  void Write(const std::string& line);

 private:
  std::mutex mutex;
  std::ofstream file;
};

}  // namespace review
