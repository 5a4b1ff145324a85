#include "spread/publication_fetch.h"

namespace burdockwheel::spread {

PublicationFetch::Progress PublicationFetch::Take(
    const ConfigurationPart& part) {
  const bool is_whole = part.base.version == 0;
  if (!is_whole && !(part.base == this->request.base))
    return Progress::kIgnored;
  if (!(part.stamp == this->request.wanted)) {
    // The peer has gone on to a later one; begin again with that.
    if (part.stamp < this->request.wanted || part.part != 0)
      return Progress::kIgnored;
    this->request.wanted = part.stamp;
    this->request.part = 0;
    this->bytes.clear();
  }
  if (part.part != this->request.part) return Progress::kIgnored;
  if (part.part == 0) this->base = part.base;
  if (!(part.base == this->base)) return Progress::kIgnored;
  this->bytes += part.bytes;
  if (part.part + 1 == part.part_count) return Progress::kComplete;
  ++this->request.part;
  return Progress::kMoreWanted;
}

}  // namespace burdockwheel::spread
