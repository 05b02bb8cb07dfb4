#include "policy/request_quarantine.h"

#include <algorithm>

#include "core/events.h"
#include "policy/quarantine_limits.h"

namespace currantbeam {
namespace {

/// From the end of a server until its last response has been read here.
constexpr Duration kMaxResponseDelay = std::chrono::milliseconds(100);

/// @param count  how many times the request was quarantined.
auto QuarantineLength(int count) -> Duration {
  Duration length = kFirstQuarantine;
  for (int i = 1; i < count && length < kMaxQuarantine; ++i) length *= 2;
  return std::min(length, kMaxQuarantine);
}

}  // namespace

auto RequestQuarantine::OnServerEnded(const ServerProcess& process,
                                      RequestFingerprint request, TimePoint now)
    -> void {
  this->ends.Add(process, request, now);
  this->Evaluate(request, now);
}

auto RequestQuarantine::OnAnswered(RequestFingerprint request) -> void {
  this->ends.Clear(request);
  const auto it = this->quarantined.find(request);
  if (it != this->quarantined.end()) this->ClearEntry(request, it->second);
}

auto RequestQuarantine::OnServerAlive(const ServerProcess& process,
                                      TimePoint now) -> void {
  this->ends.ClearProcess(process, now - kMaxResponseDelay);
}

auto RequestQuarantine::ClearEntry(RequestFingerprint request, Entry& entry)
    -> void {
  if (entry.is_cleared) return;
  entry.is_cleared = true;
  ++this->version;
  if (entry.is_released) return;
  entry.is_released = true;
  Log(events::kRequestReleased,
      {{"fingerprint", FormatFingerprint(request)}, {"answered", true}});
}

auto RequestQuarantine::Merge(const QuarantineState& state, TimePoint now)
    -> void {
  // Entries come first, as they say which ends count again.
  for (const auto& entry : state.quarantined) this->MergeEntry(entry, now);
  for (const auto& end : state.ends) this->ends.Merge(end, now);
  if (state.ends.empty()) return;
  for (const auto request : this->ends.Suspects()) this->Evaluate(request, now);
}

auto RequestQuarantine::MergeEntry(const QuarantinedRequest& other,
                                   TimePoint now) -> void {
  const auto until = now + other.remaining;
  const Entry received{other.count, until, false, until <= now};
  if (IsOutdated(received, now)) return;
  const auto it = this->quarantined.find(other.request);
  if (it == this->quarantined.end() || it->second.count < other.count) {
    this->Set(other.request, received);
  } else if (it->second.count == other.count) {
    // The earlier time holds, or delays of messages would add up.
    it->second.until = std::min(it->second.until, until);
  } else {
    return;
  }
  if (other.is_cleared) this->OnAnswered(other.request);
}

auto RequestQuarantine::Set(RequestFingerprint request, const Entry& entry)
    -> void {
  this->quarantined[request] = entry;
  ++this->version;
  if (!entry.is_released) {
    Log(events::kRequestQuarantined,
        {{"fingerprint", FormatFingerprint(request)}, {"count", entry.count}});
  }
  this->Limit();
}

auto RequestQuarantine::Evaluate(RequestFingerprint request, TimePoint now)
    -> void {
  if (this->TimeUntilRelease(request, now)) return;
  if (!this->HasEndedServers(request)) return;
  const auto it = this->quarantined.find(request);
  const int earlier_count =
      it == this->quarantined.end() ? 0 : it->second.count;
  const int count = std::min(earlier_count + 1, kMaxQuarantineCount);
  this->Set(request, {count, now + QuarantineLength(count), false, false});
}

auto RequestQuarantine::HasEndedServers(RequestFingerprint request) const
    -> bool {
  const auto it = this->quarantined.find(request);
  const bool is_on_probation =
      it != this->quarantined.end() && !it->second.is_cleared;
  if (is_on_probation) {
    return this->ends.CountSince(request, it->second.until) >= 1;
  }
  return this->ends.CountSince(request, TimePoint{}) >= kMaxEndsPerRequest;
}

auto RequestQuarantine::IsSuspect(RequestFingerprint request) const -> bool {
  const auto it = this->quarantined.find(request);
  const bool is_on_probation =
      it != this->quarantined.end() && !it->second.is_cleared;
  return is_on_probation || this->ends.CountSince(request, TimePoint{}) != 0;
}

auto RequestQuarantine::TimeUntilRelease(RequestFingerprint request,
                                         TimePoint now) const
    -> std::optional<Duration> {
  const auto it = this->quarantined.find(request);
  if (it == this->quarantined.end() || it->second.is_cleared) return {};
  if (it->second.until <= now) return {};
  return it->second.until - now;
}

auto RequestQuarantine::IsOutdated(const Entry& entry, TimePoint now) -> bool {
  return now >= entry.until + QuarantineLength(entry.count);
}

auto RequestQuarantine::Expire(TimePoint now) -> void {
  this->ends.Expire(now);
  for (auto it = this->quarantined.begin(); it != this->quarantined.end();) {
    auto& entry = it->second;
    if (!entry.is_released && entry.until <= now) {
      entry.is_released = true;
      Log(events::kRequestReleased,
          {{"fingerprint", FormatFingerprint(it->first)}, {"answered", false}});
    }
    it = IsOutdated(entry, now) ? this->quarantined.erase(it) : std::next(it);
  }
}

auto RequestQuarantine::Limit() -> void {
  while (this->quarantined.size() > kMaxQuarantined) {
    this->quarantined.erase(
        std::min_element(this->quarantined.begin(), this->quarantined.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.until < b.second.until;
                         }));
  }
}

auto RequestQuarantine::State(TimePoint now) const -> QuarantineState {
  QuarantineState state;
  state.ends = this->ends.Export(now);
  for (const auto& [request, entry] : this->quarantined) {
    if (IsOutdated(entry, now)) continue;
    state.quarantined.push_back(
        {request, entry.count, entry.until - now, entry.is_cleared});
  }
  return state;
}

}  // namespace currantbeam
