// The query of a call to the store stand-in.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockwheel::stand_ins {

// Returns the value of a query parameter without its percent-encoding, or
// nothing.
std::optional<std::string> QueryValueOrNull(std::string_view target,
                                            std::string_view name);

// The same for whole numbers.
std::optional<std::uint64_t> QueryNumberOrNull(std::string_view target,
                                               std::string_view name);

}  // namespace burdockwheel::stand_ins
