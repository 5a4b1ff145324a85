// Encoding and bounded decoding of message bodies by msgpack. Include it in
// source files only.
#pragma once

#include <cstddef>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace burdockwheel::peer {

// Bounds of what a decoder takes, against messages that claim sizes which they
// do not have.
struct DecodeLimits {
  std::size_t most_elements = 1024;                // of one array or map
  std::size_t most_bytes = std::size_t{2} << 20U;  // of one string
  std::size_t most_depth = 6;
};

// Encodes a msgpack tuple or a type with MSGPACK_DEFINE.
template <typename Fields>
std::string Pack(const Fields& fields) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, fields);
  return {buffer.data(), buffer.size()};
}

// Decodes the whole of `bytes`. Returns nothing if they are malformed, of
// another type, beyond the limits, or followed by further bytes.
template <typename Fields>
std::optional<Fields> TryUnpack(std::string_view bytes,
                                const DecodeLimits& limits = {}) {
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr,
        msgpack::unpack_limit(limits.most_elements, limits.most_elements,
                              limits.most_bytes, limits.most_bytes, 0,
                              limits.most_depth));
    if (offset != bytes.size()) return std::nullopt;
    return handle.get().as<Fields>();
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  } catch (const msgpack::type_error&) {
    return std::nullopt;
  }
}

}  // namespace burdockwheel::peer
