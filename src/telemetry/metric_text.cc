#include "telemetry/metric_text.h"

#include <array>
#include <charconv>

namespace burdockwheel::telemetry {

namespace {

std::string_view TypeName(MetricType type) {
  switch (type) {
    case MetricType::kCounter:
      return "counter";
    case MetricType::kGauge:
      return "gauge";
    case MetricType::kHistogram:
      return "histogram";
  }
  return "untyped";
}

}  // namespace

void MetricText::Family(std::string_view name, MetricType type,
                        std::string_view help) {
  this->family = "burdockwheel_";
  this->family.append(name);
  this->text.append("# HELP ").append(this->family).append(" ").append(help);
  this->text.append("\n# TYPE ").append(this->family).append(" ");
  this->text.append(TypeName(type)).append("\n");
}

void MetricText::Sample(std::string_view labels, double value) {
  this->text.append(this->family);
  if (!labels.empty()) this->text.append("{").append(labels).append("}");
  std::array<char, 32> number{};
  const auto end =
      std::to_chars(number.data(), number.data() + number.size(), value);
  this->text.append(" ").append(number.data(), end.ptr).append("\n");
}

void MetricText::Sample(std::string_view labels,
                        const LatencyHistogram& histogram) {
  histogram.AppendPrometheus(this->family, labels, this->text);
}

void MetricText::Counter(std::string_view name, std::string_view help,
                         double value) {
  this->Family(name, MetricType::kCounter, help);
  this->Sample("", value);
}

void MetricText::Gauge(std::string_view name, std::string_view help,
                       double value) {
  this->Family(name, MetricType::kGauge, help);
  this->Sample("", value);
}

std::string MetricLabel(std::string_view name, std::string_view value) {
  std::string label(name);
  label.append("=\"");
  for (const char character : value) {
    if (character == '\n') {
      label.append("\\n");
      continue;
    }
    if (character == '"' || character == '\\') label.push_back('\\');
    label.push_back(character);
  }
  label.push_back('"');
  return label;
}

}  // namespace burdockwheel::telemetry
