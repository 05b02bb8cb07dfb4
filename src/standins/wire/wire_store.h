#pragma once

#include <atomic>
#include <string>

#include "http/http.h"
#include "store/store.h"

namespace currantbeam {

/// The platform's table store on its own wire, kept in memory: rows, feeds
/// that wait, dropped history, and faults on demand. One loop.
class WireStore : public HttpHandler {
 public:
  WireStore() : store(this->clock) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& what) -> void override;

  /// Writes a row without a call, as operators and servers do.
  auto Put(const RowName& name, const std::string& value) -> void;
  auto Remove(const RowName& name) -> void;
  /// Answers 503 to every call, or serves again.
  auto SetBusy(bool busy) -> void { this->is_busy = busy; }
  /// Keeps every call waiting, or serves again.
  auto SetSilent(bool silent) -> void { this->is_silent = silent; }
  auto DropHistory() -> void { this->store.DropHistory(); }
  [[nodiscard]] auto Find(const RowName& name) const
      -> std::optional<StoreRow> {
    return this->store.Find(name);
  }
  [[nodiscard]] auto Calls() const -> int { return this->calls; }

 private:
  auto Answer(const HttpRequest& request) -> HttpResponse;
  auto Transact(const std::string& body) -> HttpResponse;
  auto Feed(const std::string& target) -> HttpResponse;

  SteadyClock clock;
  MemoryStore store;
  bool is_busy = false;
  bool is_silent = false;
  int calls = 0;
};

}  // namespace currantbeam
