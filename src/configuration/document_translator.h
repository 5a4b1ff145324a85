// Reads configurations that were written in another form than the product's.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/adjusted_value.h"
#include "kernel/plugin_registry.h"
#include "kernel/result.h"

namespace burdockwheel::configuration {

// Why a configuration could not be translated, such as "member-missing".
struct TranslationFault {
  std::string name;
};

// The product's own document, and what it states otherwise than the original.
struct TranslatedDocument {
  std::string text;
  std::vector<AdjustedValue> adjusted;
};

class DocumentTranslator {
 public:
  virtual ~DocumentTranslator() = default;

  // Returns the product's own document, a fault, or nothing if the text is not
  // of this form.
  virtual std::optional<kernel::Result<TranslatedDocument, TranslationFault>>
  TryTranslate(std::string_view text) const = 0;
};

using DocumentTranslatorRegistry = kernel::PluginRegistry<DocumentTranslator>;

}  // namespace burdockwheel::configuration
