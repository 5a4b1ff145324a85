#include "peer/compression.h"

#include <zstd.h>

namespace burdockwheel::peer {

namespace {

// The fastest level that still finds repeated text; hosts have a tenth of a
// core.
constexpr int kLevel = 1;

}  // namespace

std::string Compress(std::string_view bytes) {
  std::string frame(ZSTD_compressBound(bytes.size()), '\0');
  const auto size = ZSTD_compress(frame.data(), frame.size(), bytes.data(),
                                  bytes.size(), kLevel);
  // Fails only without memory, since the frame has the bound's size; an empty
  // body is refused where it arrives.
  frame.resize(ZSTD_isError(size) != 0U ? 0 : size);
  frame.shrink_to_fit();
  return frame;
}

std::optional<std::string> TryDecompress(std::string_view bytes,
                                         std::size_t most_bytes) {
  const auto told = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  if (told == ZSTD_CONTENTSIZE_ERROR || told == ZSTD_CONTENTSIZE_UNKNOWN ||
      told > most_bytes)
    return std::nullopt;
  std::string content(told, '\0');
  const auto size = ZSTD_decompress(content.data(), content.size(),
                                    bytes.data(), bytes.size());
  if (ZSTD_isError(size) != 0U || size != content.size()) return std::nullopt;
  return content;
}

}  // namespace burdockwheel::peer
