// A connection on which a load generator sends one request at a time.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kernel/instant.h"
#include "stand_ins/load/answer_check.h"
#include "stand_ins/load/call_verdict.h"
#include "stand_ins/load/load_call.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace burdockwheel::stand_ins {

// A request that waits for its connection or its answer.
struct PendingSend {
  std::unique_ptr<LoadCall> call;
  std::string request;
  AnswerCheck check;
  bool is_head = false;
  kernel::Instant deadline;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  // Called once for each send; the connection may then be used again if
  // IsReusable().
  using OnEnded = std::function<void(const std::shared_ptr<CallerConnection>&,
                                     SendResult, PendingSend)>;

  static std::shared_ptr<CallerConnection> Create(
      boost::asio::io_context& context, const std::string& address,
      OnEnded on_ended);

  CallerConnection() = default;
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;
  virtual ~CallerConnection() = default;

  // Connects first if need be. Precondition: no send is open.
  virtual void Send(PendingSend send) = 0;

  virtual bool IsReusable() const = 0;

  // Ends the open send, if its deadline has passed, by closing the connection.
  virtual void EndIfLate(kernel::Instant now) = 0;
};

}  // namespace burdockwheel::stand_ins
