#pragma once

namespace currantbeam {

/// How many retries may be made, by one host or by several together.
struct RetryLimits {
  double share = 0.1;  ///< Retries for each request.
  double burst = 20;   ///< Retries that may be saved up.

  /// @return what one of `hosts` hosts may make of these, so that all of them
  ///   together keep below these limits.
  [[nodiscard]] auto PerHost(int hosts) const -> RetryLimits;
};

/// Bounds retries to a share of the requests seen, so that retries cannot
/// feed an overload.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryLimits& limits = RetryLimits())
      : limits(limits), tokens(limits.burst) {}

  /// Retries that were saved up beyond the new limits are forfeit; what may be
  /// saved up in addition counts as saved.
  auto SetLimits(const RetryLimits& limits) -> void;
  auto OnRequest() -> void;
  /// @return true if a retry may be made now; it is then counted.
  auto TryRetry() -> bool;

 private:
  auto Trim() -> void;

  RetryLimits limits;
  double tokens;
};

}  // namespace currantbeam
