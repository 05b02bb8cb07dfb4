#include "keys/grant_scheduler.h"

#include <algorithm>
#include <cmath>

namespace currantbeam {
namespace {

/// The fractional parts of its multiples spread evenly over [0, 1).
constexpr double kGoldenRatio = 0.6180339887498949;
constexpr auto kRetryDelay = std::chrono::milliseconds(300);
constexpr auto kRebalanceInterval = std::chrono::milliseconds(1000);
/// How long unassigned stripes wait for stripes that are being released, so
/// that one commit, which every host then reads, covers all of them.
constexpr auto kBatchDelay = std::chrono::milliseconds(250);
/// Minimum time between commits that only raise tokens. Servers whose responses
/// are lost keep their running grants in the meantime.
constexpr auto kMinTokenRaiseInterval = std::chrono::milliseconds(2000);
/// Maximum number of stripes that leave eligible owners in one rebalance.
constexpr int kMaxRebalancedStripes = 128;

}  // namespace

auto GrantScheduler::Load(OwnerMap map, StoreVersion version) -> void {
  const auto now = this->clock.Now();
  this->map = std::move(map);
  this->map.BeginEpoch(version.epoch);
  this->version = version;
  this->stripes.assign(this->map.StripeCount(), Stripe());
  ++this->epoch;
  this->sessions.Clear();
  this->is_commit_pending = false;
  this->is_commit_due = false;
  this->paused_until = TimePoint{};
  this->rebalanced_at = now;
  this->committed_at = now - kMinTokenRaiseInterval;
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    auto& stripe = this->stripes[i];
    if (this->map.OwnerOf(i) == nullptr) continue;
    stripe.phase = Phase::kAssigned;
    stripe.held_until = this->LatestExpiry(now, this->timing.max_ttl);
    stripe.due_at = now;
    // Servers reject delayed calls of the previous coordinator once they have
    // seen a higher token.
    stripe.is_token_stale = true;
  }
}

auto GrantScheduler::LoadRolledBack(OwnerMap map, StoreVersion version)
    -> void {
  this->Load(std::move(map), version);
  this->paused_until =
      this->LatestExpiry(this->clock.Now(), this->timing.max_ttl);
}

auto GrantScheduler::ContinueAfterRollback(StoreVersion version) -> void {
  this->map.BeginEpoch(version.epoch);
  this->version = version;
  this->is_commit_pending = false;
  this->is_commit_due = true;
}

auto GrantScheduler::OnOwnerUnreachable(const KeyOwner& owner) -> void {
  this->sessions.End(owner);
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    const auto* stripe_owner = this->map.OwnerOf(i);
    if (stripe_owner == nullptr || !(*stripe_owner == owner)) continue;
    auto& stripe = this->stripes[i];
    stripe.is_token_stale |= stripe.session != 0;
    stripe.is_unreachable = true;
  }
}

auto GrantScheduler::OnOwnerReplaced(const KeyOwner& owner) -> void {
  this->OnOwnerUnreachable(owner);
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    const auto* stripe_owner = this->map.OwnerOf(i);
    if (stripe_owner == nullptr || !(*stripe_owner == owner)) continue;
    this->stripes[i].held_until = TimePoint{};
  }
}

auto GrantScheduler::LatestExpiry(TimePoint sent_at, Duration ttl) const
    -> TimePoint {
  const auto drifted_ttl = Duration(static_cast<std::int64_t>(
      static_cast<double>(ttl.count()) * this->timing.clock_drift_factor));
  return sent_at + this->timing.call_timeout + drifted_ttl +
         this->timing.margin;
}

auto GrantScheduler::SetRemainingLease(Duration remaining) -> void {
  const bool was_expiring = this->is_lease_expiring;
  this->is_lease_expiring = remaining <= this->timing.lease_expiry_threshold;
  if (was_expiring || !this->is_lease_expiring) return;
  for (auto& stripe : this->stripes) {
    if (stripe.phase != Phase::kAssigned) continue;
    stripe.due_at = std::min(stripe.due_at, this->clock.Now());
  }
}

