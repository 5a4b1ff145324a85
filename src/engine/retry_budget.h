// Bounds the load that retries and hedges of one service add.
#pragma once

namespace burdockwheel::engine {

// What a further attempt is made for; decides its price.
enum class ExtraAttempt {
  // The worker itself failed the attempt: only the nearest host sees that.
  kRetryOfFailure,
  // The worker answered with a server error, which may have come from a level
  // below where it has been tried again already.
  kRetryOfErrorAnswer,
  // A second attempt beside a slow one.
  kHedge,
};

struct RetryBudgetSettings {
  // The most levels of calls that one call from outside leads through.
  double max_levels = 6;
  double max_tokens = 30;      // that can be saved up
  double initial_tokens = 10;  // at the start
};

// A token bucket in the manner of the retry throttle of gRPC (A6): tokens are
// earned by first tries that succeed (Google SRE book, chapter 21: a share of
// them) and spent on further attempts, so that a total outage, in which nothing
// succeeds, ends further attempts altogether.
class RetryBudget {
 public:
  // `share`: tokens earned by each first try that succeeds.
  RetryBudget(const RetryBudgetSettings& settings, double share);

  void UpdateShare(double share);

  // Bounds the tokens that can be saved up; what is beyond is lost.
  void UpdateMaxTokens(double max_tokens);

  // A first try was answered without a server error.
  void RecordFirstTrySuccess();

  // Pays for one further attempt; false if it must not be made.
  bool TrySpend(ExtraAttempt extra);

  double Tokens() const { return this->tokens; }

  // Lets every further attempt pass; for tests that show what the budget does.
  void DisableForTest() { this->is_enforced = false; }

 private:
  double CostOf(ExtraAttempt extra) const;

  RetryBudgetSettings settings;
  double share;
  double tokens;
  bool is_enforced = true;
};

}  // namespace burdockwheel::engine
