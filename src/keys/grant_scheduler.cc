#include "keys/grant_scheduler.h"

#include <algorithm>
#include <cmath>

namespace currantbeam {
namespace {

/// Multiples of this, without their whole part, spread evenly over [0, 1).
constexpr double kGoldenRatio = 0.6180339887498949;
constexpr auto kRetry = std::chrono::milliseconds(300);
constexpr auto kEvenInterval = std::chrono::milliseconds(1000);
/// How long vacant stripes wait for others that are being released, so that
/// one write to the store, which all hosts then read, does for all.
constexpr auto kGather = std::chrono::milliseconds(250);
/// Least time between writes that raise tokens only: the grants of servers
/// whose answers get lost go on holding meanwhile.
constexpr auto kTokenInterval = std::chrono::milliseconds(2000);
/// Stripes of sound owners that move at a time.
constexpr int kMostEvened = 128;

}  // namespace

auto GrantScheduler::Load(OwnerMap map, StoreVersion version) -> void {
  const auto now = this->clock.Now();
  this->map = std::move(map);
  this->version = version;
  this->stripes.assign(this->map.StripeCount(), Stripe());
  ++this->term;
  this->heard_at.clear();
  this->is_changing = false;
  this->evened_at = now;
  this->committed_at = now - kTokenInterval;
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    auto& stripe = this->stripes[i];
    if (this->map.OwnerOf(i) == nullptr) continue;
    stripe.phase = Phase::kHeld;
    stripe.held_until = this->HeldUntil(now, this->timing.max_ttl);
    stripe.due = now;
    // Shuts out what the last keeper sent that is still on its way.
    stripe.is_fence_stale = true;
  }
}

auto GrantScheduler::OnContactLost(const KeyOwner& owner) -> void {
  this->heard_at.erase(owner.id);
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    const auto* holder = this->map.OwnerOf(i);
    if (holder == nullptr || !(*holder == owner)) continue;
    auto& stripe = this->stripes[i];
    stripe.is_fence_stale |= stripe.is_fence_used;
    stripe.is_lost = true;
  }
}

auto GrantScheduler::HeldUntil(TimePoint sent, Duration ttl) const
    -> TimePoint {
  const auto longest = Duration(static_cast<std::int64_t>(
      static_cast<double>(ttl.count()) * this->timing.clock_drift_factor));
  return sent + this->timing.call_timeout + longest + this->timing.margin;
}

auto GrantScheduler::SetLeaseLeft(Duration left) -> void {
  const bool was_ending = this->is_lease_ending;
  this->is_lease_ending = left <= this->timing.lease_expiry_threshold;
  if (was_ending || !this->is_lease_ending) return;
  for (auto& stripe : this->stripes) {
    if (stripe.phase != Phase::kHeld) continue;
    stripe.due = std::min(stripe.due, this->clock.Now());
  }
}

auto GrantScheduler::SetServers(std::vector<EligibleServer> servers,
                                std::vector<double> loads) -> void {
  this->servers = std::move(servers);
  const auto count = static_cast<std::size_t>(this->map.StripeCount());
  if (loads.size() != count) loads.clear();
  this->loads = std::move(loads);
}

auto GrantScheduler::OnAddressReused(const std::string& address,
                                     std::uint16_t port, const ServerId& id,
                                     std::chrono::milliseconds started)
    -> void {
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    const auto* owner = this->map.OwnerOf(i);
    if (owner == nullptr) continue;
    const bool is_here = owner->address == address && owner->port == port;
    const bool is_other = owner->id != id || owner->started != started;
    // What was granted after the loss may have gone to the other life.
    auto& stripe = this->stripes[i];
    if (is_here && is_other && stripe.is_lost) stripe.held_until = TimePoint{};
  }
}

auto GrantScheduler::LostOwners() const -> std::vector<KeyOwner> {
  const auto& owners = this->map.Owners();
  std::vector<bool> is_lost(owners.size());
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    const int owner = this->map.OwnerIndexOf(i);
    if (owner >= 0 && this->stripes[i].is_lost) is_lost[owner] = true;
  }
  std::vector<KeyOwner> lost;
  for (std::size_t i = 0; i < owners.size(); ++i) {
    if (is_lost[i]) lost.push_back(owners[i]);
  }
  return lost;
}

