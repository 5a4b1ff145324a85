// Limits the load that retries and hedges add to one service.
#pragma once

namespace burdockwheel::engine {

// The kind of an extra attempt, which determines its cost in tokens.
enum class ExtraAttempt {
  // The attempt failed without an error answer that could come from a lower
  // level. Only the host that sent the attempt sees this failure.
  kRetryOfFailure,
  // The worker answered with a server error. It may originate from a lower
  // level that has already retried it.
  kRetryOfErrorAnswer,
  // A second attempt concurrent with a slow one.
  kHedge,
};

struct RetryBudgetSettings {
  // The maximum depth of nested calls that one external call causes.
  double max_levels = 6;
  double max_tokens = 30;      // token capacity
  double initial_tokens = 10;  // tokens at the start
};

// A token bucket similar to gRPC's retry throttling (gRFC A6). Successful first
// tries earn a share of a token each (Google SRE book, chapter 21) and extra
// attempts spend tokens, so that extra attempts stop altogether in a total
// outage, in which nothing succeeds.
class RetryBudget {
 public:
  // `share`: tokens earned by each successful first try.
  RetryBudget(const RetryBudgetSettings& settings, double share);

  void UpdateShare(double share);

  // Sets the token capacity; tokens above it are dropped.
  void UpdateMaxTokens(double max_tokens);

  // Adds the tokens earned by a first try that was answered without a server
  // error.
  void RecordFirstTrySuccess();

  // Spends the tokens for one extra attempt. Returns false, and spends none, if
  // there are too few; the attempt must not be made then.
  bool TrySpend(ExtraAttempt extra);

  double Tokens() const { return this->tokens; }

  // Allows every extra attempt, so that tests can show what the budget
  // prevents.
  void DisableForTest() { this->is_enforced = false; }

 private:
  double CostOf(ExtraAttempt extra) const;

  RetryBudgetSettings settings;
  double share;
  double tokens;
  bool is_enforced = true;
};

}  // namespace burdockwheel::engine
