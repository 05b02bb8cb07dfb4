#include "policy/server_queue.h"

#include <algorithm>
#include <cmath>

namespace currantbeam {

ServerQueue::ServerQueue(int slots, TimePoint now) : limit(slots, now) {}

auto ServerQueue::LongWorkLimit() const -> int {
  const auto slots = this->limit.Limit();
  if (slots < 2) return 1;
  const auto reserved = static_cast<int>(
      std::lround(std::ceil(this->short_work_reserve * slots)));
  return std::max(1, slots - std::max(1, reserved));
}

auto ServerQueue::CanStartLongWork() const -> bool {
  return this->running_long < this->LongWorkLimit();
}

auto ServerQueue::Queued() const -> std::size_t {
  std::size_t queued = 0;
  for (const auto& [key, flow] : this->flows) {
    queued += flow.short_work.size() + flow.long_work.size();
  }
  return queued;
}

auto ServerQueue::PredictWait(const FlowKey& key, const WorkItem& item) const
    -> Duration {
  // The backlog of the flow, served at the flow's share of the server.
  double active = item.weight;
  Duration ahead{0};
  Duration total{0};
  for (const auto& [other, flow] : this->flows) {
    total += flow.backlog;
    if (other == key) {
      ahead = flow.backlog;
    } else if (!flow.IsEmpty()) {
      active += flow.weight;
    }
  }
  const double slots =
      item.is_long ? this->LongWorkLimit() : this->limit.Limit();
  const double rate = slots * item.weight / active;
  const auto wait_by_share = static_cast<double>(ahead.count()) / rate;
  // Other flows can't delay it by more than their own backlog.
  const auto wait_by_total = static_cast<double>(total.count()) / slots;
  return Duration(
      static_cast<std::int64_t>(std::min(wait_by_share, wait_by_total)));
}

auto ServerQueue::Start(const WorkItem& item) -> void {
  this->running.emplace(item.id, item.is_long);
  if (item.is_long) ++this->running_long;
}

auto ServerQueue::Offer(const WorkItem& item, TimePoint now,
                        Duration& retry_after) -> Admission {
  const FlowKey key{item.class_name, item.neighbour};
  const auto wait = this->PredictWait(key, item);
  const bool too_late = now + wait + item.expected > item.deadline;
  if (too_late || wait > item.max_wait) {
    retry_after = wait;
    return Admission::kRefused;
  }
  auto& flow = this->flows[key];
  if (flow.IsEmpty()) {
    flow.virtual_time = std::max(flow.virtual_time, this->virtual_time);
  }
  flow.weight = item.weight;
  flow.backlog += item.expected;
  (item.is_long ? flow.long_work : flow.short_work).push_back(item);
  return Admission::kQueued;
}

auto ServerQueue::PickFlow() -> Flow* {
  Flow* best = nullptr;
  for (auto& [key, flow] : this->flows) {
    const bool has_long = !flow.long_work.empty() && this->CanStartLongWork();
    if (flow.short_work.empty() && !has_long) continue;
    if (best == nullptr || flow.virtual_time < best->virtual_time) {
      best = &flow;
    }
  }
  return best;
}

auto ServerQueue::StartQueued(TimePoint now) -> std::vector<std::uint64_t> {
  std::vector<std::uint64_t> started;
  const auto slots = static_cast<std::size_t>(this->limit.Limit());
  while (this->running.size() < slots) {
    auto* flow = this->PickFlow();
    if (flow == nullptr) break;
    const bool has_long = !flow->long_work.empty() && this->CanStartLongWork();
    const bool starts_long =
        has_long &&
        (flow->short_work.empty() ||
         flow->long_work.front().enqueued < flow->short_work.front().enqueued);
    auto& queue = starts_long ? flow->long_work : flow->short_work;
    const auto item = queue.front();
    queue.pop_front();
    flow->backlog -= item.expected;
    this->virtual_time = std::max(this->virtual_time, flow->virtual_time);
    // A request whose deadline has passed is started too, so that its waiter
    // is notified; its flow is not charged for it.
    if (now < item.deadline) {
      flow->virtual_time +=
          static_cast<double>(item.expected.count()) / flow->weight;
    }
    this->Start(item);
    started.push_back(item.id);
  }
  return started;
}

auto ServerQueue::Finish(std::uint64_t id) -> void {
  const auto found = this->running.find(id);
  if (found == this->running.end()) return;
  if (found->second) --this->running_long;
  this->running.erase(found);
}

auto ServerQueue::CancelQueued(std::uint64_t id) -> bool {
  for (auto& [key, flow] : this->flows) {
    for (auto* queue : {&flow.short_work, &flow.long_work}) {
      const auto found =
          std::find_if(queue->begin(), queue->end(),
                       [id](const WorkItem& item) { return item.id == id; });
      if (found == queue->end()) continue;
      flow.backlog -= found->expected;
      queue->erase(found);
      return true;
    }
  }
  return false;
}

}  // namespace currantbeam
