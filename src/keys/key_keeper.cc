#include "keys/key_keeper.h"

#include <algorithm>
#include <mutex>

#include "core/events.h"

namespace currantbeam {
namespace {

constexpr auto kTick = std::chrono::milliseconds(50);
/// The first owners are chosen once no server has joined for this long.
constexpr auto kServersSettle = std::chrono::milliseconds(1000);
constexpr auto kPause = std::chrono::milliseconds(500);
/// A server that has answered nothing for this long gets its keys taken away
/// once they have run out.
constexpr auto kUnreachableAfter = std::chrono::milliseconds(1500);
constexpr int kCallsPerServer = 4;

auto RowOf(const ServiceName& service) -> RowName {
  return {kOwnersTable, "", service.Value()};
}

auto OwnerOf(const BackendEntry& entry) -> KeyOwner {
  return {entry.id, entry.started, entry.address, entry.port};
}

}  // namespace

KeyKeeper::KeyKeeper(StoreClient& store, GrantClient& grants,
                     const Clock& clock, const BackendDirectory& directory,
                     const Options& options)
    : store(store),
      grants(grants),
      clock(clock),
      directory(directory),
      timing(options.grants),
      lease(store, clock, options.lease) {}

auto KeyKeeper::Start() -> void {
  FiberLoop::Current().Spawn([this] { this->RunLease(); });
  FiberLoop::Current().Spawn([this] { this->RunServices(); });
}

auto KeyKeeper::Stop() -> void {
  this->stopped = true;
  const std::lock_guard lock(this->writing);
  this->lease.Resign();
}

auto KeyKeeper::SetServices(const std::set<ServiceName>& keyed) -> void {
  for (auto& [name, service] : this->services) service.is_keyed = false;
  for (const auto& name : keyed) {
    const auto place =
        this->services.try_emplace(name, this->clock, this->timing);
    place.first->second.is_keyed = true;
  }
}

auto KeyKeeper::RunLease() -> void {
  while (!this->stopped) {
    Duration pause{0};
    {
      const std::lock_guard lock(this->writing);
      if (this->stopped) return;
      pause = this->lease.Step();
    }
    const bool is_held = this->lease.IsHeld();
    if (is_held != this->was_held) {
      Log(events::kKeeperRole,
          std::string("role=") + (is_held ? "active" : "standby"));
      this->was_held = is_held;
    }
    SleepFor(pause);
  }
}

auto KeyKeeper::RunServices() -> void {
  while (!this->stopped) {
    if (this->lease.IsHeld()) {
      for (auto& [name, service] : this->services) {
        if (service.is_keyed) this->Tick(name, service);
      }
    }
    SleepFor(kTick);
  }
}

auto KeyKeeper::Tick(const ServiceName& name, Service& service) -> void {
  if (service.loaded_term != this->lease.Term()) {
    if (!this->LoadMap(name, service)) return;
  }
  this->UpdateServers(name, service);
  for (const auto& order : service.keeper.TakeOrders()) {
    this->Dispatch(name, order);
  }
  if (!this->MayCommit(service)) return;
  if (service.keeper.PlanChange()) this->Commit(name, service);
}

auto KeyKeeper::LoadMap(const ServiceName& name, Service& service) -> bool {
  const auto term = this->lease.Term();
  try {
    const auto batch = this->store.Read(kOwnersTable, "");
    OwnerMap map;
    StoreVersion version = 0;
    for (const auto& row : batch.rows) {
      if (row.name.key != name.Value()) continue;
      map = OwnerMap::Decode(row.value);
      version = row.version;
    }
    service.keeper.Load(std::move(map), version);
    service.loaded_term = term;
    return true;
  } catch (const StoreError& error) {
    Log(events::kOwnersUnread,
        "service=" + name.Value() + " error=\"" + error.what() + "\"");
  } catch (const InputError& error) {
    Log(events::kOwnersUnread,
        "service=" + name.Value() + " error=\"" + error.what() + "\"");
  }
  return false;
}

auto KeyKeeper::UpdateServers(const ServiceName& name, Service& service)
    -> void {
  std::vector<PlannedServer> servers;
  for (const auto& target : this->directory.Ready(name)) {
    const auto owner = OwnerOf(target->entry);
    if (this->IsUnreachable(owner)) continue;
    servers.push_back({owner, static_cast<double>(target->entry.slots)});
  }
  for (const auto& [id, target] : this->directory.All()) {
    const auto& entry = target->entry;
    service.keeper.OnAddressReused(entry.address, entry.port, entry.id,
                                   entry.started);
  }
  if (servers.size() != service.servers_seen) {
    service.servers_seen = servers.size();
    service.servers_seen_at = this->clock.Now();
  }
  service.keeper.SetServers(std::move(servers));
}

auto KeyKeeper::MayCommit(Service& service) -> bool {
  if (service.keeper.Version() != 0) return true;
  return this->clock.Now() - service.servers_seen_at >= kServersSettle;
}

auto KeyKeeper::Commit(const ServiceName& name, Service& service) -> void {
  const std::lock_guard lock(this->writing);
  if (!this->lease.IsHeld()) return;
  StoreWrite write;
  write.conditions.push_back(this->lease.Condition());
  write.conditions.push_back({RowOf(name), service.keeper.Version()});
  write.puts.push_back(
      {RowOf(name), service.keeper.PlannedMap().Encode(), 0, false});
  const auto result = this->store.Write(write);
  if (result.outcome == WriteOutcome::kWritten) {
    service.keeper.OnCommitted(result.version);
    Log(events::kOwnersCommitted,
        "service=" + name.Value() +
            " version=" + std::to_string(result.version) +
            " fence=" + std::to_string(service.keeper.Map().LastFence()));
    return;
  }
  // Without an answer the write may be done already, or be done later.
  service.loaded_term = 0;
  Log(result.outcome == WriteOutcome::kUnknown ? events::kCommitUnknown
                                               : events::kCommitConflict,
      "row=owners/" + name.Value());
}

auto KeyKeeper::LaneKey(const KeyOwner& owner) -> std::string {
  return owner.address + ":" + std::to_string(owner.port);
}

auto KeyKeeper::Dispatch(const ServiceName& name, const KeyOrder& order)
    -> void {
  auto& lane = this->lanes[LaneKey(order.owner)];
  lane.calls.push_back({name, order});
  if (lane.fibers >= kCallsPerServer) return;
  ++lane.fibers;
  FiberLoop::Current().Spawn([this, &lane] { this->RunLane(lane); });
}

auto KeyKeeper::RunLane(Lane& lane) -> void {
  while (!lane.calls.empty()) {
    const auto call = lane.calls.front();
    lane.calls.pop_front();
    this->Call(lane, call.order, this->services.at(call.service).keeper);
  }
  --lane.fibers;
}

auto KeyKeeper::Call(Lane& lane, const KeyOrder& order, ServiceKeeper& keeper)
    -> void {
  const bool is_paused = this->clock.Now() < lane.paused_until;
  if (is_paused || this->stopped || !this->lease.IsHeld()) {
    keeper.OnNotSent(order);
    return;
  }
  const auto keys = KeysOf(order.stripe);
  if (order.kind == KeyOrder::Kind::kGrant) {
    const auto reply = this->grants.Grant(
        order.owner, keys, order.fence,
        std::chrono::duration_cast<std::chrono::milliseconds>(
            this->timing.hold),
        order.hand_over,
        std::chrono::duration_cast<std::chrono::milliseconds>(
            this->timing.call_timeout));
    this->NoteReply(lane, reply != GrantReply::kNoAnswer);
    keeper.OnGrantReply(order, reply);
    return;
  }
  const auto reply = this->grants.Release(
      order.owner, keys, order.fence,
      std::chrono::duration_cast<std::chrono::milliseconds>(
          this->timing.release_timeout));
  this->NoteReply(lane, reply.is_released);
  keeper.OnReleaseReply(order, reply);
}

auto KeyKeeper::NoteReply(Lane& lane, bool has_answered) -> void {
  const auto now = this->clock.Now();
  if (has_answered) {
    lane.is_failing = false;
    return;
  }
  if (!lane.is_failing) lane.failing_since = now;
  lane.is_failing = true;
  lane.paused_until = now + kPause;
}

auto KeyKeeper::IsUnreachable(const KeyOwner& owner) const -> bool {
  const auto it = this->lanes.find(LaneKey(owner));
  if (it == this->lanes.end() || !it->second.is_failing) return false;
  return this->clock.Now() - it->second.failing_since > kUnreachableAfter;
}

}  // namespace currantbeam
