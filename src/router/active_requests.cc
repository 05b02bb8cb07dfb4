#include "router/active_requests.h"

#include "core/events.h"
#include "router/request_context.h"

namespace currantbeam {

auto ActiveRequests::CancelAttempts() const -> void {
  for (const auto* request : this->requests) {
    const bool is_waiting =
        request->upstream != nullptr && !request->exchange.HasStarted();
    if (is_waiting) request->upstream->Cancel();
  }
}

auto ActiveRequests::LogCut() const -> void {
  for (const auto* request : this->requests) {
    const auto now = request->state.clock.Now();
    Log(events::kRequestCut,
        {{"request", request->RequestId()},
         {"service", request->service.Value()},
         {"phase", ToString(request->phase)},
         {"server", request->server.Value()},
         {"sends", request->send_count + (request->is_sent ? 1 : 0)},
         {"may_have_run", request->may_have_run || request->is_sent},
         {"took_us", (now - request->arrived_at).count()},
         {"left_us", (request->deadline - now).count()}});
  }
}

}  // namespace currantbeam
