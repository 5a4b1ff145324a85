// The platform stand-in: a metadata store that can be read and watched.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "kernel/result.h"
#include "stand_ins/common/http_server.h"

namespace burdockwheel::stand_ins {

// Answers GET /kv-key, /kv-range and /kv-watch as the platform's page says.
// Tests write by PUT and DELETE /items?key=KEY (the body is the value), change
// how the store behaves by POST /control, and read from GET /counts how often
// it was called. Members of the control object, each optional:
//   down           answers 503
//   closing        closes connections without an answer
//   silent         never answers
//   slow_ms        waits so long before each answer
//   bytes_per_second  sends answers no faster; 0: at once
//   lose_answers   of so many calls, the answer is lost and the connection
//                  returns nothing further
//   refuse_from    IP numbers whose calls are answered 503
//   page_items     items on a page at most
//   era            told in the header Store-Era; 0: not
//   revision       raises the revision counter to this
//   compact        true: forgets the history and cuts the waiting watches
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
