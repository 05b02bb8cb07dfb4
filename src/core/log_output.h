#pragma once

#include <cstdint>
#include <string>

namespace currantbeam {

/// Writes lines to a file descriptor without blocking. While the reader is
/// slow, lines are buffered; when the buffer is full, new lines are dropped.
class LogOutput {
 public:
  explicit LogOutput(int descriptor) : descriptor(descriptor) {}

  /// Buffers the line, which has to end with a newline.
  /// @return false if the line was dropped.
  auto Add(const std::string& line) -> bool;
  /// Writes as much of the buffer as the descriptor accepts without blocking.
  auto Flush() -> void;
  /// @return the number of buffered bytes.
  [[nodiscard]] auto PendingBytes() const -> std::size_t {
    return this->pending.size();
  }

 private:
  int descriptor;
  std::string pending;
};

}  // namespace currantbeam
