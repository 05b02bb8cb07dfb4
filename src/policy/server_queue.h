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
  ClassName work;
  NeighbourName neighbour;
  double weight = 1;     ///< Of its class and neighbour together.
  Duration expected{0};  ///< Expected service time.
  bool is_long = false;
  TimePoint enqueued;
  TimePoint deadline;    ///< By when the answer is needed.
  Duration patience{0};  ///< Longest wait that is worth queueing for.
};

/// What became of a request that was offered.
enum class Admission { kQueued, kRefused };

/// The only queue in front of one backend server. Orders work by weighted
/// fair queueing over (class, neighbour), keeps slots free of long work for
/// short work, and refuses at once what would wait too long. Thread-safe only
/// under its owner's lock.
class ServerQueue {
 public:
  ServerQueue(int slots, TimePoint now);

  /// Offers a request.
  /// @param retry_after  set if it is refused: when it may be worth retrying.
  auto Offer(const WorkItem& item, TimePoint now, Duration& retry_after)
      -> Admission;
  /// Ends a started request, freeing its slot.
  auto Finish(std::uint64_t id) -> void;
  /// Takes a queued request out.
  /// @return false if it was not queued.
  auto Withdraw(std::uint64_t id) -> bool;
  /// @return queued requests that may start now; they hold slots from here.
  auto TakeStartable(TimePoint now) -> std::vector<std::uint64_t>;

  auto Limit() -> ConcurrencyLimit& { return this->limit; }
  /// Sets the share of slots, at least one if there are two, kept from long
  /// work.
  auto SetReserve(double share) -> void { this->reserve_share = share; }
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
    Duration backlog{0};

    [[nodiscard]] auto IsEmpty() const -> bool {
      return this->short_work.empty() && this->long_work.empty();
    }
  };

  [[nodiscard]] auto LongLimit() const -> int;
  [[nodiscard]] auto MayStartLong() const -> bool;
  [[nodiscard]] auto PredictWait(const FlowKey& key, const WorkItem& item) const
      -> Duration;
  [[nodiscard]] auto PickFlow() -> Flow*;
  auto Start(const WorkItem& item) -> void;

  ConcurrencyLimit limit;
  double reserve_share = 0.5;
  std::map<FlowKey, Flow> flows;
  double virtual_time = 0;
  std::map<std::uint64_t, bool> running;  ///< By id; true for long work.
  int running_long = 0;
};

}  // namespace currantbeam
