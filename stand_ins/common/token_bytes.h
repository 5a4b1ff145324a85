// Bodies whose every byte follows from a token, so that the receiver can tell
// whether a body is the one that belongs to its own call.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockwheel::stand_ins {

// The request fields that ask a worker stand-in for such a body.
inline constexpr std::string_view kEchoTokenField = "X-Echo-Token";
inline constexpr std::string_view kEchoBytesField = "X-Echo-Bytes";
inline constexpr std::string_view kEchoChunkedField = "X-Echo-Chunked";

// Appends `size` bytes that follow from the token.
void AppendTokenBytes(std::uint64_t token, std::size_t size, std::string* out);

// Tells whether `bytes`, of any length, are the token's bytes from `offset` on.
bool IsTokenBytes(std::uint64_t token, std::size_t offset,
                  std::string_view bytes);

// Tokens are written as 16 hexadecimal digits.
std::string FormatToken(std::uint64_t token);
std::optional<std::uint64_t> ParseTokenOrNull(std::string_view text);

}  // namespace burdockwheel::stand_ins