auto GrantScheduler::SetServers(std::vector<EligibleServer> servers,
                                std::vector<double> loads) -> void {
  this->servers = std::move(servers);
  const auto count = static_cast<std::size_t>(this->map.StripeCount());
  if (loads.size() != count) loads.clear();
  this->loads = std::move(loads);
}

auto GrantScheduler::UnreachableOwners() const -> std::vector<KeyOwner> {
  const auto& owners = this->map.Owners();
  std::vector<bool> marked(owners.size());
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    const int owner = this->map.OwnerIndexOf(i);
    if (owner >= 0 && this->stripes[i].is_unreachable) marked[owner] = true;
  }
  std::vector<KeyOwner> unreachable;
  for (std::size_t i = 0; i < owners.size(); ++i) {
    if (marked[i]) unreachable.push_back(owners[i]);
  }
  return unreachable;
}

auto GrantScheduler::MayHoldStripes(const KeyOwner& owner) const -> bool {
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    const auto* stripe_owner = this->map.OwnerOf(i);
    const bool is_owner = stripe_owner != nullptr && *stripe_owner == owner;
    const bool is_held = this->stripes[i].phase != Phase::kUnassigned;
    if (is_owner && is_held) return true;
  }
  return false;
}

auto GrantScheduler::UpdatePhases(TimePoint now) -> void {
  const auto indexes = IndexesOf(this->map.Owners(), this->servers);
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    auto& stripe = this->stripes[i];
    const int owner = this->map.OwnerIndexOf(i);
    if (stripe.phase == Phase::kUnassigned || owner < 0) continue;
    const bool is_eligible = indexes[owner] >= 0;
    if (stripe.phase == Phase::kAssigned && !is_eligible) {
      stripe.phase = Phase::kReleasing;
      stripe.due_at = now;
    }
    const bool is_eligible_again = stripe.phase == Phase::kReleasing &&
                                   !stripe.is_rebalancing && is_eligible;
    if (is_eligible_again && !stripe.is_in_flight) {
      stripe.phase = Phase::kAssigned;
    }
    const bool has_expired = now >= stripe.held_until && !stripe.is_in_flight;
    if (stripe.phase == Phase::kReleasing && has_expired) {
      stripe.phase = Phase::kUnassigned;
    }
  }
}

auto GrantScheduler::CheckResponseAges(TimePoint now) -> void {
  std::vector<bool> needs_probe(this->servers.size());
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    const auto& owner = this->servers[i].owner;
    const auto* session = this->sessions.Find(owner);
    if (session == nullptr || !session->is_confirmed) continue;
    const auto response_age = now - session->last_response_at;
    if (response_age > this->timing.max_response_age) {
      this->OnOwnerUnreachable(owner);
    } else if (response_age > this->timing.max_response_age / 2) {
      needs_probe[i] = true;
    }
  }
  this->ProbeServers(std::move(needs_probe), now);
}

auto GrantScheduler::ProbeServers(std::vector<bool> needs_probe, TimePoint now)
    -> void {
  const auto indexes = IndexesOf(this->map.Owners(), this->servers);
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    auto& stripe = this->stripes[i];
    const int owner = this->map.OwnerIndexOf(i);
    const int index = owner >= 0 ? indexes[owner] : -1;
    if (index < 0 || !needs_probe[index] || stripe.phase != Phase::kAssigned) {
      continue;
    }
    stripe.due_at = std::min(stripe.due_at, now);
    needs_probe[index] = false;
  }
}

auto GrantScheduler::PermitGrant(KeyCommand& command) -> bool {
  const bool is_current = command.epoch == this->epoch &&
                          command.token == this->map.TokenOf(command.stripe);
  if (!is_current) return false;
  auto& stripe = this->stripes[command.stripe];
  const auto* session = this->sessions.Find(command.owner);
  const int number = session == nullptr ? 0 : session->number;
  stripe.is_token_stale |= stripe.session != 0 && stripe.session != number;
  if (stripe.is_token_stale) return false;
  if (session == nullptr) session = &this->sessions.Begin(command.owner);
  command.session = session->number;
  command.max_connection = session->PermittedConnections();
  return true;
}

