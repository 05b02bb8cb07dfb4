#include "core/log_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace currantbeam {
namespace {

/// Size of the buffer for a slow reader.
constexpr std::size_t kMaxPendingBytes = 256 * 1024;

}  // namespace

auto LogOutput::Add(const std::string& line) -> bool {
  if (this->pending.size() + line.size() > kMaxPendingBytes) return false;
  this->pending += line;
  return true;
}

auto LogOutput::Flush() -> void {
  std::size_t written = 0;
  while (written < this->pending.size()) {
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    pollfd ready{this->descriptor, POLLOUT, 0};
    if (::poll(&ready, 1, 0) <= 0 || ready.revents != POLLOUT) break;
    const auto part =
        std::min<std::size_t>(this->pending.size() - written, PIPE_BUF);
    const auto done =
        ::write(this->descriptor, this->pending.data() + written, part);
    if (done <= 0) break;
    written += static_cast<std::size_t>(done);
  }
  this->pending.erase(0, written);
}

}  // namespace currantbeam
