#include "store/read_race.h"

#include <utility>

namespace currantbeam {
namespace {

/// The calls have timeouts of their own, which are shorter.
constexpr auto kMaxWait = std::chrono::minutes(2);

}  // namespace

auto ReadRace::Start(Call call) -> void {
  ++this->state->in_flight;
  FiberLoop::Current().Spawn(
      [state = this->state, call = std::move(call)] { Run(state, call); });
}

auto ReadRace::Run(const std::shared_ptr<State>& state, const Call& call)
    -> void {
  const auto is_first = [&] { return !state->batch && !state->history_lost; };
  try {
    auto batch = call();
    if (is_first()) state->batch = std::move(batch);
  } catch (const HistoryLost&) {
    if (is_first()) state->history_lost = std::current_exception();
  } catch (const std::exception& error) {
    // Whoever waits for the call would otherwise wait for good.
    if (state->error.empty()) state->error = error.what();
  }
  --state->in_flight;
  state->has_changed.Notify();
}

auto ReadRace::WaitFor(const Clock& clock, Duration max_wait) -> void {
  const auto deadline = clock.Now() + max_wait;
  while (!this->IsOver()) {
    const auto remaining = deadline - clock.Now();
    if (remaining <= Duration(0)) return;
    this->state->has_changed.WaitFor(remaining);
  }
}

auto ReadRace::Wait() -> void {
  while (!this->IsOver()) this->state->has_changed.WaitFor(kMaxWait);
}

auto ReadRace::HasResponse() const -> bool {
  return this->state->batch || this->state->history_lost;
}

auto ReadRace::IsOver() const -> bool {
  return this->HasResponse() || this->state->in_flight == 0;
}

auto ReadRace::Take() -> RowBatch {
  if (this->state->history_lost) {
    std::rethrow_exception(this->state->history_lost);
  }
  if (!this->state->batch) throw StoreError(this->state->error);
  return std::move(*this->state->batch);
}

}  // namespace currantbeam
