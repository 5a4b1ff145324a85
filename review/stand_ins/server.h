// A TCP server with a thread for each connection.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins/stream.h"

namespace review {

class Server {
 public:
  // Serves a connection until it is over.
  using Handler = std::function<void(Stream&)>;

  // Listens on a free port of 127.0.0.1.
  explicit Server(Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const std::string& Address() const { return this->address; }

  // Ends the listening and resets all connections.
  void Stop();

 private:
  void Accept();

  Handler handler;
  int descriptor = -1;
  std::string address;
  std::atomic<bool> is_stopping{false};
  std::thread acceptor;
  std::mutex mutex;
  std::vector<std::shared_ptr<Stream>> streams;
  std::vector<std::thread> threads;
};

}  // namespace review
