// Shares the calls of a route among its targets.
#pragma once

#include <cstddef>
#include <random>
#include <vector>

namespace burdockwheel::routing {

// Smooth weighted round robin: any run of calls is shared by the weights with
// an error of less than one call for each target. Pure.
class WeightedSplit {
 public:
  // Starts at a random place, so that hosts with few calls each do not all
  // begin with the same target.
  WeightedSplit(std::vector<double> weights, std::mt19937_64& random);

  // Returns the index of the target that the next call goes to.
  std::size_t Next();

  const std::vector<double>& Weights() const { return this->weights; }

 private:
  std::vector<double> weights;
  std::vector<double> credits;
  double sum = 0;
};

}  // namespace burdockwheel::routing
