// Releases buffers that have grown large.
#pragma once

#include <cstddef>
#include <string>

namespace burdockwheel::http {

// Buffers up to this size are kept for the next message of a connection.
inline constexpr std::size_t kMostKeptBytes = std::size_t{16} * 1024;

// Empties the buffer and, if it is large, gives its memory back. A swap, since
// an assignment of an empty string keeps the capacity.
inline void ReleaseBuffer(std::string& buffer) {
  if (buffer.capacity() > kMostKeptBytes) {
    std::string().swap(buffer);
    return;
  }
  buffer.clear();
}

}  // namespace burdockwheel::http
