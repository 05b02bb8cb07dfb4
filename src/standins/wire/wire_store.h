#pragma once

#include <atomic>
#include <string>

#include "http/http.h"
#include "store/store.h"

namespace currantbeam {

/// A stand-in for the platform's table store. Serves the store's wire protocol
/// from a MemoryStore: row reads, conditional writes and change feeds, with
/// faults on demand. Runs on one loop.
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
  [[nodiscard]] auto Find(const RowName& name) const
      -> std::optional<StoreRow> {
    return this->store.Find(name);
  }
  [[nodiscard]] auto CallCount() const -> int { return this->calls; }

 private:
  auto Dispatch(const HttpRequest& request) -> HttpResponse;
  auto HandleRead(const std::string& target) -> HttpResponse;
  auto HandleTransaction(const std::string& body) -> HttpResponse;
  auto HandleFeed(const std::string& target) -> HttpResponse;

  SteadyClock clock;
  MemoryStore store;
  bool is_unavailable = false;
  bool is_hung = false;
  std::size_t max_page_rows = 500;
  int calls = 0;
};

}  // namespace currantbeam
