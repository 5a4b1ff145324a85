#include "stand_ins/experiment/metrics_text.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace burdockwheel::stand_ins {
namespace {

void AddSample(std::string_view line, std::map<std::string, double>* sums) {
  const std::string_view name = line.substr(0, line.find_first_of("{ "));
  if (name.ends_with("_bucket")) return;
  const std::size_t brace = line.rfind('}');
  std::string_view rest =
      line.substr(brace == std::string_view::npos ? name.size() : brace + 1);
  const std::size_t digits = rest.find_first_not_of(' ');
  if (digits == std::string_view::npos) return;
  rest.remove_prefix(digits);
  double value = 0;
  const auto [end, error] =
      std::from_chars(rest.data(), rest.data() + rest.size(), value);
  if (error == std::errc()) (*sums)[std::string(name)] += value;
}

}  // namespace

void AddMetrics(std::string_view text, std::map<std::string, double>* sums) {
  while (!text.empty()) {
    const std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    if (line.empty() || line.front() == '#') continue;
    AddSample(line, sums);
  }
}

}  // namespace burdockwheel::stand_ins
