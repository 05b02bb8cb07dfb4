#include "peers/peer_client.h"

#include <map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

#include "core/core.h"
#include "core/events.h"
#include "peers/peer_message.h"

namespace currantbeam {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr auto kReconnectInterval = std::chrono::milliseconds(100);
constexpr auto kHandshakeTimeoutMs = 500;
/// A connection with more unsent data than this is closed.
constexpr std::size_t kMaxBufferedBytes = 4 * 1024 * 1024;

}  // namespace

class PeerClient::Impl {
 public:
  using Endpoint = websocketpp::client<websocketpp::config::asio_client>;
  using Handle = websocketpp::connection_hdl;

  Impl(FiberLoop& loop, Handler handler) : handler(std::move(handler)) {
    this->endpoint.clear_access_channels(websocketpp::log::alevel::all);
    this->endpoint.clear_error_channels(websocketpp::log::elevel::all);
    this->endpoint.init_asio(&loop.Io());
    this->endpoint.set_open_handshake_timeout(kHandshakeTimeoutMs);
    this->endpoint.set_tcp_post_init_handler([this](const Handle& handle) {
      boost::system::error_code ignored;
      this->endpoint.get_con_from_hdl(handle)->get_raw_socket().set_option(
          boost::asio::ip::tcp::no_delay(true), ignored);
    });
  }

  auto Send(const std::string& address, std::uint16_t port,
            const nlohmann::json& message) -> void {
    const auto uri = "ws://" + address + ":" + std::to_string(port);
    auto& link = this->links[uri];
    if (link.state == State::kDisconnected) this->Connect(uri, link);
    if (link.state != State::kConnected) return;
    websocketpp::lib::error_code error;
    const auto connection = this->endpoint.get_con_from_hdl(link.handle, error);
    if (error || connection->get_buffered_amount() > kMaxBufferedBytes) {
      this->Disconnect(link);
      return;
    }
    const auto encoded = EncodeMessage(message);
    this->bytes_sent += encoded.size();
    this->endpoint.send(link.handle, encoded,
                        websocketpp::frame::opcode::binary, error);
    if (error) this->Disconnect(link);
  }

  [[nodiscard]] auto BytesSent() const -> std::uint64_t {
    return this->bytes_sent;
  }

  auto Stop() -> void {
    this->stopped = true;
    for (auto& [uri, link] : this->links) this->Disconnect(link);
  }

 private:
  enum class State { kDisconnected, kConnecting, kConnected };
  /// The connection to one endpoint, and when it may be opened again.
  struct Link {
    State state = State::kDisconnected;
    Handle handle;
    SteadyTime next_attempt_at;
  };

  auto Connect(const std::string& uri, Link& link) -> void {
    const auto now = std::chrono::steady_clock::now();
    if (this->stopped || now < link.next_attempt_at) return;
    link.next_attempt_at = now + kReconnectInterval;
    websocketpp::lib::error_code error;
    const auto connection = this->endpoint.get_connection(uri, error);
    if (error) return;
    connection->set_open_handler([&link](const Handle&) {
      if (link.state == State::kConnecting) link.state = State::kConnected;
    });
    const auto on_disconnect = [this, &link](const Handle& handle) {
      const bool is_current = !handle.owner_before(link.handle) &&
                              !link.handle.owner_before(handle);
      if (is_current) link.state = State::kDisconnected;
    };
    connection->set_fail_handler(on_disconnect);
    connection->set_close_handler(on_disconnect);
    connection->set_message_handler(
        [this, &link](const Handle&, const Endpoint::message_ptr& message) {
          this->OnMessage(link, message->get_payload());
        });
    link.handle = connection->get_handle();
    link.state = State::kConnecting;
    this->endpoint.connect(connection);
  }

  auto OnMessage(Link& link, const std::string& encoded) -> void {
    try {
      this->handler(DecodeMessage(encoded));
    } catch (const InputError& error) {
      this->RejectMessage(link, error.what());
    } catch (const nlohmann::json::exception& error) {
      this->RejectMessage(link, error.what());
    }
  }

  auto RejectMessage(Link& link, const std::string& what) -> void {
    Log(events::kBadPeerMessage, {{"error", what}});
    this->Disconnect(link);
  }

  auto Disconnect(Link& link) -> void {
    websocketpp::lib::error_code ignored;
    if (link.state == State::kConnected) {
      this->endpoint.close(link.handle, websocketpp::close::status::going_away,
                           "", ignored);
    }
    link.state = State::kDisconnected;
    link.handle.reset();
  }

  Handler handler;
  Endpoint endpoint;
  std::map<std::string, Link> links;  ///< By URI; references stay valid.
  std::uint64_t bytes_sent = 0;
  bool stopped = false;
};

PeerClient::PeerClient(FiberLoop& loop, Handler handler)
    : impl(std::make_unique<Impl>(loop, std::move(handler))) {}
PeerClient::~PeerClient() = default;

auto PeerClient::Send(const std::string& address, std::uint16_t port,
                      const nlohmann::json& message) -> void {
  this->impl->Send(address, port, message);
}

auto PeerClient::BytesSent() const -> std::uint64_t {
  return this->impl->BytesSent();
}

auto PeerClient::Stop() -> void { this->impl->Stop(); }

}  // namespace currantbeam
