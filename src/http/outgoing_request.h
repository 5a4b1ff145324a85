// A request as it is written to a worker.
#pragma once

#include <string>

namespace burdockwheel::http {

struct OutgoingRequest {
  std::string bytes;
  bool is_head = false;
  // Tells the answer to it from others; empty if answers carry no id.
  std::string request_id;
};

}  // namespace burdockwheel::http
