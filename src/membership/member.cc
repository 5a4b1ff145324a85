#include "membership/member.h"

namespace burdockwheel::membership {

std::string_view MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kGone:
      return "gone";
  }
  return "unknown";
}

}  // namespace burdockwheel::membership
