// A JSON text (RFC 8259) whose values know the lines that they stand on.
#pragma once

#include <cstddef>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "configuration/configuration_fault.h"

namespace burdockwheel::configuration {

class LocatedJson {
 public:
  using LineByPointer = std::unordered_map<std::string, int>;

  // Parses `text`, which may be at most `most_bytes` long and must outlive the
  // result. Appends what is wrong to `faults`. Returns nothing if the text is
  // no JSON; a text that names members twice is returned, so that its other
  // faults can be found.
  static std::optional<LocatedJson> TryParse(std::string_view text,
                                             std::string_view file,
                                             std::size_t most_bytes,
                                             ConfigurationFaults& faults);

  const nlohmann::json& Root() const { return *this->root; }
  const std::string& File() const { return this->file; }

  // Returns the line of the value at `pointer`, or that of its nearest parent
  // that exists. The first call reads the text a second time, so that a text
  // without faults is read fast.
  int LineOf(std::string pointer) const;

 private:
  LocatedJson(std::shared_ptr<const nlohmann::json> root, std::string_view text,
              std::string file);

  std::shared_ptr<const nlohmann::json> root;
  std::string_view text;
  std::string file;
  mutable LineByPointer lines;  // empty as long as none was asked for
};

// Returns `pointer` extended by one reference token, escaped as RFC 6901,
// section 3 says.
std::string ExtendPointer(std::string_view pointer, std::string_view token);

}  // namespace burdockwheel::configuration