auto GrantScheduler::UpdateSession(const KeyCommand& command,
                                   const GrantResult& result) -> void {
  auto& stripe = this->stripes[command.stripe];
  const bool is_current_token =
      command.token == this->map.TokenOf(command.stripe);
  if (is_current_token) stripe.session = command.session;
  const bool is_open = this->sessions.OnReply(command.owner, command.session,
                                              result, this->clock.Now());
  stripe.is_token_stale |= !is_open && is_current_token;
}

auto GrantScheduler::Rebalance(TimePoint now) -> void {
  // A released stripe would stay unserved until the next commit is possible.
  if (this->is_commit_pending || this->is_lease_expiring) return;
  if (now - this->rebalanced_at < kRebalanceInterval) return;
  this->rebalanced_at = now;
  const bool is_moving = std::any_of(
      this->stripes.begin(), this->stripes.end(),
      [](const Stripe& stripe) { return stripe.phase != Phase::kAssigned; });
  if (is_moving) return;
  const auto moving =
      StripePlanner::StripesToMove(this->Placement(), kMaxRebalancedStripes);
  for (const auto i : moving) {
    this->stripes[i].phase = Phase::kReleasing;
    this->stripes[i].is_rebalancing = true;
    this->stripes[i].due_at = now;
  }
}

auto GrantScheduler::MakeCommand(int stripe, KeyCommand::Kind kind)
    -> KeyCommand {
  auto& state = this->stripes[stripe];
  state.is_in_flight = true;
  // A release carries a token above the owner's, so that the server rejects a
  // grant of this coordinator that arrives later.
  const bool is_grant = kind == KeyCommand::Kind::kGrant;
  const auto token =
      is_grant ? this->map.TokenOf(stripe) : this->map.LastToken() + 1;
  return {kind,
          stripe,
          *this->map.OwnerOf(stripe),
          token,
          state.handover,
          this->GrantTtl(),
          this->epoch,
          0,
          std::nullopt};
}

auto GrantScheduler::TakeDueCommands() -> std::vector<KeyCommand> {
  const auto now = this->clock.Now();
  if (now < this->paused_until) return {};
  this->UpdatePhases(now);
  this->CheckResponseAges(now);
  this->Rebalance(now);
  std::vector<KeyCommand> commands;
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    auto& stripe = this->stripes[i];
    if (stripe.is_in_flight || now < stripe.due_at) continue;
    if (this->map.OwnerOf(i) == nullptr) continue;
    if (stripe.phase == Phase::kReleasing) {
      commands.push_back(this->MakeCommand(i, KeyCommand::Kind::kRelease));
    } else if (stripe.phase == Phase::kAssigned && !stripe.is_token_stale) {
      commands.push_back(this->MakeCommand(i, KeyCommand::Kind::kGrant));
      stripe.held_until = std::max(
          stripe.held_until, this->LatestExpiry(now, commands.back().ttl));
    }
  }
  return commands;
}

auto GrantScheduler::OnGrantReply(const KeyCommand& command,
                                  const GrantResult& result) -> void {
  if (command.epoch != this->epoch) return;
  const auto now = this->clock.Now();
  auto& stripe = this->stripes[command.stripe];
  stripe.is_in_flight = false;
  stripe.due_at = std::max(stripe.due_at, now + kRetryDelay);
  // The grant may have reached the server at any time up to now.
  stripe.held_until =
      std::max(stripe.held_until, this->LatestExpiry(now, command.ttl));
  stripe.is_unreachable = false;
  this->UpdateSession(command, result);
  if (result.reply == GrantReply::kAccepted) {
    stripe.due_at =
        now + this->RenewalDelay(command.stripe, stripe.is_first_grant);
    stripe.is_first_grant = false;
    stripe.handover.clear();
  }
  // Without it, the keys are slow at first; with it, they would stay unserved.
  if (result.reply == GrantReply::kMalformed) stripe.handover.clear();
  if (result.reply == GrantReply::kStaleToken) stripe.is_token_stale = true;
}

