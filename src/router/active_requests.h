#pragma once

#include <cstddef>
#include <set>

namespace currantbeam {

struct RequestContext;

/// The requests that are being forwarded on one loop; those that are still
/// being received from their clients are not among them.
class ActiveRequests {
 public:
  auto Add(RequestContext& request) -> void { this->requests.insert(&request); }
  auto Remove(RequestContext& request) -> void {
    this->requests.erase(&request);
  }
  /// @return the number of requests.
  [[nodiscard]] auto Count() const -> std::size_t {
    return this->requests.size();
  }
  /// Cancels the wait for a server's response of each request whose own
  /// response has not begun; they then respond with an error.
  auto CancelAttempts() const -> void;
  /// Logs each request, as the end of the process cuts it off.
  auto LogCut() const -> void;

 private:
  std::set<RequestContext*> requests;
};

}  // namespace currantbeam
