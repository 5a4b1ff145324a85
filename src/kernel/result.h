// The outcome of a call that can fail.
#pragma once

#include <utility>
#include <variant>

namespace burdockwheel::kernel {

// Holds either the value of a call that succeeded or the typed failure of one
// that did not.
template <typename ValueType, typename FailureType>
class [[nodiscard]] Result : public std::variant<ValueType, FailureType> {
 public:
  using std::variant<ValueType, FailureType>::variant;

  bool HasValue() const { return this->index() == 0; }

  // Precondition: HasValue().
  const ValueType& Value() const& { return std::get<0>(*this); }
  ValueType& Value() & { return std::get<0>(*this); }
  ValueType&& Value() && { return std::get<0>(std::move(*this)); }

  // Precondition: !HasValue().
  const FailureType& Failure() const { return std::get<1>(*this); }
};

}  // namespace burdockwheel::kernel
