// Reads metrics in the Prometheus text format.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace burdockwheel::stand_ins {

// Adds each sample's value to the sum under its metric's name; labels are
// dropped, and so are the buckets of histograms.
void AddMetrics(std::string_view text, std::map<std::string, double>* sums);

}  // namespace burdockwheel::stand_ins
