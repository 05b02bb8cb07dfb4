#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "router/end_to_end_headers.h"
#include "router/request_forwarder.h"
#include "router/request_phase.h"

namespace currantbeam {

/// A connection to a server that has refused the request.
struct RefusedConnection {
  std::string address;
  std::uint16_t port = 0;
  std::unique_ptr<HttpConnection> connection;
};

/// The state of a request while it is forwarded; shared by ForwardedRequest and
/// its ServerAttempts.
struct RequestContext {
  RequestContext(ForwardingState& state, HttpExchange& exchange)
      : state(state),
        exchange(exchange),
        arrived_at(state.clock.Now()),
        deadline(arrived_at),
        client_deadline(arrived_at),
        routes(state.routes) {
    state.active_requests.Add(*this);
  }
  ~RequestContext() { this->state.active_requests.Remove(*this); }
  RequestContext(const RequestContext&) = delete;
  auto operator=(const RequestContext&) -> RequestContext& = delete;

  ForwardingState& state;
  HttpExchange& exchange;
  TimePoint arrived_at;
  TimePoint deadline;
  TimePoint client_deadline;  ///< When the client's timeout ends.
  std::shared_ptr<const RouteTable> routes;  ///< Keeps `route` alive.
  const Route* route = nullptr;
  ServiceName service;
  bool is_keyed = false;
  bool is_client_disconnected = false;
  /// The running attempt's connection; cancelled if the client disconnects.
  HttpConnection* upstream = nullptr;
  RequestPhase phase = RequestPhase::kConnecting;
  ServerId server;             ///< The server of the last attempt.
  TableStatus servers_status;  ///< When the last attempt's server was chosen.
  /// The age of the copy of the servers' table when the last attempt was sent.
  Duration sent_age{0};
  /// The age of what was known then of the server itself.
  Duration known_age{0};
  int send_count = 0;         ///< Completed attempts that sent the request.
  bool is_sent = false;       ///< The running attempt has begun to send it.
  bool may_have_run = false;  ///< At the server of an earlier attempt.
  /// Not used by the attempts that follow.
  std::vector<RefusedConnection> refused_connections;

  /// Checks the connection itself, as SetDisconnectCallback reports a
  /// disconnect only once the loop polls for events again.
  /// @return whether the client has disconnected.
  auto CheckClientDisconnected() -> bool {
    this->is_client_disconnected |= this->exchange.IsClientDisconnected();
    return this->is_client_disconnected;
  }
  /// @return when the request must get a response: at its deadline, or before
  ///   the process stops.
  [[nodiscard]] auto RespondAt() const -> TimePoint {
    return std::min(this->deadline, this->state.stop.respond_at);
  }
  /// @return when the server must have responded.
  [[nodiscard]] auto ServerDeadline() const -> TimePoint {
    return std::min(this->deadline, this->state.stop.servers_until);
  }
  /// @return the time until RespondAt(); not positive after it.
  [[nodiscard]] auto TimeLeft() const -> std::chrono::milliseconds {
    return this->TimeUntil(this->RespondAt());
  }
  /// @return the time until `time`; not positive after it.
  [[nodiscard]] auto TimeUntil(TimePoint time) const
      -> std::chrono::milliseconds {
    return std::chrono::ceil<std::chrono::milliseconds>(
        time - this->state.clock.Now());
  }
  /// @return the request's key; nothing if the header is absent or invalid.
  [[nodiscard]] auto Key() const -> std::optional<int> {
    const auto number =
        ParseNumber(ToView(this->exchange.Request()[this->state.headers.key]));
    if (!number || *number < 0 || *number >= kKeyCount) return std::nullopt;
    return static_cast<int>(*number);
  }
  auto ReleaseRefusedConnections() -> void {
    for (auto& refused : this->refused_connections) {
      ConnectionPool::Current().Release(refused.address, refused.port,
                                        std::move(refused.connection));
    }
    this->refused_connections.clear();
  }
  /// Sends the response, or closes the connection if that fails.
  auto Respond(HttpResponse response) -> void {
    this->phase = RequestPhase::kResponding;
    this->exchange.SetDisconnectCallback(nullptr);
    try {
      this->exchange.Send(std::move(response));
    } catch (const RequestError&) {
      this->exchange.Abort();
    }
  }
  /// Appends what was known of the servers when the last one was chosen, and
  /// when the request was sent.
  auto AppendServersStatus(std::vector<LogField>& fields) const -> void {
    const auto& status = this->servers_status;
    if (status.source == RowSource::kNone) return;
    fields.emplace_back("servers_version", status.version.number);
    fields.emplace_back("servers_age_us", status.age.count());
    fields.emplace_back("servers_source", ToString(status.source));
    fields.emplace_back("sent_age_us", this->sent_age.count());
    fields.emplace_back("known_age_us", this->known_age.count());
  }
  [[nodiscard]] auto RequestId() const -> std::string_view {
    return ToView(this->exchange.Request()[this->state.headers.request_id]);
  }
};

}  // namespace currantbeam
