#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string_view>

#include "router/end_to_end_headers.h"
#include "router/request_forwarder.h"

namespace currantbeam {

/// What is known of a request while it is forwarded.
struct RequestContext {
  RequestContext(ForwardingState& state, HttpExchange& exchange)
      : state(state),
        exchange(exchange),
        arrived(state.clock.Now()),
        deadline(arrived),
        client_deadline(arrived),
        routes(state.routes) {}

  ForwardingState& state;
  HttpExchange& exchange;
  TimePoint arrived;
  TimePoint deadline;
  TimePoint client_deadline;                 ///< Until when the client waits.
  std::shared_ptr<const RouteTable> routes;  ///< Keeps `route` alive.
  const Route* route = nullptr;
  ServiceName service;
  bool is_keyed = false;
  bool is_client_gone = false;
  HttpConnection* current = nullptr;  ///< Broken off if the client leaves.

  /// @return the time until the deadline, and never less than 1 ms.
  [[nodiscard]] auto Left() const -> std::chrono::milliseconds {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->deadline - this->state.clock.Now());
    return std::max(left, std::chrono::milliseconds(1));
  }
  /// @return the request's key, if it has one.
  [[nodiscard]] auto Key() const -> std::optional<int> {
    const auto number =
        ParseNumber(ToView(this->exchange.Request()[this->state.headers.key]));
    if (!number || *number < 0 || *number >= kKeyCount) return std::nullopt;
    return static_cast<int>(*number);
  }
  /// Answers the caller, if it is still there.
  auto Answer(HttpResponse response) const -> void {
    this->exchange.SetDisconnectCallback(nullptr);
    try {
      this->exchange.Send(std::move(response));
    } catch (const RequestError&) {
      this->exchange.Abort();
    }
  }
  [[nodiscard]] auto RequestId() const -> std::string_view {
    return ToView(this->exchange.Request()[this->state.headers.request_id]);
  }
};

}  // namespace currantbeam
