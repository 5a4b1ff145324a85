// What a case writes to record.txt.
#pragma once

#include <cstdio>
#include <mutex>
#include <string>

#include "review/stand_ins_3/sockets.h"

namespace review {

// Lines with the milliseconds since the start of the case.
class Record {
 public:
  explicit Record(const std::string& path)
      : file(std::fopen(path.c_str(), "we")) {
    // Lines are many; each write of its own would hold up the clients.
    if (this->file != nullptr)
      std::setvbuf(this->file, nullptr, _IOFBF, kBufferBytes);
  }
  ~Record() {
    if (this->file != nullptr) std::fclose(this->file);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Write(const std::string& line) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->file == nullptr) return;
    std::fprintf(this->file, "%8lld %s\n",
                 static_cast<long long>(this->Milliseconds()), line.c_str());
  }

  // Writes a line to standard output as well.
  void Tell(const std::string& line) {
    this->Write(line);
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->file != nullptr) std::fflush(this->file);
    }
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
  }

  std::int64_t Milliseconds() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                                 this->start)
        .count();
  }

 private:
  static constexpr std::size_t kBufferBytes = std::size_t{4} << 20U;

  std::mutex mutex;
  std::FILE* file;
  Clock::time_point start = Clock::now();
};

}  // namespace review
