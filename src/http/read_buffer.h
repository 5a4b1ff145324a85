// Bytes that were read from a connection and are not used up yet.
#pragma once

#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <cstring>
#include <string>
#include <string_view>

namespace burdockwheel::http {

class ReadBuffer {
 public:
  // Returns room behind the bytes that are held, for at least `size` more.
  boost::asio::mutable_buffer Prepare(std::size_t size) {
    if (this->bytes.size() < this->used + size) {
      this->bytes.resize(this->used + size);
    }
    return boost::asio::buffer(this->bytes.data() + this->used,
                               this->bytes.size() - this->used);
  }

  // Takes the first `size` bytes of the room that Prepare returned.
  void Commit(std::size_t size) { this->used += size; }

  // Drops the first `size` bytes that are held.
  void Consume(std::size_t size) {
    if (size == 0) return;
    std::memmove(this->bytes.data(), this->bytes.data() + size,
                 this->used - size);
    this->used -= size;
  }

  std::string_view View() const {
    return std::string_view(this->bytes.data(), this->used);
  }

  std::size_t Size() const { return this->used; }
  bool IsEmpty() const { return this->used == 0; }

 private:
  std::string bytes;
  std::size_t used = 0;
};

}  // namespace burdockwheel::http
