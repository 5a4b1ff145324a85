// Why a transport could not be set up.
#pragma once

namespace burdockwheel::peer {

enum class TransportFailure {
  kBadAddress,    // not an IP number and port of this host
  kAddressInUse,  // another process listens there
  kNoResources,   // out of memory or open files
};

}  // namespace burdockwheel::peer
