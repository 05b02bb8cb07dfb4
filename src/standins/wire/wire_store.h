#pragma once

#include <atomic>
#include <optional>
#include <string>

#include "http/http.h"
#include "standins/wire/store_backup.h"
#include "store/store.h"

namespace currantbeam {

/// A stand-in for the platform's table store. Serves the store's wire protocol
/// from a MemoryStore: row reads, conditional writes and change feeds, with
/// faults on demand. Runs on one loop.
///
/// Two calls of its own control it: /standin/drop-history, and
/// /standin/restore?seconds=N&downMs=M&rewriteMs=R, by which the store answers
/// 503 for M ms and then holds what it held N s before the call, until R ms
/// later the rows of the operator and of the servers are written again.
class WireStore : public HttpHandler {
 public:
  WireStore() : store(this->clock) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

  /// Writes a row directly, in place of an operator or a backend server.
  auto Put(const RowName& name, const std::string& value) -> void;
  auto Remove(const RowName& name) -> void;
  /// While true, responds to every call with status 503.
  auto SetUnavailable(bool unavailable) -> void {
    this->is_unavailable = unavailable;
  }
  /// While true, sends no response to any call.
  auto SetHung(bool hung) -> void { this->is_hung = hung; }
  /// Limits the rows of a page, as the platform's limit of its bytes does.
  auto SetMaxPageRows(std::size_t rows) -> void { this->max_page_rows = rows; }
  /// Discards past changes; feeds that continue before this point get 410.
  auto DropHistory() -> void { this->store.DropHistory(); }
  [[nodiscard]] auto TakeCopy() const -> MemoryStore::Copy {
    return this->store.TakeCopy();
  }
  /// Restores the store from a copy. The rows of the operator and of the
  /// backend servers that are lost by it are written again after a delay.
  auto Restore(const MemoryStore::Copy& copy, Duration rewrite_delay) -> void {
    this->backup.Restore(copy, rewrite_delay);
  }
  [[nodiscard]] auto Find(const RowName& name) const
      -> std::optional<StoreRow> {
    return this->store.Find(name);
  }
  [[nodiscard]] auto CallCount() const -> int { return this->calls; }

 private:
  /// How the store is restored from a copy.
  struct Rollback {
    Duration age{0};            ///< Of the copy, when the store goes down.
    Duration down_time{0};      ///< Until the store is restored.
    Duration rewrite_delay{0};  ///< From the restore until rows are rewritten.
  };

  auto StartRollback(const Rollback& rollback) -> void;
  /// Does what is due in a rollback.
  auto ContinueRollback() -> void;
  auto SendResponse(HttpExchange& exchange, HttpResponse response) -> void;
  auto HandleRestore(const std::string& target) -> HttpResponse;
  auto Dispatch(const HttpRequest& request) -> HttpResponse;
  auto HandleRead(const std::string& target) -> HttpResponse;
  auto HandleTransaction(const std::string& body) -> HttpResponse;
  auto HandleFeed(const std::string& target) -> HttpResponse;

  SteadyClock clock;
  MemoryStore store;
  StoreBackup backup{this->store, this->clock, {"op", "servers"}};
  std::optional<Rollback> rollback;  ///< While the store is down for it.
  TimePoint rollback_at{};
  bool is_unavailable = false;
  bool is_hung = false;
  std::size_t max_page_rows = 500;
  int calls = 0;
};

}  // namespace currantbeam
