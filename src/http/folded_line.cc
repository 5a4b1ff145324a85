#include "http/folded_line.h"

namespace burdockwheel::http {

bool HasFoldedLine(std::string_view lines) {
  constexpr std::string_view kBlanks = " \t";
  for (auto end = lines.find('\n'); end != std::string_view::npos;
       end = lines.find('\n')) {
    lines.remove_prefix(end + 1);
    if (lines.empty()) return false;
    if (kBlanks.find(lines.front()) != std::string_view::npos) return true;
  }
  return false;
}

}  // namespace burdockwheel::http
