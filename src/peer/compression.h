// Compression of message bodies.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace burdockwheel::peer {

// Returns one Zstandard frame (RFC 8878) that tells its size.
std::string Compress(std::string_view bytes);

// Returns nothing for bytes that are no such frame, or hold more than
// `most_bytes`.
std::optional<std::string> TryDecompress(std::string_view bytes,
                                         std::size_t most_bytes);

}  // namespace burdockwheel::peer
