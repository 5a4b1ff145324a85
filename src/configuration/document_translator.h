// Reads configurations that were written in another form than the product's.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "kernel/plugin_registry.h"
#include "kernel/result.h"

namespace burdockwheel::configuration {

// Why a configuration could not be translated, such as "member-missing".
struct TranslationFault {
  std::string name;
};

class DocumentTranslator {
 public:
  virtual ~DocumentTranslator() = default;

  // Returns the product's own document, a fault, or nothing if the text is not
  // of this form.
  virtual std::optional<kernel::Result<std::string, TranslationFault>>
  TryTranslate(std::string_view text) const = 0;
};

using DocumentTranslatorRegistry = kernel::PluginRegistry<DocumentTranslator>;

}  // namespace burdockwheel::configuration
