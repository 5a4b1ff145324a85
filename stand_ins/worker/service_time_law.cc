#include "stand_ins/worker/service_time_law.h"

namespace burdockwheel::stand_ins {
namespace {

// The standard deviation of the logarithm of a lognormal service time.
constexpr double kLognormalSigma = 0.8;

}  // namespace

std::optional<ServiceTimeShape> ServiceTimeShapeOrNull(std::string_view name) {
  if (name == "constant") return ServiceTimeShape::kConstant;
  if (name == "exponential") return ServiceTimeShape::kExponential;
  if (name == "lognormal") return ServiceTimeShape::kLognormal;
  return std::nullopt;
}

std::chrono::nanoseconds ServiceTimeLaw::Draw(std::chrono::nanoseconds mean) {
  double factor = 1;
  switch (this->shape) {
    case ServiceTimeShape::kConstant:
      break;
    case ServiceTimeShape::kExponential:
      factor = std::exponential_distribution<double>(1)(this->generator);
      break;
    case ServiceTimeShape::kLognormal:
      // The mean of exp(N(m, s)) is exp(m + s * s / 2); m makes it 1.
      factor = std::lognormal_distribution<double>(
          -kLognormalSigma * kLognormalSigma / 2,
          kLognormalSigma)(this->generator);
      break;
  }
  const double nanoseconds = factor * static_cast<double>(mean.count());
  return std::chrono::nanoseconds(static_cast<std::int64_t>(nanoseconds));
}

}  // namespace burdockwheel::stand_ins
