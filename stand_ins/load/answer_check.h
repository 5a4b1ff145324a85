// Looks at an answer as it arrives and tells whether it is the caller's own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace burdockwheel::stand_ins {

// What the system or a worker states about the running of a call.
enum class ToldRun { kNothing, kNotRun, kUnknown };

class AnswerCheck {
 public:
  AnswerCheck() = default;
  // Expects an answer of `expected_bytes` that follow from `token`.
  AnswerCheck(std::uint64_t token, std::size_t expected_bytes)
      : token(token), expected_bytes(expected_bytes) {}

  void SetStatus(int new_status) { this->status = new_status; }
  void ReadField(std::string_view name, std::string_view value);
  void ReadBody(std::string_view bytes);

  int Status() const { return this->status; }

  // True if the whole body and the token beside it are the call's own.
  // Precondition: the answer has ended.
  bool IsOwn() const;

  // True if the answer carries a token, or a worker's body, of another call.
  // Precondition: the answer has ended.
  bool IsForeign() const;

  // True if the system itself made the answer (RFC 9457).
  bool IsProblem() const { return this->is_problem; }
  ToldRun Run() const;
  // The last segment of the problem's type, such as "overloaded".
  std::string ProblemName() const;
  // The key that came with the answer; empty if none did.
  const std::string& Key() const { return this->key; }

 private:
  static constexpr std::size_t kMostProblemBytes = 4096;

  // Returns a member of the problem document, or an empty string.
  std::string ProblemMember(const char* name) const;

  std::uint64_t token = 0;
  std::size_t expected_bytes = 0;
  int status = 0;
  std::size_t body_bytes = 0;
  bool has_token = false;
  bool has_other_token = false;
  bool has_other_bytes = false;
  bool is_problem = false;
  bool is_stated_not_run = false;
  std::string problem;
  std::string key;
};

}  // namespace burdockwheel::stand_ins