auto GrantScheduler::UpdatePhases(TimePoint now) -> void {
  const auto places = PlacesOf(this->map.Owners(), this->servers);
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    auto& stripe = this->stripes[i];
    const int owner = this->map.OwnerIndexOf(i);
    if (stripe.phase == Phase::kVacant || owner < 0) continue;
    const bool is_sound = places[owner] >= 0;
    if (stripe.phase == Phase::kHeld && !is_sound) {
      stripe.phase = Phase::kReleasing;
      stripe.due = now;
    }
    const bool is_back =
        stripe.phase == Phase::kReleasing && !stripe.is_evened && is_sound;
    if (is_back && !stripe.is_in_flight) stripe.phase = Phase::kHeld;
    const bool has_run_out = now >= stripe.held_until && !stripe.is_in_flight;
    if (stripe.phase == Phase::kReleasing && has_run_out) {
      stripe.phase = Phase::kVacant;
    }
  }
}

auto GrantScheduler::CheckSilence(TimePoint now) -> void {
  std::vector<bool> silent(this->servers.size());
  for (std::size_t i = 0; i < this->servers.size(); ++i) {
    const auto& owner = this->servers[i].owner;
    const auto it = this->heard_at.find(owner.id);
    if (it == this->heard_at.end()) continue;
    const auto silence = now - it->second;
    if (silence > this->timing.max_response_age) {
      this->OnContactLost(owner);
    } else if (silence > this->timing.max_response_age / 2) {
      silent[i] = true;
    }
  }
  this->RenewOneOfEach(std::move(silent), now);
}

auto GrantScheduler::RenewOneOfEach(std::vector<bool> silent, TimePoint now)
    -> void {
  const auto places = PlacesOf(this->map.Owners(), this->servers);
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    auto& stripe = this->stripes[i];
    const int owner = this->map.OwnerIndexOf(i);
    const int place = owner >= 0 ? places[owner] : -1;
    if (place < 0 || !silent[place] || stripe.phase != Phase::kHeld) continue;
    stripe.due = std::min(stripe.due, now);
    silent[place] = false;
  }
}

auto GrantScheduler::NoteHeard(const KeyOwner& owner) -> void {
  this->heard_at[owner.id] = this->clock.Now();
}

auto GrantScheduler::EvenOut(TimePoint now) -> void {
  // What nobody may commit for now stays where it is.
  if (this->is_changing || this->is_lease_ending) return;
  if (now - this->evened_at < kEvenInterval) return;
  this->evened_at = now;
  const bool is_moving = std::any_of(
      this->stripes.begin(), this->stripes.end(),
      [](const Stripe& stripe) { return stripe.phase != Phase::kHeld; });
  if (is_moving) return;
  const auto leaving = StripePlanner::Even(this->Placement(), kMostEvened);
  for (const auto i : leaving) {
    this->stripes[i].phase = Phase::kReleasing;
    this->stripes[i].is_evened = true;
    this->stripes[i].due = now;
  }
}

auto GrantScheduler::MakeOrder(int stripe, KeyCommand::Kind kind)
    -> KeyCommand {
  auto& state = this->stripes[stripe];
  state.is_in_flight = true;
  // A release goes with a token above the owner's, so that a grant of ours
  // that is still on its way comes too late.
  const bool is_grant = kind == KeyCommand::Kind::kGrant;
  const auto token =
      is_grant ? this->map.TokenOf(stripe) : this->map.LastToken() + 1;
  return {kind,      stripe,         *this->map.OwnerOf(stripe),
          token,     state.handover, this->Hold(),
          this->term};
}

auto GrantScheduler::TakeOrders() -> std::vector<KeyCommand> {
  const auto now = this->clock.Now();
  this->UpdatePhases(now);
  this->CheckSilence(now);
  this->EvenOut(now);
  std::vector<KeyCommand> orders;
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    auto& stripe = this->stripes[i];
    if (stripe.is_in_flight || now < stripe.due) continue;
    if (this->map.OwnerOf(i) == nullptr) continue;
    if (stripe.phase == Phase::kReleasing) {
      orders.push_back(this->MakeOrder(i, KeyCommand::Kind::kRelease));
    } else if (stripe.phase == Phase::kHeld && !stripe.is_fence_stale) {
      orders.push_back(this->MakeOrder(i, KeyCommand::Kind::kGrant));
      stripe.held_until =
          std::max(stripe.held_until, this->HeldUntil(now, orders.back().ttl));
    }
  }
  return orders;
}

