#include "keys/key_coordinator.h"

#include <algorithm>
#include <mutex>

#include "core/events.h"

namespace currantbeam {
namespace {

constexpr auto kTick = std::chrono::milliseconds(50);
constexpr auto kContactMemory = std::chrono::milliseconds(1500);
constexpr auto kPause = std::chrono::milliseconds(500);
/// Some calls may be lost while the server goes on.
constexpr int kFailuresToPause = 4;
/// A server that has answered nothing for this long gets its keys taken away
/// once they have run out.
constexpr auto kUnreachableAfter = std::chrono::milliseconds(1500);
constexpr int kCallsPerServer = 4;

auto OwnerOf(const BackendEntry& entry) -> KeyOwner {
  return {entry.id, entry.started, entry.address, entry.port};
}

auto ToMillis(Duration duration) -> std::chrono::milliseconds {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

KeyCoordinator::KeyCoordinator(StoreClient& store, GrantClient& grants,
                               const Clock& clock,
                               const BackendDirectory& directory,
                               const Options& options, OnChange on_change)
    : store(store),
      grants(grants),
      clock(clock),
      directory(directory),
      on_change(std::move(on_change)),
      timing(options.grants),
      lease(store, clock, options.lease) {}

auto KeyCoordinator::Start() -> void {
  FiberLoop::Current().Spawn([this] { this->RunLease(); });
  FiberLoop::Current().Spawn([this] { this->RunServices(); });
  FiberLoop::Current().Spawn([this] { this->RunStored(); });
}

auto KeyCoordinator::Stop() -> void {
  this->stopped = true;
  const std::lock_guard lock(this->writing);
  this->lease.Resign();
}

auto KeyCoordinator::SetServices(const std::set<ServiceName>& keyed) -> void {
  for (auto& [name, service] : this->services) service.is_keyed = false;
  for (const auto& name : keyed) {
    const auto place = this->services.try_emplace(
        name, Service{ServiceCoordinator(name, this->store, this->clock,
                                         this->lease, this->timing)});
    place.first->second.is_keyed = true;
  }
}

auto KeyCoordinator::OnReport(const LoadReport& report) -> void {
  for (const auto& [name, load] : report.services) {
    const auto it = this->services.find(name);
    if (it != this->services.end()) it->second.kept.OnLoad(load);
  }
}

auto KeyCoordinator::RunLease() -> void {
  while (!this->stopped) {
    const auto pause = this->StepLease();
    const bool is_held = this->lease.IsHeld();
    if (is_held != this->was_held) {
      Log(events::kKeeperRole, {{"role", is_held ? "active" : "standby"}});
      this->was_held = is_held;
    }
    SleepFor(pause);
  }
}

auto KeyCoordinator::StepLease() -> Duration {
  const std::lock_guard lock(this->writing);
  if (this->stopped) return Duration(kTick);
  // A keeper that answers has the lease; the row need not be read.
  const bool is_kept = !this->lease.IsHeld() &&
                       this->clock.Now() - this->contact_at < kContactMemory;
  return is_kept ? Duration(kTick) : this->lease.Step();
}

auto KeyCoordinator::OnKeeperContact(bool is_alive) -> void {
  this->contact_at = is_alive ? this->clock.Now() : TimePoint{};
}

auto KeyCoordinator::RunServices() -> void {
  while (!this->stopped) {
    if (this->lease.IsHeld()) {
      for (auto& [name, service] : this->services) {
        if (service.is_keyed) this->SendOrders(service.kept);
      }
    }
    SleepFor(kTick);
  }
}

auto KeyCoordinator::RunStored() -> void {
  while (!this->stopped) {
    for (auto& [name, service] : this->services) {
      if (service.is_keyed) this->Commit(service.kept);
    }
    SleepFor(kTick);
  }
}

auto KeyCoordinator::SendOrders(ServiceCoordinator& service) -> void {
  this->NoteReusedAddresses(service.Keeper());
  const auto orders = service.TakeOrders(this->ServersOf(service.Name()));
  for (const auto& order : orders) this->Dispatch(service, order);
}

auto KeyCoordinator::Commit(ServiceCoordinator& service) -> void {
  service.LoadIfDue();
  std::optional<OwnerUpdate> update;
  {
    const std::lock_guard lock(this->writing);
    update = service.CommitChanges();
  }
  if (update) this->on_change(*update);
}

auto KeyCoordinator::NoteReusedAddresses(GrantScheduler& keeper) const -> void {
  for (const auto& owner : keeper.LostOwners()) {
    for (const auto& [id, target] : this->directory.All()) {
      const auto& entry = target->entry;
      if (entry.address != owner.address || entry.port != owner.port) continue;
      keeper.OnAddressReused(entry.address, entry.port, entry.id,
                             entry.started);
    }
  }
}

auto KeyCoordinator::Versions() -> OwnerVersions {
  OwnerVersions versions;
  for (auto& [name, service] : this->services) {
    versions.emplace(name, service.kept.Keeper().Version());
  }
  return versions;
}

auto KeyCoordinator::OwnersSince(const OwnerVersions& known) const
    -> TableUpdate {
  TableUpdate news;
  news.table = kOwnersTable;
  for (const auto& [name, service] : this->services) {
    const auto& stored = service.kept.Stored();
    const auto it = known.find(name);
    const auto version = it == known.end() ? 0 : it->second;
    if (stored.version > version) news.rows.push_back(stored);
  }
  return news;
}

auto KeyCoordinator::ServersOf(const ServiceName& name) const
    -> std::vector<EligibleServer> {
  std::vector<EligibleServer> servers;
  for (const auto& target : this->directory.Ready(name)) {
    const auto owner = OwnerOf(target->entry);
    if (this->IsUnreachable(owner)) continue;
    servers.push_back({owner, static_cast<double>(target->entry.slots)});
  }
  return servers;
}

auto KeyCoordinator::LaneKey(const KeyOwner& owner) -> std::string {
  return owner.address + ":" + std::to_string(owner.port);
}

auto KeyCoordinator::Dispatch(ServiceCoordinator& service,
                              const KeyCommand& order) -> void {
  auto& lane = this->lanes[LaneKey(order.owner)];
  lane.calls.push_back({&service, order});
  if (lane.fibers >= kCallsPerServer) return;
  ++lane.fibers;
  FiberLoop::Current().Spawn([this, &lane] { this->RunLane(lane); });
}

auto KeyCoordinator::RunLane(Lane& lane) -> void {
  while (!lane.calls.empty()) {
    const auto call = lane.calls.front();
    lane.calls.pop_front();
    this->Call(lane, call.order, call.service->Keeper());
  }
  --lane.fibers;
}

auto KeyCoordinator::Call(Lane& lane, const KeyCommand& order,
                          GrantScheduler& keeper) -> void {
  const bool is_paused = this->clock.Now() < lane.paused_until;
  if (is_paused || this->stopped || !this->lease.IsHeld()) {
    keeper.OnNotSent(order);
    return;
  }
  if (order.kind == KeyCommand::Kind::kGrant) {
    this->CallGrant(lane, order, keeper);
  } else {
    this->CallRelease(lane, order, keeper);
  }
}

auto KeyCoordinator::CallGrant(Lane& lane, const KeyCommand& order,
                               GrantScheduler& keeper) -> void {
  const auto reply = this->grants.Grant(
      order.owner, keeper.Map().KeysOf(order.stripe), order.token,
      ToMillis(order.ttl), order.handover, ToMillis(this->timing.call_timeout));
  const bool is_lost = reply == GrantReply::kConnectFailed;
  this->NoteReply(lane, !is_lost && reply != GrantReply::kNoResponse);
  if (is_lost) {
    keeper.OnContactLost(order.owner);
    keeper.OnNotSent(order);
  } else {
    keeper.OnGrantReply(order, reply);
  }
}

auto KeyCoordinator::CallRelease(Lane& lane, const KeyCommand& order,
                                 GrantScheduler& keeper) -> void {
  const auto reply =
      this->grants.Release(order.owner, keeper.Map().KeysOf(order.stripe),
                           order.token, ToMillis(this->timing.release_timeout));
  this->NoteReply(lane, reply.is_released);
  if (reply.has_connect_failed) {
    keeper.OnContactLost(order.owner);
    keeper.OnNotSent(order);
  } else {
    keeper.OnReleaseReply(order, reply);
  }
}

auto KeyCoordinator::NoteReply(Lane& lane, bool has_answered) -> void {
  const auto now = this->clock.Now();
  if (has_answered) {
    lane.failures_in_row = 0;
    return;
  }
  if (lane.failures_in_row == 0) lane.failing_since = now;
  if (++lane.failures_in_row >= kFailuresToPause) {
    lane.paused_until = now + kPause;
  }
}

auto KeyCoordinator::IsUnreachable(const KeyOwner& owner) const -> bool {
  const auto it = this->lanes.find(LaneKey(owner));
  if (it == this->lanes.end() || it->second.failures_in_row == 0) return false;
  return this->clock.Now() - it->second.failing_since > kUnreachableAfter;
}

}  // namespace currantbeam
