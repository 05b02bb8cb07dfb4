#include "store/copy_fetcher.h"

#include <algorithm>

#include "core/events.h"
#include "runtime/runtime.h"

namespace currantbeam {
namespace {

/// Until a host begins to send the rows.
constexpr auto kResponseTimeout = std::chrono::milliseconds(400);
/// How long a source is looked for.
constexpr Duration kMaxSearchTime = std::chrono::milliseconds(1500);
/// Pause before hosts are asked again that are all busy.
constexpr Duration kMinPause = std::chrono::milliseconds(20);
constexpr Duration kMaxPause = std::chrono::milliseconds(80);

}  // namespace

auto CopyFetcher::Fetch(const TableAnnouncement& announcement,
                        const std::string& announced_by, StoreVersion after)
    -> FetchedCopy {
  StoreReadRequest request;
  request.table = announcement.table;
  request.after = after;
  request.is_of_copy = true;
  request.sender = this->own_endpoint;
  const auto search_until = this->clock.Now() + kMaxSearchTime;
  auto endpoint = announced_by;
  while (true) {
    try {
      return this->FetchFrom(endpoint, request);
    } catch (const CopyBusy& busy) {
      if (this->clock.Now() > search_until) throw;
      const auto& others = busy.Others();
      if (others.empty()) this->Pause();
      endpoint = others.empty() ? announced_by
                                : others[this->random() % others.size()];
    } catch (const StoreError&) {
      const bool may_ask_again =
          endpoint != announced_by && this->clock.Now() < search_until;
      if (!may_ask_again) throw;
      endpoint = announced_by;
    }
  }
}

auto CopyFetcher::FetchFrom(const std::string& endpoint,
                            const StoreReadRequest& request) -> FetchedCopy {
  const auto requested_at = this->clock.Now();
  const auto log = [&](const std::string& outcome, std::size_t rows) {
    Log(events::kCopyFetched,
        {{"table", request.table},
         {"peer", endpoint},
         {"rows", rows},
         {"took_ms", Milliseconds(this->clock.Now() - requested_at)},
         {"outcome", outcome}});
  };
  try {
    auto batch = this->link.Send(endpoint, request, kResponseTimeout);
    log("received", batch.rows.size());
    return {std::move(batch), requested_at};
  } catch (const StoreError& error) {
    log(error.what(), 0);
    throw;
  }
}

auto CopyFetcher::Pause() -> void {
  std::uniform_int_distribution<Duration::rep> pause(kMinPause.count(),
                                                     kMaxPause.count());
  SleepFor(Duration(pause(this->random)));
}

}  // namespace currantbeam
