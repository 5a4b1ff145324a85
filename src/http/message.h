// HTTP messages (RFC 9110) as the rest of a host sees them: whole, with their
// bodies.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace burdockwheel::http {

struct Header {
  std::string name;
  std::string value;
};

struct Request {
  std::string method;
  std::string target;  // origin form (RFC 9112, 3.2.1), begins with "/"
  std::vector<Header> headers;
  std::string body;
};

struct Answer {
  int status = 200;
  std::vector<Header> headers;
  std::string body;
};

// Tells whether two header names or tokens are equal, ignoring ASCII case.
bool IsSameToken(std::string_view left, std::string_view right);

// Returns the value of the first header with this name, or null.
const std::string* HeaderOrNull(const std::vector<Header>& headers,
                                std::string_view name);

// Removes every header with this name.
void RemoveHeader(std::vector<Header>& headers, std::string_view name);

}  // namespace burdockwheel::http
