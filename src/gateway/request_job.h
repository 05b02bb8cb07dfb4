#pragma once

#include <algorithm>
#include <string>

#include "core/core.h"
#include "http/http.h"
#include "routing/routing.h"

namespace currantbeam {

/// One request while a gateway routes, queues and sends it.
struct RequestJob {
  const HttpRequest* request = nullptr;
  ServiceName service;
  RequestClass request_class;
  NeighbourName neighbour;
  std::string key;
  std::uint64_t hash = 0;
  std::string idempotency_key;
  TimePoint arrived;
  TimePoint deadline;
  Duration queue_time{0};  ///< Set once a slot was granted.
};

/// The route was out of date. The request was not run and may be retried.
class RerouteError : public RequestError {
 public:
  explicit RerouteError(const std::string& what)
      : RequestError(Verdict::kNotRun, what) {}
};

/// The request was rejected at admission, or its deadline passed in the queue.
/// It was not run.
class OverloadError : public RequestError {
 public:
  OverloadError(const std::string& what, Duration retry_after)
      : RequestError(Verdict::kNotRun, what), retry_after(retry_after) {}
  [[nodiscard]] auto RetryAfter() const -> Duration {
    return this->retry_after;
  }

 private:
  Duration retry_after;
};

/// The backend server shed the request for lack of capacity. It was not run.
class ShedError : public OverloadError {
 public:
  explicit ShedError(const std::string& what)
      : OverloadError(what, std::chrono::seconds(1)) {}
};

/// @return the time from now to the deadline; not positive after it.
inline auto TimeLeft(TimePoint deadline, TimePoint now)
    -> std::chrono::milliseconds {
  return std::chrono::ceil<std::chrono::milliseconds>(deadline - now);
}

}  // namespace currantbeam
