// The law by which a worker's service times are drawn.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

namespace burdockwheel::stand_ins {

enum class ServiceTimeShape { kConstant, kExponential, kLognormal };

// Returns the shape with this name: constant, exponential or lognormal.
std::optional<ServiceTimeShape> ServiceTimeShapeOrNull(std::string_view name);

class ServiceTimeLaw {
 public:
  ServiceTimeLaw(ServiceTimeShape shape, std::uint64_t seed)
      : shape(shape), generator(seed) {}

  // Draws a service time with this mean.
  std::chrono::nanoseconds Draw(std::chrono::nanoseconds mean);

 private:
  ServiceTimeShape shape;
  std::mt19937_64 generator;
};

}  // namespace burdockwheel::stand_ins
