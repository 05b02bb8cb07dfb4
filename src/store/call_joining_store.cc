#include "store/call_joining_store.h"

namespace currantbeam {
namespace {

/// A call that has no response after this time may have lost it, and others
/// don't wait for it.
constexpr Duration kMaxResponseTime = std::chrono::milliseconds(100);
/// The calls have timeouts of their own, which are shorter.
constexpr auto kMaxCallTime = std::chrono::minutes(2);
constexpr auto kNoWait = std::chrono::milliseconds(0);

}  // namespace

auto CallJoiningStore::Read(const std::string& table,
                            const std::string& partition) -> RowBatch {
  return this->Join({table, partition, std::nullopt, kNoWait},
                    [&] { return this->store.Read(table, partition); });
}

auto CallJoiningStore::Follow(const std::string& table, StoreVersion after,
                              std::chrono::milliseconds wait) -> RowBatch {
  return this->Join({table, "", after, wait},
                    [&] { return this->store.Follow(table, after, wait); });
}

auto CallJoiningStore::Join(const Key& key,
                            const std::function<RowBatch()>& make_call)
    -> RowBatch {
  const auto joined_at = this->clock.Now();
  const auto existing = this->calls.find(key);
  if (existing != this->calls.end() &&
      this->MayRespond(*existing->second, key)) {
    const auto call = existing->second;
    while (!call->batch && !call->error) call->has_ended.WaitFor(kMaxCallTime);
    if (call->error) std::rethrow_exception(call->error);
    auto batch = *call->batch;
    batch.age += joined_at - call->started_at;
    return batch;
  }
  const auto call = std::make_shared<Call>();
  call->started_at = joined_at;
  this->calls[key] = call;
  try {
    call->batch = make_call();
  } catch (const std::exception&) {
    // Those that joined the call would otherwise wait for good.
    call->error = std::current_exception();
  }
  // A later call may have taken the place of one that was late.
  const auto own = this->calls.find(key);
  if (own != this->calls.end() && own->second == call) this->calls.erase(own);
  call->has_ended.Notify();
  if (call->error) std::rethrow_exception(call->error);
  return *call->batch;
}

auto CallJoiningStore::MayRespond(const Call& call, const Key& key) const
    -> bool {
  const auto due_at = call.started_at + std::get<3>(key) + kMaxResponseTime;
  return this->clock.Now() < due_at || this->store.IsReceiving();
}

}  // namespace currantbeam
