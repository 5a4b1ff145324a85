// A blocking TCP stream that reads and writes HTTP/1.1 messages.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "review/stand_ins/test_clock.h"

namespace review {

// A request or an answer. Names of headers are in lower case.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  // The second word of the start line: the target of a request.
  std::string Target() const;
  // The status of an answer, 0 if there is none.
  int Status() const;
};

class Stream {
 public:
  explicit Stream(int descriptor) : descriptor(descriptor) {}
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Returns a descriptor that is connected to `address`, or -1.
  static int Connect(const std::string& address);

  // Reads a message whose body, if any, has a Content-Length. Returns nothing
  // if the stream ends or is silent for longer than `patience`.
  std::optional<Message> Read(Milliseconds patience);
  // Returns false if the peer has closed the stream.
  bool Write(const std::string& bytes);

  // Passes on what the other stream has received. Returns false if either has
  // ended.
  bool WriteFrom(const Stream& other);

  int Descriptor() const { return this->descriptor; }

  // Ends the stream at once, from any thread; the peer sees a reset.
  void Reset();

 private:
  bool FillBuffer(Clock::time_point until);

  int descriptor;
  std::string buffer;
};

}  // namespace review
