#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/core.h"
#include "policy/concurrency_limit.h"

namespace currantbeam {

/// One request waiting for, or holding, a slot of a backend server.
struct WorkItem {
  std::uint64_t id = 0;
  ClassName class_name;
  NeighbourName neighbour;
  double weight = 1;     ///< Product of the class and neighbour weights.
  Duration expected{0};  ///< Expected service time.
  bool is_long = false;  ///< Expected to run much longer than its class.
  TimePoint enqueued;
  TimePoint deadline;    ///< When the response is due.
  Duration max_wait{0};  ///< Refused if the predicted wait is longer.
};

/// The result of offering a request to a ServerQueue.
enum class Admission { kQueued, kRefused };

/// The request queue of one backend server. Orders requests by weighted fair
/// queueing over (class, neighbour) flows, reserves slots for short requests,
/// and refuses at once requests that would wait too long. Not thread-safe: the
/// owner has to hold its lock.
class ServerQueue {
 public:
  ServerQueue(int slots, TimePoint now);

  /// Queues a request, or refuses it if its predicted wait exceeds its maximum
  /// wait or it would miss its deadline.
  /// @param retry_after  set to the predicted wait if the request is refused.
  auto Offer(const WorkItem& item, TimePoint now, Duration& retry_after)
      -> Admission;
  /// Ends a started request and frees its slot. Unknown ids are ignored.
  auto Finish(std::uint64_t id) -> void;
  /// Removes a queued request.
  /// @return false if it is not queued.
  auto CancelQueued(std::uint64_t id) -> bool;
  /// Starts queued requests while slots are free. Requests whose deadline has
  /// passed are started too.
  /// @return the ids of the started requests; each holds a slot until Finish().
  auto StartQueued(TimePoint now) -> std::vector<std::uint64_t>;

  auto Limit() -> ConcurrencyLimit& { return this->limit; }
  /// Sets the fraction of slots that is reserved for short requests. At least
  /// one slot is reserved if there are two or more.
  auto SetShortWorkReserve(double share) -> void {
    this->short_work_reserve = share;
  }
  [[nodiscard]] auto Queued() const -> std::size_t;
  [[nodiscard]] auto Running() const -> std::size_t {
    return this->running.size();
  }

 private:
  using FlowKey = std::pair<ClassName, NeighbourName>;
  struct Flow {
    std::deque<WorkItem> short_work;
    std::deque<WorkItem> long_work;
    double weight = 1;
    double virtual_time = 0;  ///< Start tag of the next request, in us.
    Duration backlog{0};      ///< Expected service time of all queued requests.

    [[nodiscard]] auto IsEmpty() const -> bool {
      return this->short_work.empty() && this->long_work.empty();
    }
  };

  [[nodiscard]] auto LongWorkLimit() const -> int;
  [[nodiscard]] auto CanStartLongWork() const -> bool;
  [[nodiscard]] auto PredictWait(const FlowKey& key, const WorkItem& item) const
      -> Duration;
  [[nodiscard]] auto PickFlow() -> Flow*;
  auto Start(const WorkItem& item) -> void;

  ConcurrencyLimit limit;
  double short_work_reserve = 0.5;
  std::map<FlowKey, Flow> flows;
  double virtual_time = 0;
  std::map<std::uint64_t, bool> running;  ///< By id; true for long requests.
  int running_long = 0;
};

}  // namespace currantbeam
