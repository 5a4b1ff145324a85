// Links between hosts that a test has cut.
#pragma once

#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace burdockwheel::host {

// The peer addresses to which a host sends nothing. Safe to use from several
// threads.
class CutLinks {
 public:
  explicit CutLinks(std::set<std::string> addresses)
      : addresses(std::move(addresses)) {}

  void Replace(std::set<std::string> replacement) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->addresses = std::move(replacement);
  }

  bool IsCut(const std::string& address) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->addresses.contains(address);
  }

 private:
  std::mutex mutex;
  std::set<std::string> addresses;
};

}  // namespace burdockwheel::host
