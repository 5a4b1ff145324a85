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
  // Returns room behind the bytes that are held, for at least `size` more. The
  // room stays where it is until the next call, also when bytes are consumed: a
  // read into it may be outstanding meanwhile.
  boost::asio::mutable_buffer Prepare(std::size_t size) {
    this->MoveToFront();
    if (this->bytes.size() < this->end + size)
      this->bytes.resize(this->end + size);
    return boost::asio::buffer(this->bytes.data() + this->end,
                               this->bytes.size() - this->end);
  }

  // Takes the first `size` bytes of the room that Prepare returned.
  void Commit(std::size_t size) { this->end += size; }

  // Drops the first `size` bytes that are held.
  void Consume(std::size_t size) { this->begin += size; }

  std::string_view View() const {
    return std::string_view(this->bytes.data() + this->begin, this->Size());
  }

  std::size_t Size() const { return this->end - this->begin; }
  bool IsEmpty() const { return this->begin == this->end; }

 private:
  void MoveToFront() {
    if (this->begin == 0) return;
    std::memmove(this->bytes.data(), this->bytes.data() + this->begin,
                 this->Size());
    this->end -= this->begin;
    this->begin = 0;
  }

  std::string bytes;
  std::size_t begin = 0;
  std::size_t end = 0;
};

}  // namespace burdockwheel::http
