// A listener for callers on a thread of its own, for tests over loopback.
#pragma once

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "http/caller_listener.h"
#include "http/ip_address.h"
#include "http/loopback_fixture_test.h"

namespace burdockwheel::http::testing {

class ListenerFixture : public LoopbackFixture {
 public:
  static constexpr std::size_t kMostSessions = 100;

  explicit ListenerFixture(SessionHooks hooks) : address(FreeAddress()) {
    this->OnThread([this, &hooks] {
      this->listener = std::make_unique<CallerListener>(
          this->context, SessionLimits(), kMostSessions, std::move(hooks));
      BOOST_REQUIRE(this->listener->TryListen(this->address).HasValue());
    });
  }

  // Ends the listener; sessions may refer to members of the derived class,
  // which must call this.
  void EndListener() {
    this->OnThread([this] { this->listener.reset(); });
  }

  std::string address;
  std::unique_ptr<CallerListener> listener;
};

}  // namespace burdockwheel::http::testing
