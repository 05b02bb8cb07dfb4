#pragma once

#include <cstdint>
#include <string>

namespace currantbeam {

/// Writes lines to a file descriptor without ever waiting for its reader:
/// lines for which there is no room are dropped.
class LogOutput {
 public:
  explicit LogOutput(int descriptor) : descriptor(descriptor) {}

  /// @return false if the line was dropped.
  auto Add(const std::string& line) -> bool;
  /// Writes what the reader has room for.
  auto Flush() -> void;
  /// @return bytes that are not written yet.
  [[nodiscard]] auto Pending() const -> std::size_t {
    return this->pending.size();
  }

 private:
  int descriptor;
  std::string pending;
};

}  // namespace currantbeam
