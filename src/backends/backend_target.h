#pragma once

#include <algorithm>
#include <memory>
#include <optional>

#include "backends/backend_entry.h"
#include "backends/typical_latency.h"
#include "policy/policy.h"

namespace currantbeam {

/// What this gateway has seen of one backend server, and how much it gives it.
class BackendLoad {
 public:
  /// @param typical  of the service; shared by its servers.
  BackendLoad(int slots, std::shared_ptr<TypicalLatency> typical,
              TimePoint now);

  [[nodiscard]] auto InFlight() const -> int { return this->in_flight; }
  [[nodiscard]] auto Limit() const -> double { return this->limit; }
  /// @return the latency to expect of one more request.
  [[nodiscard]] auto ExpectedLatency(TimePoint now) const -> Duration;
  /// @return in which time one more request of this gateway is answered.
  [[nodiscard]] auto AnswerInterval(TimePoint now) const -> Duration;
  /// @return whether the server is left out for its failures for now.
  [[nodiscard]] auto IsEjected(TimePoint now) const -> bool {
    return now < this->ejected_until;
  }
  /// @return whether one more request may be sent. A limit below one lets a
  ///   part of the requests through: many gateways may share few slots.
  [[nodiscard]] auto Admit() -> bool;
  /// @return whether Admit would, leaving aside limits below one.
  [[nodiscard]] auto HasRoom() const -> bool {
    return this->in_flight < std::max(static_cast<int>(this->limit), 1);
  }

  /// Bounds what is out at a time by the number of gateways that may send to
  /// the server.
  auto ShareAmong(int gateways) -> void;

  auto OnSent() -> void { ++this->in_flight; }
  /// @param target  the latency that the request should have had.
  auto OnAnswer(TimePoint now, Duration latency, Duration target) -> void;
  /// The server, or the way to it, refused for lack of room.
  auto OnRefused(TimePoint now) -> void;
  /// The server failed a request, or could not be reached.
  auto OnFailure(TimePoint now) -> void;
  /// Another server answers at its address: this one has gone.
  auto OnReplaced(TimePoint now) -> void;
  /// The request was given up here; it says nothing of the server.
  auto OnAbandoned() -> void { --this->in_flight; }

 private:
  auto Decrease(TimePoint now, double factor) -> void;

  int slots;
  int in_flight = 0;
  int failures_in_row = 0;
  double most;  ///< The limit is never above this.
  double limit;
  double credit = 0;  ///< Towards the next request, while limit is below one.
  std::optional<double> latency_us;  ///< Average of its answers.
  std::shared_ptr<TypicalLatency> typical;
  TimePoint last_decrease;
  TimePoint last_answer;
  TimePoint ejected_until;
  Duration ejection{0};
};

/// A backend server that requests may be sent to.
struct BackendTarget {
  BackendEntry entry;
  BackendLoad load;
  RetryAfterScheduler retry_scheduler;  ///< Of clients that it had no room for.
};

using BackendTargetPtr = std::shared_ptr<BackendTarget>;

}  // namespace currantbeam
