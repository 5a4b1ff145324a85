#include "routing/weighted_split.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace burdockwheel::routing {

namespace {

// The sequence begins after so many calls at most; weights are mostly percents,
// whose sequence repeats after a hundred.
constexpr int kMostSkipped = 99;

}  // namespace

WeightedSplit::WeightedSplit(std::vector<double> weights,
                             std::mt19937_64& random)
    : weights(std::move(weights)),
      credits(this->weights.size(), 0.0),
      sum(std::accumulate(this->weights.begin(), this->weights.end(), 0.0)) {
  std::uniform_int_distribution<int> skipped(0, kMostSkipped);
  for (int call = skipped(random); call > 0; --call) this->Next();
}

std::size_t WeightedSplit::Next() {
  for (std::size_t index = 0; index < this->weights.size(); ++index)
    this->credits[index] += this->weights[index];
  const auto most = std::ranges::max_element(this->credits);
  *most -= this->sum;
  return static_cast<std::size_t>(most - this->credits.begin());
}

}  // namespace burdockwheel::routing
