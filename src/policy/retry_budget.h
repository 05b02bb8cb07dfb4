#pragma once

namespace currantbeam {

/// Bounds retries to a share of the requests seen, so that retries cannot
/// feed an overload.
class RetryBudget {
 public:
  /// @param share  retries allowed for each request.
  /// @param burst  retries that may be saved up.
  explicit RetryBudget(double share = 0.1, double burst = 20)
      : share(share), burst(burst), tokens(burst) {}

  auto OnRequest() -> void;
  /// @return true if a retry may be made now; it is then counted.
  auto TryRetry() -> bool;

 private:
  double share;
  double burst;
  double tokens;
};

}  // namespace currantbeam
