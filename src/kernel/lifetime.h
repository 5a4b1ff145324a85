// Callbacks that end with the object that they call.
#pragma once

#include <memory>
#include <utility>
#include <variant>

namespace burdockwheel::kernel {

// A member of an object whose callbacks may wait in an event loop when the
// object ends: a completed operation can no longer be cancelled. The object
// has to end on the thread that runs the loop.
class Lifetime {
 public:
  Lifetime() = default;
  Lifetime(const Lifetime&) = delete;
  Lifetime& operator=(const Lifetime&) = delete;

  // Returns `callback` in a form that does nothing once this object is gone.
  template <typename Callback>
  auto Guard(Callback callback) const {
    return [watched = std::weak_ptr<const std::monostate>(this->token),
            callback = std::move(callback)](auto&&... arguments) mutable {
      if (watched.expired()) return;
      callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<const std::monostate> token =
      std::make_shared<const std::monostate>();
};

}  // namespace burdockwheel::kernel
