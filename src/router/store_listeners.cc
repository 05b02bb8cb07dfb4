#include "router/store_listeners.h"

#include "core/events.h"

namespace currantbeam {
namespace {

auto LogReachable(const std::string& table, bool reachable) -> void {
  Log(reachable ? events::kTableBack : events::kTableLost, {{"table", table}});
}

}  // namespace

auto RoutesListener::OnRow(const StoreRow& row) -> void {
  try {
    auto config = this->schema.DecodeRoutes(row);
    if (!config || config->version <= this->version) return;
    this->version = config->version;
    Log(events::kRoutesInForce, {{"version", config->version},
                                 {"store_version", row.version.number},
                                 {"store_epoch", row.version.epoch}});
    this->on_routes(std::move(*config));
  } catch (const InputError& error) {
    Log(events::kRoutesUnread,
        {{"in_force", this->version}, {"error", error.what()}});
  }
}

auto RoutesListener::OnReachable(bool reachable) -> void {
  LogReachable(this->schema.RoutesTable(), reachable);
}

auto BackendsListener::OnRow(const StoreRow& row) -> void {
  try {
    const auto entry = this->schema.DecodeBackend(row);
    this->unreadable.erase(row.name.key);
    if (!this->directory.Apply(entry)) return;
    Log(events::kBackendKnown,
        {{"server", entry.id.Value()},
         {"service", entry.service.Value()},
         {"domain", entry.domain.Value()},
         {"state", entry.is_draining ? "draining" : "ready"},
         {"store_version", row.version.number},
         {"store_epoch", row.version.epoch}});
  } catch (const InputError& error) {
    this->directory.Remove(ServerId(row.name.key));
    if (!this->unreadable.insert(row.name.key).second) return;
    Log(events::kBackendUnread,
        {{"server", row.name.key}, {"error", error.what()}});
  }
}

auto BackendsListener::OnRemoved(const std::string& key) -> void {
  this->unreadable.erase(key);
  this->directory.Remove(ServerId(key));
  Log(events::kBackendGone, {{"server", key}});
}

auto BackendsListener::OnSynced() -> void {
  this->directory.OnSynced();
  this->is_current = true;
}

auto BackendsListener::OnReachable(bool reachable) -> void {
  if (reachable) {
    this->directory.OnStoreRecovered(this->unreachable_at());
    this->UpdateUpSince();
  }
  LogReachable(this->schema.BackendsTable(), reachable);
}

auto BackendsListener::ApplyTimeouts() -> void {
  this->UpdateUpSince();
  this->directory.ApplyTimeouts();
}

auto BackendsListener::UpdateUpSince() -> void {
  if (const auto since = this->up_since()) {
    this->directory.OnStoreUpSince(*since);
  }
}

}  // namespace currantbeam