auto GrantScheduler::OnGrantReply(const KeyCommand& order, GrantReply reply)
    -> void {
  if (order.term != this->term) return;
  const auto now = this->clock.Now();
  auto& stripe = this->stripes[order.stripe];
  stripe.is_in_flight = false;
  stripe.due = std::max(stripe.due, now + kRetry);
  // It may have reached the server until just now.
  stripe.held_until =
      std::max(stripe.held_until, this->HeldUntil(now, order.ttl));
  stripe.is_fence_used = true;
  stripe.is_lost = false;
  if (reply != GrantReply::kNoResponse) this->NoteHeard(order.owner);
  if (reply == GrantReply::kAccepted) {
    stripe.due = now + this->RenewalAfter(order.stripe, stripe.is_new);
    stripe.is_new = false;
    stripe.handover.clear();
  }
  if (reply == GrantReply::kStaleToken) stripe.is_fence_stale = true;
}

auto GrantScheduler::RenewalAfter(int stripe, bool is_new) const -> Duration {
  if (!is_new) return this->timing.renewal_interval;
  // Stripes that are granted at the same time are renewed at different ones,
  // so that each server is heard of all the time.
  const double part = std::fmod(stripe * kGoldenRatio, 1.0);
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(this->timing.renewal_interval.count()) * part));
}

auto GrantScheduler::OnReleaseReply(const KeyCommand& order,
                                    const ReleaseReply& reply) -> void {
  if (order.term != this->term) return;
  auto& stripe = this->stripes[order.stripe];
  stripe.is_in_flight = false;
  stripe.due = std::max(stripe.due, this->clock.Now() + kRetry);
  if (!reply.is_released) return;
  this->NoteHeard(order.owner);
  stripe.phase = Phase::kVacant;
  stripe.handover = reply.handover;
}

auto GrantScheduler::OnNotSent(const KeyCommand& order) -> void {
  if (order.term != this->term) return;
  auto& stripe = this->stripes[order.stripe];
  stripe.is_in_flight = false;
  stripe.due = std::max(stripe.due, this->clock.Now() + kRetry);
}

auto GrantScheduler::Vacant() const -> std::vector<bool> {
  std::vector<bool> vacant;
  for (const auto& stripe : this->stripes) {
    vacant.push_back(stripe.phase == Phase::kVacant);
  }
  return vacant;
}

auto GrantScheduler::IsGathering(TimePoint now) -> bool {
  bool is_releasing = false;
  bool is_vacant = false;
  for (const auto& stripe : this->stripes) {
    is_releasing |= stripe.phase == Phase::kReleasing && stripe.is_in_flight;
    is_vacant |= stripe.phase == Phase::kVacant;
  }
  if (!is_vacant) this->vacant_since = now;
  return is_releasing && now - this->vacant_since < kGather;
}

auto GrantScheduler::PlanChange() -> bool {
  if (this->IsGathering(this->clock.Now())) return false;
  const auto moves = StripePlanner::Deal(this->Placement());
  bool has_stale = false;
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    const auto& stripe = this->stripes[i];
    has_stale |= stripe.is_fence_stale && stripe.phase == Phase::kHeld;
  }
  const bool is_recent =
      this->clock.Now() - this->committed_at < kTokenInterval;
  if (moves.empty() && (!has_stale || is_recent)) return false;
  this->planned = this->map;
  const auto token = this->planned.NextToken();
  for (const auto& move : moves) {
    this->planned.Assign(move.stripe, move.to, token);
  }
  for (int i = 0; i < this->map.StripeCount(); ++i) {
    const auto& stripe = this->stripes[i];
    if (!stripe.is_fence_stale || stripe.phase != Phase::kHeld) continue;
    this->planned.Assign(i, KeyOwner(*this->map.OwnerOf(i)), token);
  }
  this->is_changing = true;
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
    stripe.phase = Phase::kHeld;
    stripe.is_fence_stale = false;
    stripe.is_fence_used = false;
    stripe.is_evened = false;
    stripe.is_lost = false;
    stripe.is_new = true;
    stripe.due = now;
  }
  this->is_changing = false;
  this->map = this->planned;
  this->version = version;
  this->committed_at = now;
}

}  // namespace currantbeam
