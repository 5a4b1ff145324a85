// Passes bytes on to an address, unless it is cut off.
#pragma once

#include <atomic>
#include <memory>
#include <string>

namespace review {

class Server;
class Stream;

class Proxy {
 public:
  explicit Proxy(std::string target);
  ~Proxy();

  std::string Address() const;

  // While it is cut, no byte passes in either direction; nothing is reset.
  void SetCut(bool is_cut) { this->is_cut = is_cut; }

  // Returns how many times bytes have passed to the target.
  int RequestCount() const { return this->requests; }

 private:
  void Serve(Stream& near_side);

  std::string target;
  std::atomic<bool> is_cut{false};
  std::atomic<bool> is_stopping{false};
  std::atomic<int> requests{0};
  std::unique_ptr<Server> server;
};

}  // namespace review