auto GrantScheduler::RenewalDelay(int stripe, bool is_first_grant) const
    -> Duration {
  if (!is_first_grant) return this->timing.renewal_interval;
  // Stripes granted at the same time are renewed at different times, so that
  // each server responds at short intervals.
  const double fraction = std::fmod(stripe * kGoldenRatio, 1.0);
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(this->timing.renewal_interval.count()) * fraction));
}

auto GrantScheduler::OnReleaseReply(const KeyCommand& command,
                                    const ReleaseReply& reply) -> void {
  if (command.epoch != this->epoch) return;
  auto& stripe = this->stripes[command.stripe];
  stripe.is_in_flight = false;
  stripe.due_at = std::max(stripe.due_at, this->clock.Now() + kRetryDelay);
  if (!reply.is_released) return;
  stripe.phase = Phase::kUnassigned;
  stripe.handover = reply.handover;
}

auto GrantScheduler::OnNotSent(const KeyCommand& command) -> void {
  if (command.epoch != this->epoch) return;
  auto& stripe = this->stripes[command.stripe];
  stripe.is_in_flight = false;
  stripe.due_at = std::max(stripe.due_at, this->clock.Now() + kRetryDelay);
}

auto GrantScheduler::UnassignedStripes() const -> std::vector<bool> {
  std::vector<bool> unassigned;
  for (const auto& stripe : this->stripes) {
    unassigned.push_back(stripe.phase == Phase::kUnassigned);
  }
  return unassigned;
}

auto GrantScheduler::IsBatching(TimePoint now) -> bool {
  bool has_releasing = false;
  bool has_unassigned = false;
  for (const auto& stripe : this->stripes) {
    has_releasing |= stripe.phase == Phase::kReleasing && stripe.is_in_flight;
    has_unassigned |= stripe.phase == Phase::kUnassigned;
  }
  if (!has_unassigned) this->unassigned_since = now;
  return has_releasing && now - this->unassigned_since < kBatchDelay;
}

auto GrantScheduler::PlanChange() -> bool {
  if (this->clock.Now() < this->paused_until) return false;
  // A takeover relies on a map that was committed in the epoch.
  const bool is_batching = this->IsBatching(this->clock.Now());
  if (is_batching && !this->is_commit_due) return false;
  const auto moves = StripePlanner::AssignStripes(this->Placement());
  bool has_stale_token = false;
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    const auto& stripe = this->stripes[i];
    has_stale_token |=
        stripe.is_token_stale && stripe.phase == Phase::kAssigned;
  }
  const bool is_recent =
      this->clock.Now() - this->committed_at < kMinTokenRaiseInterval;
  const bool must_raise_tokens = has_stale_token && !is_recent;
  if (moves.empty() && !must_raise_tokens && !this->is_commit_due) return false;
  this->planned = this->map;
  const auto token = this->planned.NextToken();
  for (const auto& move : moves) {
    this->planned.Assign(move.stripe, move.to, token);
  }
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    const auto& stripe = this->stripes[i];
    if (!stripe.is_token_stale || stripe.phase != Phase::kAssigned) continue;
    this->planned.Assign(i, KeyOwner(*this->map.OwnerOf(i)), token);
  }
  this->is_commit_pending = true;
  return true;
}

auto GrantScheduler::PlannedMoves() const -> int {
  int moves = 0;
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    const auto* before = this->map.OwnerOf(i);
    const auto* after = this->planned.OwnerOf(i);
    if (after == nullptr) continue;
    moves += before == nullptr || !(*before == *after) ? 1 : 0;
  }
  return moves;
}

auto GrantScheduler::OnCommitted(StoreVersion version) -> void {
  const auto now = this->clock.Now();
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    if (this->planned.TokenOf(i) == this->map.TokenOf(i)) continue;
    auto& stripe = this->stripes[i];
    stripe.phase = Phase::kAssigned;
    stripe.is_token_stale = false;
    stripe.session = 0;
    stripe.is_rebalancing = false;
    stripe.is_unreachable = false;
    stripe.is_first_grant = true;
    stripe.due_at = now;
  }
  this->is_commit_pending = false;
  this->is_commit_due = false;
  this->map = this->planned;
  this->version = version;
  this->committed_at = now;
}

}  // namespace currantbeam
