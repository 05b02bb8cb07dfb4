#pragma once

#include <map>
#include <optional>

#include "policy/quarantine_state.h"
#include "policy/server_end_log.h"

namespace currantbeam {

/// Decides which requests are refused because servers ended under them. A
/// request is quarantined once kMaxEndsPerRequest server processes have ended
/// while they ran it and no server has answered it since. After its quarantine
/// it may run again, but a single further end quarantines it for twice as long.
///
/// Each host has one. Merging the states of two hosts in any order and number
/// leads to the same decisions. Bounded by the constants in
/// quarantine_limits.h.
class RequestQuarantine {
 public:
  /// Records that a server process ended while it ran the request.
  auto OnServerEnded(const ServerProcess& process, RequestFingerprint request,
                     TimePoint now) -> void;
  /// Records that a server answered the request, which shows that the request
  /// does not end servers.
  auto OnAnswered(RequestFingerprint request) -> void;
  /// Records that the server process has responded, so that it has not ended: a
  /// server that is full may refuse connections, too. Ignored within 100 ms of
  /// the recorded end, as the response may be older.
  auto OnServerAlive(const ServerProcess& process, TimePoint now) -> void;
  /// Adds what another host knows.
  auto Merge(const QuarantineState& state, TimePoint now) -> void;
  /// Discards what is outdated. Call periodically.
  auto Expire(TimePoint now) -> void;

  /// @return whether no request is quarantined or a suspect. All requests may
  ///   run then, and answers need not be recorded.
  [[nodiscard]] auto IsIdle() const -> bool {
    return this->ends.IsEmpty() && this->quarantined.empty();
  }
  /// @return the time until the request may run again; nothing if it may run
  ///   now.
  [[nodiscard]] auto TimeUntilRelease(RequestFingerprint request,
                                      TimePoint now) const
      -> std::optional<Duration>;
  /// @return whether a server has ended under the request and none has answered
  ///   it since. Its repetitions should run one at a time.
  [[nodiscard]] auto IsSuspect(RequestFingerprint request) const -> bool;
  /// @return what is to be sent to other hosts.
  [[nodiscard]] auto State(TimePoint now) const -> QuarantineState;
  /// @return a number that changes when a request is quarantined or cleared.
  [[nodiscard]] auto Version() const -> std::uint64_t { return this->version; }

 private:
  struct Entry {
    int count = 1;  ///< How many times the request was quarantined.
    TimePoint until{};
    bool is_cleared = false;
    bool is_released = false;  ///< The end of the quarantine has been logged.
  };

  /// Quarantines the request if enough servers have ended under it.
  auto Evaluate(RequestFingerprint request, TimePoint now) -> void;
  /// @return whether the number of ends suffices to quarantine the request.
  [[nodiscard]] auto HasEndedServers(RequestFingerprint request) const -> bool;
  /// @return whether the quarantine ended so long ago that it no longer counts.
  static auto IsOutdated(const Entry& entry, TimePoint now) -> bool;
  auto MergeEntry(const QuarantinedRequest& other, TimePoint now) -> void;
  auto Set(RequestFingerprint request, const Entry& entry) -> void;
  auto ClearEntry(RequestFingerprint request, Entry& entry) -> void;
  /// Discards the entries that end first beyond kMaxQuarantined.
  auto Limit() -> void;

  ServerEndLog ends;
  std::map<RequestFingerprint, Entry> quarantined;
  std::uint64_t version = 0;
};

}  // namespace currantbeam
