#include "servers/http_backend_client.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace currantbeam {
namespace {

constexpr auto kConnectTimeout = std::chrono::milliseconds(300);

/// A call over a pooled connection, which is released when the call is
/// destroyed.
class HttpBackendCall : public BackendCall {
 public:
  HttpBackendCall(const BackendServer& server,
                  std::unique_ptr<HttpConnection> connection,
                  std::unique_ptr<CancelOnPeerLoss> watch,
                  const http::response_header<>& head)
      : server(server),
        connection(std::move(connection)),
        watch(std::move(watch)),
        head(head) {}

  ~HttpBackendCall() override {
    this->watch.reset();
    ConnectionPool::Current().Release(this->server.endpoint.address,
                                      this->server.endpoint.port,
                                      std::move(this->connection));
  }

  [[nodiscard]] auto Outcome() const -> BackendOutcome override {
    const auto verdict = this->head.find(kVerdictHeader);
    const bool not_run = verdict != this->head.end() &&
                         verdict->value() == ToString(Verdict::kNotRun).data();
    if (!not_run) return BackendOutcome::kAnswered;
    if (this->head.result() == http::status::conflict) {
      return BackendOutcome::kNotOwner;
    }
    return BackendOutcome::kShed;
  }

  [[nodiscard]] auto Head() const -> const http::response_header<>& override {
    return this->head;
  }

  [[nodiscard]] auto BodyLength() const
      -> std::optional<std::uint64_t> override {
    return this->connection->BodyLength();
  }

  auto ReadBody(std::chrono::milliseconds timeout)
      -> std::string_view override {
    return this->connection->ReadBody(timeout);
  }

  [[nodiscard]] auto BusyTime() const -> std::optional<Duration> override {
    // A trailer takes precedence over the head, since the server knows the
    // busy time only at the end of the response.
    const auto text = this->connection->Field(backend_headers::kBusy);
    if (text.empty()) return std::nullopt;
    std::int64_t busy_us = 0;
    std::from_chars(text.data(), text.data() + text.size(), busy_us);
    return Duration(busy_us);
  }

 private:
  const BackendServer& server;
  std::unique_ptr<HttpConnection> connection;
  std::unique_ptr<CancelOnPeerLoss> watch;
  http::response_header<> head;
};

auto MakeBackendRequest(const BackendServer& server,
                        const BackendRequest& request, FencingToken token)
    -> HttpRequest {
  HttpRequest outgoing = *request.request;
  outgoing.version(11);
  outgoing.keep_alive(true);
  outgoing.set(http::field::host, server.endpoint.ToString());
  outgoing.set(backend_headers::kSlot, std::to_string(request.slot));
  outgoing.set(backend_headers::kToken, std::to_string(token));
  outgoing.set(backend_headers::kDeadline,
               std::to_string(request.deadline.count()));
  outgoing.prepare_payload();
  return outgoing;
}

}  // namespace

auto EncodeGrant(const Grant& grant) -> std::string {
  return ToJsonText({{"token", grant.token},
                     {"sequence", grant.sequence},
                     {"server_run", grant.server_run},
                     {"expires_at_us", grant.expires_at},
                     {"slots", grant.slots}});
}

auto DecodeGrant(const std::string& text) -> Grant {
  try {
    const auto json = nlohmann::json::parse(text);
    Grant grant;
    json.at("token").get_to(grant.token);
    json.at("sequence").get_to(grant.sequence);
    json.at("server_run").get_to(grant.server_run);
    json.at("expires_at_us").get_to(grant.expires_at);
    json.at("slots").get_to(grant.slots);
    return grant;
  } catch (const nlohmann::json::exception& error) {
    throw InputError(std::string("grant: ") + error.what());
  }
}

auto EncodeGrantAnswer(const GrantAnswer& answer) -> std::string {
  return ToJsonText({{"accepted", answer.accepted},
                     {"server_run", answer.server_run},
                     {"clock_us", answer.clock},
                     {"token", answer.token}});
}

auto DecodeGrantAnswer(const std::string& text) -> GrantAnswer {
  try {
    const auto json = nlohmann::json::parse(text);
    GrantAnswer answer;
    json.at("accepted").get_to(answer.accepted);
    json.at("server_run").get_to(answer.server_run);
    json.at("clock_us").get_to(answer.clock);
    json.at("token").get_to(answer.token);
    return answer;
  } catch (const nlohmann::json::exception& error) {
    throw InputError(std::string("answer to a grant: ") + error.what());
  }
}

auto HttpBackendClient::SendGrant(const BackendServer& server,
                                  const Grant& grant,
                                  std::chrono::milliseconds timeout)
    -> GrantAnswer {
  HttpRequest request{http::verb::post, kGrantPath, 11};
  request.set(http::field::content_type, "application/json");
  request.body() = EncodeGrant(grant);
  const auto response = Fetch(server.endpoint.address, server.endpoint.port,
                              std::move(request), timeout);
  if (response.result() != http::status::ok) {
    throw RequestError(
        Verdict::kMayHaveRun,
        "grant was answered with " + std::to_string(response.result_int()));
  }
  return DecodeGrantAnswer(response.body());
}

auto HttpBackendClient::Send(const BackendServer& server,
                             const BackendRequest& request)
    -> std::unique_ptr<BackendCall> {
  const auto& endpoint = server.endpoint;
  auto connection = ConnectionPool::Current().Acquire(
      endpoint.address, endpoint.port,
      std::min(kConnectTimeout, request.deadline));
  const auto token = request.authorize();
  if (!token.has_value()) {
    throw RequestError(Verdict::kNotRun, "no grant in force for slot " +
                                             std::to_string(request.slot));
  }
  const auto outgoing = MakeBackendRequest(server, request, *token);
  auto watch =
      std::make_unique<CancelOnPeerLoss>(*connection, request.should_cancel);
  const auto head = connection->Exchange(outgoing, request.deadline);
  return std::make_unique<HttpBackendCall>(server, std::move(connection),
                                           std::move(watch), head);
}

}  // namespace currantbeam
