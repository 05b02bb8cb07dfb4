#include "keys/key_coordinator.h"

#include <algorithm>
#include <mutex>

#include "core/events.h"

namespace currantbeam {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(50);
/// The lease is tried again if the active coordinator accepted no report for
/// this long.
constexpr auto kContactTimeout = std::chrono::milliseconds(1500);
constexpr auto kPauseAfterFailures = std::chrono::milliseconds(500);
/// Consecutive failures after which calls to a server pause; single calls may
/// be lost while the server works.
constexpr int kMinFailuresToPause = 4;
/// A server that responded to no call for this long is not eligible, so its
/// stripes get other owners once its grants have expired.
constexpr auto kUnreachableTimeout = std::chrono::milliseconds(1500);
constexpr int kMaxCallsPerServer = 4;
/// How long an owner that was found to have ended is not called. Its entry is
/// removed earlier.
constexpr auto kReplacedRetention = std::chrono::seconds(10);
/// How long an owner without an entry counts as failing after its last failure.
constexpr auto kFailureRetention = std::chrono::seconds(10);

auto OwnerOf(const BackendEntry& entry) -> KeyOwner {
  return {entry.id, entry.started, entry.address, entry.port};
}

auto ToMillis(Duration duration) -> std::chrono::milliseconds {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

KeyCoordinator::KeyCoordinator(StoreClient& store, GrantClient& grant_client,
                               const Clock& clock,
                               const BackendDirectory& directory,
                               const Options& options, OnChange on_change)
    : store(store),
      grant_client(grant_client),
      clock(clock),
      directory(directory),
      on_change(std::move(on_change)),
      timing(options.grant_timing),
      lease(store, clock, options.lease) {}

auto KeyCoordinator::Start() -> void {
  FiberLoop::Current().Spawn([this] { this->RunLease(); });
  FiberLoop::Current().Spawn([this] { this->RunCommands(); });
  FiberLoop::Current().Spawn([this] { this->RunCommits(); });
}

auto KeyCoordinator::Stop() -> void {
  this->stopped = true;
  const std::lock_guard lock(this->write_mutex);
  this->lease.Resign();
}

auto KeyCoordinator::SetServices(const std::set<ServiceName>& keyed) -> void {
  for (auto& [name, service] : this->services) service.is_keyed = false;
  for (const auto& name : keyed) {
    const auto inserted = this->services.try_emplace(
        name, Service{ServiceCoordinator(name, this->store, this->clock,
                                         this->lease, this->timing)});
    inserted.first->second.is_keyed = true;
  }
}

auto KeyCoordinator::OnReport(const LoadReport& report) -> void {
  for (const auto& [name, load] : report.services) {
    const auto it = this->services.find(name);
    if (it != this->services.end()) it->second.coordinator.AddLoad(load);
  }
}

auto KeyCoordinator::RunLease() -> void {
  SleepFor(this->lease.FirstStepDelay());
  while (!this->stopped) {
    Duration pause = kPollInterval;
    TryStep("keeper-lease", [&] { pause = this->StepLease(); });
    const bool is_held = this->lease.IsHeld();
    if (is_held != this->was_held) {
      Log(events::kKeeperRole, {{"role", is_held ? "active" : "standby"}});
      this->was_held = is_held;
    }
    SleepFor(pause);
  }
}

auto KeyCoordinator::StepLease() -> Duration {
  const std::lock_guard lock(this->write_mutex);
  if (this->stopped) return Duration(kPollInterval);
  // The coordinator that accepts reports holds the lease, so the row need not
  // be read.
  const bool is_held_elsewhere =
      !this->lease.IsHeld() &&
      this->clock.Now() - this->last_contact_at < kContactTimeout;
  return is_held_elsewhere ? Duration(kPollInterval) : this->lease.Step();
}

auto KeyCoordinator::OnCoordinatorContact(bool is_accepted) -> void {
  this->last_contact_at = is_accepted ? this->clock.Now() : TimePoint{};
}

auto KeyCoordinator::RunCommands() -> void {
  while (!this->stopped) {
    if (this->lease.IsHeld()) {
      for (auto& named : this->services) {
        auto& service = named.second;
        if (!service.is_keyed) continue;
        TryStep("keeper-commands",
                [&, this] { this->SendCommands(service.coordinator); });
      }
    }
    SleepFor(kPollInterval);
  }
}

auto KeyCoordinator::RunCommits() -> void {
  while (!this->stopped) {
    for (auto& named : this->services) {
      auto& service = named.second;
      if (!service.is_keyed) continue;
      TryStep("keeper-commits",
              [&, this] { this->Commit(service.coordinator); });
    }
    SleepFor(kPollInterval);
  }
}

auto KeyCoordinator::SendCommands(ServiceCoordinator& service) -> void {
  this->ResumeCallsToReusedAddresses(service.Scheduler());
  const auto commands =
      service.TakeDueCommands(this->EligibleServersOf(service.Name()));
  for (const auto& command : commands) this->Dispatch(service, command);
  this->ProbeUnreachableServers(service);
}

auto KeyCoordinator::ProbeUnreachableServers(ServiceCoordinator& service)
    -> void {
  if (!service.IsLoaded()) return;
  auto& scheduler = service.Scheduler();
  for (const auto& target : this->directory.Ready(service.Name())) {
    const auto owner = OwnerOf(target->entry);
    if (!this->IsUnreachable(owner)) continue;
    auto& queue = this->queues[QueueKey(owner)];
    const bool is_busy = queue.is_probing || queue.fibers != 0;
    const bool must_wait = this->clock.Now() < queue.paused_until ||
                           this->IsReplaced(queue, owner);
    if (is_busy || must_wait || scheduler.MayHoldStripes(owner)) continue;
    queue.is_probing = true;
    FiberLoop::Current().Spawn([this, &queue, owner, &scheduler] {
      this->Probe(queue, owner, scheduler);
      queue.is_probing = false;
    });
  }
}

auto KeyCoordinator::Probe(CallQueue& queue, const KeyOwner& owner,
                           GrantScheduler& scheduler) -> void {
  if (this->stopped || !this->lease.IsHeld()) return;
  const auto& map = scheduler.Map();
  const auto reply = this->SendRelease(owner, map.KeysOf(0), map.LastToken(),
                                       this->timing.call_timeout);
  if (reply.is_other_server) {
    this->OnOwnerReplaced(queue, owner, scheduler);
    return;
  }
  this->RecordReply(queue, owner, reply.is_released);
}

auto KeyCoordinator::Commit(ServiceCoordinator& service) -> void {
  service.LoadIfNeeded();
  std::optional<OwnerUpdate> update;
  {
    const std::lock_guard lock(this->write_mutex);
    update = service.CommitChanges();
  }
  if (update) this->on_change(*update);
}

auto KeyCoordinator::ResumeCallsToReusedAddresses(
    const GrantScheduler& scheduler) -> void {
  for (const auto& owner : scheduler.UnreachableOwners()) {
    auto& queue = this->queues[QueueKey(owner)];
    for (const auto& [id, target] : this->directory.All()) {
      const auto& entry = target->entry;
      if (entry.address != owner.address || entry.port != owner.port) continue;
      const auto latest = std::max(owner.started, queue.resumed_for);
      if (entry.id == owner.id || entry.started <= latest) continue;
      queue.resumed_for = entry.started;
      queue.paused_until = TimePoint{};
    }
  }
}

auto KeyCoordinator::Versions() -> OwnerVersions {
  OwnerVersions versions;
  for (auto& [name, service] : this->services) {
    versions.emplace(name, service.coordinator.Scheduler().Version());
  }
  return versions;
}

auto KeyCoordinator::OwnersSince(const OwnerVersions& known) const
    -> TableUpdate {
  TableUpdate newer;
  newer.table = kOwnersTable;
  for (const auto& [name, service] : this->services) {
    const auto& stored = service.coordinator.StoredOwners();
    const auto it = known.find(name);
    const auto version = it == known.end() ? StoreVersion() : it->second;
    if (stored.version > version) newer.rows.push_back(stored);
  }
  return newer;
}

auto KeyCoordinator::EligibleServersOf(const ServiceName& name)
    -> std::vector<EligibleServer> {
  std::vector<EligibleServer> servers;
  for (const auto& target : this->directory.Ready(name)) {
    const auto owner = OwnerOf(target->entry);
    if (this->IsUnreachable(owner)) continue;
    servers.push_back({owner, static_cast<double>(target->entry.slots)});
  }
  return servers;
}

auto KeyCoordinator::QueueKey(const KeyOwner& owner) -> std::string {
  return owner.address + ":" + std::to_string(owner.port);
}

auto KeyCoordinator::Dispatch(ServiceCoordinator& service,
                              const KeyCommand& command) -> void {
  auto& queue = this->queues[QueueKey(command.owner)];
  queue.calls.push_back({&service, command});
  this->StartFibers(queue);
}

auto KeyCoordinator::StartFibers(CallQueue& queue) -> void {
  const auto waiting = static_cast<int>(queue.calls.size());
  const int wanted = std::min(kMaxCallsPerServer, queue.fibers + waiting);
  for (; queue.fibers < wanted; ++queue.fibers) {
    FiberLoop::Current().Spawn([this, &queue] { this->RunQueue(queue); });
  }
}

auto KeyCoordinator::RunQueue(CallQueue& queue) -> void {
  while (!queue.calls.empty()) {
    const auto call = queue.calls.front();
    queue.calls.pop_front();
    if (!this->Call(queue, call.command, call.service->Scheduler())) {
      // The fiber of the grant in flight continues with the queue.
      queue.calls.push_front(call);
      break;
    }
  }
  --queue.fibers;
}

auto KeyCoordinator::Call(CallQueue& queue, const KeyCommand& command,
                          GrantScheduler& scheduler) -> bool {
  const bool is_paused = this->clock.Now() < queue.paused_until;
  const bool has_ended = this->IsReplaced(queue, command.owner);
  if (is_paused || has_ended || this->stopped || !this->lease.IsHeld()) {
    scheduler.OnNotSent(command);
    return true;
  }
  if (command.kind == KeyCommand::Kind::kGrant) {
    return this->CallGrant(queue, command, scheduler);
  }
  this->CallRelease(queue, command, scheduler);
  return true;
}

auto KeyCoordinator::SendGrant(const GrantCall& call) -> GrantResult {
  GrantResult result;
  const bool has_ended =
      TryStep("grant", [&] { result = this->grant_client.Grant(call); });
  if (!has_ended) result.reply = GrantReply::kNoResponse;
  return result;
}

auto KeyCoordinator::SendRelease(const KeyOwner& owner, KeyRange keys,
                                 FencingToken token, Duration timeout)
    -> ReleaseReply {
  ReleaseReply reply;
  TryStep("release", [&] {
    reply = this->grant_client.Release(owner, keys, token, ToMillis(timeout));
  });
  return reply;
}

auto KeyCoordinator::CallGrant(CallQueue& queue, KeyCommand command,
                               GrantScheduler& scheduler) -> bool {
  if (!scheduler.PermitGrant(command)) {
    scheduler.OnNotSent(command);
    return true;
  }
  // Any connection may be used for one grant at a time.
  if (!command.max_connection && queue.grants_in_flight != 0) return false;
  ++queue.grants_in_flight;
  const auto result = this->SendGrant(
      {command.owner, scheduler.Map().KeysOf(command.stripe), command.token,
       ToMillis(command.ttl), command.handover,
       ToMillis(this->timing.call_timeout), command.max_connection});
  --queue.grants_in_flight;
  if (result.reply == GrantReply::kNoConnection) {
    if (queue.grants_in_flight != 0) return false;
    scheduler.OnOwnerUnreachable(command.owner);
    scheduler.OnNotSent(command);
    return true;
  }
  if (result.reply == GrantReply::kOtherServer) {
    this->OnOwnerReplaced(queue, command.owner, scheduler);
    scheduler.OnNotSent(command);
    this->StartFibers(queue);
    return true;
  }
  const bool is_unreachable = result.reply == GrantReply::kConnectFailed;
  this->RecordReply(queue, command.owner,
                    !is_unreachable && result.reply != GrantReply::kNoResponse);
  if (is_unreachable) {
    scheduler.OnOwnerUnreachable(command.owner);
    scheduler.OnNotSent(command);
  } else {
    scheduler.OnGrantReply(command, result);
  }
  // Calls that waited for this one may be permitted now.
  this->StartFibers(queue);
  return true;
}

auto KeyCoordinator::CallRelease(CallQueue& queue, const KeyCommand& command,
                                 GrantScheduler& scheduler) -> void {
  const auto reply =
      this->SendRelease(command.owner, scheduler.Map().KeysOf(command.stripe),
                        command.token, this->timing.release_timeout);
  if (reply.is_other_server) {
    this->OnOwnerReplaced(queue, command.owner, scheduler);
    scheduler.OnNotSent(command);
    return;
  }
  this->RecordReply(queue, command.owner, reply.is_released);
  if (reply.has_connect_failed) {
    scheduler.OnOwnerUnreachable(command.owner);
    scheduler.OnNotSent(command);
  } else {
    scheduler.OnReleaseReply(command, reply);
  }
}

auto KeyCoordinator::RecordReply(CallQueue& queue, const KeyOwner& owner,
                                 bool has_responded) -> void {
  const auto now = this->clock.Now();
  auto& failing = queue.failing;
  const auto is_over = [&](const FailingOwner& one) {
    const bool is_old = now - one.last_failure_at > kFailureRetention;
    return (has_responded && one.owner == owner) ||
           (is_old && !this->IsListed(one.owner));
  };
  failing.erase(std::remove_if(failing.begin(), failing.end(), is_over),
                failing.end());
  if (has_responded) return;
  auto one = FindFailing(queue, owner);
  if (one == failing.end()) {
    one = failing.insert(failing.end(), {owner, now, now, 0});
  }
  one->last_failure_at = now;
  if (++one->failures >= kMinFailuresToPause) {
    queue.paused_until = now + kPauseAfterFailures;
  }
}

auto KeyCoordinator::IsListed(const KeyOwner& owner) const -> bool {
  const auto target = this->directory.Find(owner.id);
  return target != nullptr && OwnerOf(target->entry) == owner;
}

auto KeyCoordinator::FindFailing(CallQueue& queue, const KeyOwner& owner)
    -> std::vector<FailingOwner>::iterator {
  return std::find_if(
      queue.failing.begin(), queue.failing.end(),
      [&owner](const FailingOwner& one) { return one.owner == owner; });
}

auto KeyCoordinator::OnOwnerReplaced(CallQueue& queue, const KeyOwner& owner,
                                     GrantScheduler& scheduler) -> void {
  queue.replaced = owner;
  queue.replaced_until = this->clock.Now() + kReplacedRetention;
  queue.paused_until = TimePoint{};
  scheduler.OnOwnerReplaced(owner);
}

auto KeyCoordinator::IsReplaced(const CallQueue& queue,
                                const KeyOwner& owner) const -> bool {
  return queue.replaced == owner && this->clock.Now() < queue.replaced_until;
}

auto KeyCoordinator::IsUnreachable(const KeyOwner& owner) -> bool {
  const auto it = this->queues.find(QueueKey(owner));
  if (it == this->queues.end()) return false;
  auto& queue = it->second;
  if (this->IsReplaced(queue, owner)) return true;
  const auto failing = FindFailing(queue, owner);
  return failing != queue.failing.end() &&
         this->clock.Now() - failing->first_failure_at > kUnreachableTimeout;
}

}  // namespace currantbeam
