// Single requests of test programs, such as to a control address.
#pragma once

#include <chrono>
#include <string>

#include "kernel/result.h"

namespace burdockwheel::stand_ins {

struct HttpReply {
  int status = 0;
  std::string body;
};

enum class HttpClientFailure { kNoConnection, kNoAnswer };

inline constexpr std::chrono::milliseconds kHttpClientTimeout{2000};

// Sends one request on a connection of its own and waits for the answer, at
// most kHttpClientTimeout.
kernel::Result<HttpReply, HttpClientFailure> TryHttpRequest(
    const std::string& address, const std::string& method,
    const std::string& target, const std::string& body = {});

}  // namespace burdockwheel::stand_ins
