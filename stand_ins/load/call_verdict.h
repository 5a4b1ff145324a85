// What a caller makes of the end of one send.
#pragma once

#include <string>

#include "stand_ins/load/run_check.h"

namespace burdockwheel::stand_ins {

class AnswerCheck;

// How the sending of a request ended.
enum class SendResult {
  kAnswered,
  kConnectFailed,  // nothing was sent
  kLost,           // the connection closed before the answer was whole
  kTimedOut,
  kMalformed,  // the answer broke the rules of HTTP
};

struct CallVerdict {
  std::string label;  // the name in the report, such as "ok"
  ToldOutcome told = ToldOutcome::kUnknown;
  bool is_resend_useful = false;
  bool is_new_key_offered = false;  // the key was refused and a new one came
};

CallVerdict JudgeSend(SendResult result, const AnswerCheck& check);

}  // namespace burdockwheel::stand_ins
