// Stands in for a client.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "review/stand_ins/stream.h"

namespace review {

class Recorder;

// One request of a client.
struct Call {
  std::string method;
  std::string host;
  std::string target;
  std::string body;
  int deadline_ms = 1500;
  std::string request_id;
};

// Returns an id that no other request has.
std::string NewRequestId();

// Keeps one channel to an entry host open. A channel that has ended is opened
// again at the next request.
class Caller {
 public:
  Caller(std::string address, Recorder& recorder);

  // Sends a request, without waiting for answers to earlier ones.
  bool Send(const Call& call);
  // Reads the answer to the oldest request without one. Returns nothing if the
  // channel ends or nothing comes for two deadlines.
  std::optional<Message> Receive(const Call& call);

  std::optional<Message> Ask(const Call& call);

 private:
  std::string address;
  Recorder& recorder;
  std::unique_ptr<Stream> stream;
};

}  // namespace review
