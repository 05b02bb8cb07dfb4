#pragma once

#include <chrono>

namespace currantbeam {

/// Returns the remaining part of a timeout that began when it was constructed;
/// not positive once it has expired.
class RemainingTime {
 public:
  explicit RemainingTime(std::chrono::milliseconds timeout)
      : deadline(std::chrono::steady_clock::now() + timeout) {}
  auto operator()() const -> std::chrono::milliseconds {
    return std::chrono::ceil<std::chrono::milliseconds>(
        this->deadline - std::chrono::steady_clock::now());
  }

 private:
  std::chrono::steady_clock::time_point deadline;
};

}  // namespace currantbeam
