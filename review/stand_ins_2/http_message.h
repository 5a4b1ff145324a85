// HTTP messages as the stand-ins of the second review read and write them.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockwheel::review {

struct HttpMessage {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Returns the value of the first header of this name, or null.
  const std::string* HeaderOrNull(std::string_view name) const;

  // The second word of the start line: a request's target, an answer's status.
  std::string SecondWord() const;
};

// Takes one whole message off the front of `bytes`; its body needs a
// Content-Length. Returns nothing while it is not whole.
std::optional<HttpMessage> TakeMessage(std::string& bytes);

// Writes an answer with the length of `body`. `headers` are whole lines.
std::string MakeAnswer(int status, const std::string& headers,
                       const std::string& body);

// Returns the decoded value of a parameter of the target's query.
std::optional<std::string> QueryValueOrNull(const std::string& target,
                                            const std::string& name);

std::string Base64(const std::string& bytes);

}  // namespace burdockwheel::review
