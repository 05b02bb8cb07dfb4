#include "policy/server_end_log.h"

#include <algorithm>

#include "policy/quarantine_limits.h"

namespace currantbeam {
namespace {

/// A response after this time may be that of a process that has started again
/// under the same id and whose entry is not known here yet.
constexpr Duration kMinRestartTime = std::chrono::seconds(1);

}  // namespace

auto ServerEndLog::Add(const ServerProcess& process, RequestFingerprint request,
                       TimePoint at) -> void {
  auto& record =
      this->ends.try_emplace(process, Record{at, {}, {}}).first->second;
  AddSuspect(record, request);
  this->Limit();
}

auto ServerEndLog::AddSuspect(Record& record, RequestFingerprint request)
    -> void {
  if (record.cleared.count(request) != 0) return;
  const auto size = record.suspects.size() + record.cleared.size();
  if (size < kMaxSuspectsPerServer) record.suspects.insert(request);
}

auto ServerEndLog::ClearSuspect(Record& record, RequestFingerprint request)
    -> void {
  if (record.suspects.erase(request) != 0) record.cleared.insert(request);
}

auto ServerEndLog::Clear(RequestFingerprint request) -> void {
  for (auto& [process, record] : this->ends) ClearSuspect(record, request);
}

auto ServerEndLog::ClearProcess(const ServerProcess& process, TimePoint before)
    -> void {
  const auto it = this->ends.find(process);
  if (it == this->ends.end() || it->second.at >= before) return;
  if (it->second.at < before - kMinRestartTime) return;
  auto& record = it->second;
  record.cleared.insert(record.suspects.begin(), record.suspects.end());
  record.suspects.clear();
}

auto ServerEndLog::Merge(const ServerEnd& end, TimePoint now) -> void {
  if (end.age >= kServerEndRetention) return;
  const auto at = now - end.age;
  auto& record =
      this->ends.try_emplace(end.process, Record{at, {}, {}}).first->second;
  record.at = std::min(record.at, at);
  // A request that was cleared elsewhere may be unknown at this process here.
  for (const auto request : end.cleared) {
    AddSuspect(record, request);
    ClearSuspect(record, request);
  }
  for (const auto request : end.suspects) AddSuspect(record, request);
  this->Limit();
}

auto ServerEndLog::Expire(TimePoint now) -> void {
  for (auto it = this->ends.begin(); it != this->ends.end();) {
    const bool is_expired = now - it->second.at >= kServerEndRetention;
    it = is_expired ? this->ends.erase(it) : std::next(it);
  }
}

auto ServerEndLog::Limit() -> void {
  std::size_t size = 0;
  for (const auto& [process, record] : this->ends) {
    size += record.suspects.size() + record.cleared.size();
  }
  while (size > kMaxSuspects) {
    const auto oldest = std::min_element(
        this->ends.begin(), this->ends.end(),
        [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
    size -= oldest->second.suspects.size() + oldest->second.cleared.size();
    this->ends.erase(oldest);
  }
}

auto ServerEndLog::CountSince(RequestFingerprint request, TimePoint since) const
    -> int {
  return static_cast<int>(
      std::count_if(this->ends.begin(), this->ends.end(), [&](const auto& end) {
        const Record& record = end.second;
        return record.at >= since && record.suspects.count(request) != 0;
      }));
}

auto ServerEndLog::Suspects() const -> std::set<RequestFingerprint> {
  std::set<RequestFingerprint> suspects;
  for (const auto& [process, record] : this->ends) {
    suspects.insert(record.suspects.begin(), record.suspects.end());
  }
  return suspects;
}

auto ServerEndLog::Export(TimePoint now) const -> std::vector<ServerEnd> {
  std::vector<ServerEnd> exported;
  for (const auto& [process, record] : this->ends) {
    const Duration age = now - record.at;
    if (age >= kServerEndRetention) continue;
    exported.push_back({process, age, record.suspects, record.cleared});
  }
  return exported;
}

}  // namespace currantbeam
