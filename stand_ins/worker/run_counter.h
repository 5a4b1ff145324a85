// How often a worker has run each idempotency key.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace burdockwheel::stand_ins {

// A run is counted when the call takes a slot, whatever becomes of it after.
class RunCounter {
 public:
  void CountRun(std::string_view key) {
    ++this->total;
    if (!key.empty()) ++this->runs[std::string(key)];
  }

  void Reset() { *this = RunCounter(); }

  // Runs of all calls, with a key and without.
  std::int64_t Total() const { return this->total; }
  const std::unordered_map<std::string, int>& RunsByKey() const {
    return this->runs;
  }

 private:
  std::int64_t total = 0;
  std::unordered_map<std::string, int> runs;
};

}  // namespace burdockwheel::stand_ins
