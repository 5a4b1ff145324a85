// What a case of the second review writes down.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <string>

namespace burdockwheel::review {

// Writes lines with the time since the start, milliseconds.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  std::int64_t Now() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - this->start)
        .count();
  }

  void Write(const std::string& line) {
    this->file << this->Now() << " " << line << "\n";
  }

  // Writes what the case comes to, also to standard output.
  void Conclude(const std::string& line);

 private:
  std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  std::ofstream file;
};

}  // namespace burdockwheel::review
