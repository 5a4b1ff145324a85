#include "publication/publication_source.h"

namespace burdockwheel::publication {

std::string_view ReadFailureName(ReadFailure failure) {
  switch (failure) {
    case ReadFailure::kUnreachable:
      return "unreachable";
    case ReadFailure::kRefused:
      return "refused";
    case ReadFailure::kHistoryGone:
      return "history-gone";
    case ReadFailure::kTooLarge:
      return "too-large";
    case ReadFailure::kMalformed:
      return "malformed";
  }
  return "unspecified";
}

}  // namespace burdockwheel::publication
