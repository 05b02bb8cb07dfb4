#pragma once

#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "runtime/runtime.h"
#include "store/store_client.h"

namespace currantbeam {

/// Calls that read the same rows in different ways, of which the first response
/// counts. A call that is still in flight when the race is destroyed ends by
/// itself. Runs on one loop.
class ReadRace {
 public:
  using Call = std::function<RowBatch()>;

  /// Starts a call in a fiber of its own.
  auto Start(Call call) -> void;
  /// Waits until there is a response or all calls have failed, for at most this
  /// long.
  auto WaitFor(const Clock& clock, Duration max_wait) -> void;
  /// Waits until there is a response or all calls have failed.
  auto Wait() -> void;
  /// @return whether a call has responded or all of them have failed.
  [[nodiscard]] auto IsOver() const -> bool;
  /// @return whether a call has responded.
  [[nodiscard]] auto HasResponse() const -> bool;
  /// @return the first response.
  /// @throws HistoryLost if the first response says so.
  /// @throws StoreError if all calls have failed, with the first error.
  auto Take() -> RowBatch;

 private:
  struct State {
    std::optional<RowBatch> batch;
    std::exception_ptr history_lost;
    std::string error;  ///< Of the first call that failed.
    int in_flight = 0;
    FiberEvent has_changed;
  };

  static auto Run(const std::shared_ptr<State>& state, const Call& call)
      -> void;

  std::shared_ptr<State> state = std::make_shared<State>();
};

}  // namespace currantbeam
