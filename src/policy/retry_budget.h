#pragma once

namespace currantbeam {

/// Limits on retries, of one host or of the whole fleet.
struct RetryLimits {
  double ratio = 0.1;  ///< Retries per request.
  double burst = 20;   ///< Most retries that may be accumulated.

  /// @return the limits of each of `hosts` hosts, chosen so that all of them
  ///   together stay below these limits.
  [[nodiscard]] auto PerHost(int hosts) const -> RetryLimits;
};

/// A token bucket that bounds retries to a ratio of the requests, so that
/// retries cannot amplify an overload. It starts with a full burst.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryLimits& limits = RetryLimits())
      : limits(limits), tokens(limits.burst) {}

  /// Replaces the limits. A larger burst adds the difference in tokens; tokens
  /// beyond a smaller burst are discarded.
  auto SetLimits(const RetryLimits& limits) -> void;
  /// Records a request, which earns `ratio` of a token.
  auto OnRequest() -> void;
  /// Takes a token for one retry.
  /// @return false if no retry may be made now.
  auto TryRetry() -> bool;

 private:
  auto CapTokens() -> void;

  RetryLimits limits;
  double tokens;
};

}  // namespace currantbeam
