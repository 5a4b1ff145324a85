// A way to the store that can be cut.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "review/stand_ins_3/sockets.h"

namespace review {

// Passes connections on to a port. While it is cut, it resets the open ones and
// those that are opened.
class Gate {
 public:
  explicit Gate(std::uint16_t target_port);
  ~Gate();
  Gate(const Gate&) = delete;
  Gate& operator=(const Gate&) = delete;

  std::uint16_t Port() const { return this->port; }
  void Cut();
  void Heal() { this->is_cut = false; }

 private:
  void Accept();
  void Pass(int descriptor);

  std::uint16_t target_port;
  std::uint16_t port = 0;
  Descriptor listener;
  std::atomic<bool> is_cut{false};
  std::atomic<bool> is_ending{false};
  std::atomic<int> cuts{0};
  std::vector<std::thread> threads;
  std::thread acceptor;
};

}  // namespace review
