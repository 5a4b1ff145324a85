// Reads requests from the bytes of a caller's connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "http/message.h"

namespace burdockwheel::http {

// The bounds of a request.
// The most bytes of a field's name or value, whatever the limits are.
constexpr std::int64_t kMostFieldBytes = 65'535;

struct ReadLimits {
  std::size_t most_header_bytes = std::size_t{16} * 1024;
  std::size_t most_body_bytes = std::size_t{1024} * 1024;
};

enum class ReadState {
  kNeedsMore,
  kWantsContinue,  // whole header with "Expect: 100-continue"; told once
  kComplete,
  kFailed,
};

// Reads one request at a time; RequestReader::Next starts the following one.
class RequestReader {
 public:
  explicit RequestReader(const ReadLimits& limits);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  // Takes bytes and sets `consumed` to the number of them that are used up.
  // The rest, followed by newer bytes, must be given again.
  ReadState Feed(std::string_view bytes, std::size_t& consumed);

  // Takes other bounds, which hold from the next request on.
  void SetLimits(const ReadLimits& limits);

  // Tells whether part of a request has been taken.
  bool HasStarted() const;

  // Tells whether the present request's header is whole.
  bool HasHeader() const;

  // Returns the size of the present request's body: as its header states it,
  // or, of a chunked one, what has arrived so far.
  std::size_t BodyBytes() const;

  // The HTTP status that describes why reading failed. After kFailed only.
  int FailureStatus() const;

  // Moves the request out and begins the next one. After kComplete only.
  Request TakeRequest();

  // Whether the connection may be used again, and the version, of the request
  // last taken.
  bool IsKeepAlive() const;
  bool IsHttp10() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace burdockwheel::http
