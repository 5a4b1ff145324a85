// The platform stand-in: a configuration service that can be read and watched,
// and a list of hosts that lags.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "kernel/result.h"
#include "stand_ins/common/http_server.h"

namespace burdockwheel::stand_ins {

// GET /configuration and GET /hosts answer the published document; with
// "?after=V&wait_ms=N" they wait until a newer one is there, and answer 204 if
// none comes. PUT publishes, POST /control changes how the platform behaves,
// and GET /counts tells how often it was called.
class Platform {
 public:
  explicit Platform(boost::asio::io_context& context);
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;
  ~Platform();

  // Returns the port.
  [[nodiscard]] kernel::Result<std::uint16_t, ListenFailure> TryListen(
      const std::string& address);

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace burdockwheel::stand_ins
