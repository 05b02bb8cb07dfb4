#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "backends/backends.h"
#include "router/make_entry.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Backend servers, the table in which they publish their entries, and a
/// directory that follows it. The table can be restored from an older copy.
class RestoredStore {
 public:
  /// Starts the server, or restarts it.
  auto Start(const ServerId& id) -> void {
    auto entry = MakeEntry(id.Value(), 1);
    entry.started = milliseconds(++this->starts);
    entry.sequence = 0;
    this->running[id] = entry;
    this->Write(id);
  }
  auto Drain(const ServerId& id) -> void {
    if (this->running.count(id) == 0) return;
    this->running[id].is_draining = true;
    this->Write(id);
  }
  auto Leave(const ServerId& id) -> void {
    if (this->running.erase(id) == 0) return;
    this->table.erase(id);
    this->directory.Remove(id);
  }
  /// The server publishes its entry. The directory receives it only if more
  /// than the sequence has changed.
  auto Write(const ServerId& id) -> void {
    if (this->running.count(id) == 0) return;
    auto& entry = this->running[id];
    ++*entry.sequence;
    const auto stored = this->table.find(id);
    const bool has_changed = stored == this->table.end() ||
                             stored->second.started != entry.started ||
                             stored->second.is_draining != entry.is_draining;
    this->table[id] = entry;
    if (has_changed) this->directory.Apply(entry);
  }
  auto Copy() -> void {
    this->copy = this->table;
    this->copied_at = this->clock.Now();
  }
  auto Restore() -> void {
    if (this->clock.Now() - this->copied_at > seconds(30)) return;
    const auto lost = std::exchange(this->table, this->copy);
    this->directory.OnRollback();
    for (const auto& [id, entry] : this->table) this->directory.Apply(entry);
    for (const auto& [id, entry] : lost) {
      if (this->table.count(id) == 0) this->directory.Remove(id);
    }
    this->directory.OnSynced();
    this->Check();
    this->Advance(seconds(1));
    for (const auto& [id, entry] : this->running) this->Write(id);
    this->Check();
    this->Advance(seconds(3));
    for (const auto& [id, entry] : this->copy) {
      if (this->running.count(id) != 0) continue;
      this->table.erase(id);
      this->directory.Remove(id);
    }
    this->Advance(seconds(3));
  }
  auto Advance(Duration duration) -> void {
    this->clock.Advance(duration);
    this->directory.ApplyTimeouts();
    this->Check();
  }
  auto Check() const -> void {
    std::set<std::string> expected;
    for (const auto& [id, entry] : this->running) {
      if (!entry.is_draining) expected.insert(id.Value());
    }
    std::set<std::string> ready;
    for (const auto& target : this->directory.Ready(ServiceName("s"))) {
      ready.insert(target->entry.id.Value());
      const auto it = this->running.find(target->entry.id);
      RC_ASSERT(it != this->running.end());
      RC_ASSERT(it->second.started == target->entry.started);
    }
    RC_ASSERT(ready == expected);
  }

 private:
  ManualClock clock;
  BackendDirectory directory{this->clock};
  std::map<ServerId, BackendEntry> running;
  std::map<ServerId, BackendEntry> table;
  std::map<ServerId, BackendEntry> copy;
  TimePoint copied_at{};
  int starts = 0;
};

TEST(RestoredDirectory, ListsExactlyTheRunningServersAfterAnyRestores) {
  EXPECT_TRUE(rc::check("ready servers are those that run and don't drain", [] {
    RestoredStore store;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 3)));
    for (const auto& [action, argument] : steps) {
      const ServerId id(std::to_string(argument));
      if (action <= 1) store.Start(id);
      if (action == 2) store.Drain(id);
      if (action == 3) store.Leave(id);
      if (action == 4) store.Write(id);
      if (action == 5) store.Copy();
      if (action == 6) store.Restore();
      store.Advance(milliseconds(500));
    }
  }));
}

}  // namespace
}  // namespace currantbeam
