#pragma once

#include <map>
#include <vector>

#include "policy/quarantine_state.h"

namespace currantbeam {

/// The server processes that ended recently, and the requests that ran there.
/// A request that a server answered later is no longer a suspect, so a request
/// that only ran beside the one that ended the server is cleared. Part of
/// RequestQuarantine.
class ServerEndLog {
 public:
  /// Records that a process ended while it ran a request.
  auto Add(const ServerProcess& process, RequestFingerprint request,
           TimePoint at) -> void;
  /// Records that a server answered the request.
  auto Clear(RequestFingerprint request) -> void;
  /// Clears all suspects of a process that was recorded to end before this
  /// time.
  auto ClearProcess(const ServerProcess& process, TimePoint before) -> void;
  /// Adds what another host recorded about a process. If the hosts differ in
  /// the time of the end, the earlier one holds.
  auto Merge(const ServerEnd& end, TimePoint now) -> void;
  /// Discards ends that are older than kServerEndRetention.
  auto Expire(TimePoint now) -> void;

  /// @return the number of processes that ended under the request at this time
  ///   or later.
  [[nodiscard]] auto CountSince(RequestFingerprint request,
                                TimePoint since) const -> int;
  /// @return the requests that are suspects at any process.
  [[nodiscard]] auto Suspects() const -> std::set<RequestFingerprint>;
  [[nodiscard]] auto IsEmpty() const -> bool { return this->ends.empty(); }
  /// @return the recorded ends, with their ages.
  [[nodiscard]] auto Export(TimePoint now) const -> std::vector<ServerEnd>;

 private:
  struct Record {
    TimePoint at{};
    std::set<RequestFingerprint> suspects;
    std::set<RequestFingerprint> cleared;
  };

  static auto AddSuspect(Record& record, RequestFingerprint request) -> void;
  static auto ClearSuspect(Record& record, RequestFingerprint request) -> void;
  /// Discards the oldest ends while there are more than kMaxSuspects requests.
  auto Limit() -> void;

  std::map<ServerProcess, Record> ends;
};

}  // namespace currantbeam
