#include "stand_ins/load/answer_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "stand_ins/common/token_bytes.h"

namespace burdockwheel::stand_ins {
namespace {

char Lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                        : letter;
}

// Field names are compared without regard to case (RFC 9110, section 5.1).
bool IsField(std::string_view name, std::string_view expected) {
  return std::equal(
      name.begin(), name.end(), expected.begin(), expected.end(),
      [](char left, char right) { return Lower(left) == Lower(right); });
}

}  // namespace

void AnswerCheck::ReadField(std::string_view name, std::string_view value) {
  if (IsField(name, kEchoTokenField)) {
    const bool is_own = ParseTokenOrNull(value) == this->token;
    (is_own ? this->has_token : this->has_other_token) = true;
  } else if (IsField(name, "Content-Type")) {
    this->is_problem = value.starts_with("application/problem+json");
  } else if (IsField(name, "Idempotency-Key")) {
    this->key = value;
  } else if (IsField(name, "Burdockwheel-Run")) {
    this->is_stated_not_run = value == "not-run";
  }
}

void AnswerCheck::ReadBody(std::string_view bytes) {
  if (this->is_problem) {
    if (this->problem.size() < kMostProblemBytes) this->problem += bytes;
    return;
  }
  if (!IsTokenBytes(this->token, this->body_bytes, bytes))
    this->has_other_bytes = true;
  this->body_bytes += bytes.size();
}

bool AnswerCheck::IsOwn() const {
  return this->has_token && !this->IsForeign() &&
         this->body_bytes == this->expected_bytes;
}

bool AnswerCheck::IsForeign() const {
  return this->has_other_token || (this->has_token && this->has_other_bytes);
}

ToldRun AnswerCheck::Run() const {
  if (this->is_stated_not_run) return ToldRun::kNotRun;
  if (!this->is_problem) return ToldRun::kNothing;
  return this->ProblemMember("run") == "not-run" ? ToldRun::kNotRun
                                                 : ToldRun::kUnknown;
}

std::string AnswerCheck::ProblemName() const {
  const std::string type = this->ProblemMember("type");
  const std::size_t slash = type.find_last_of("/:#");
  return slash == std::string::npos ? type : type.substr(slash + 1);
}

std::string AnswerCheck::ProblemMember(const char* name) const {
  const auto json = nlohmann::json::parse(this->problem, nullptr, false);
  if (!json.is_object()) return {};
  const auto member = json.find(name);
  if (member == json.end() || !member->is_string()) return {};
  return member->get<std::string>();
}

}  // namespace burdockwheel::stand_ins
