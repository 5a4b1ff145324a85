// A client that keeps its channel open for many requests.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "review/stand_ins_3/sockets.h"

namespace review {

// What a client saw of one request.
struct Outcome {
  Clock::time_point sent_at;
  std::string request_id;
  int status = 0;  // 0: the channel ended or gave nothing in time
  bool is_worker_leaving = false;  // the answer has Server-Leaving
  std::string body;
};

class Client {
 public:
  explicit Client(std::uint16_t port) : port(port) {}

  // Sends one request and waits for its answer.
  Outcome Send(const std::string& method, const std::string& host,
               const std::string& path, const std::string& request_id,
               std::chrono::milliseconds time_limit);

 private:
  std::uint16_t port;
  Descriptor connection;
  std::string rest;
};

}  // namespace review
