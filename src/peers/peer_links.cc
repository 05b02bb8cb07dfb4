#include "peers/peer_links.h"

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
constexpr auto kOpenTimeoutMs = 500;
constexpr std::size_t kMaxBufferedBytes = 4 * 1024 * 1024;

}  // namespace

class PeerLinks::Client {
 public:
  using Endpoint = websocketpp::client<websocketpp::config::asio_client>;
  using Handle = websocketpp::connection_hdl;

  Client(FiberLoop& loop, Handler handler) : handler(std::move(handler)) {
    this->endpoint.clear_access_channels(websocketpp::log::alevel::all);
    this->endpoint.clear_error_channels(websocketpp::log::elevel::all);
    this->endpoint.init_asio(&loop.Io());
    this->endpoint.set_open_handshake_timeout(kOpenTimeoutMs);
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
    if (link.state == State::kDown) this->Connect(uri, link);
    if (link.state != State::kUp) return;
    websocketpp::lib::error_code error;
    const auto connection = this->endpoint.get_con_from_hdl(link.handle, error);
    if (error || connection->get_buffered_amount() > kMaxBufferedBytes) {
      this->Drop(link);
      return;
    }
    const auto data = EncodeMessage(message);
    this->bytes_sent += data.size();
    this->endpoint.send(link.handle, data, websocketpp::frame::opcode::binary,
                        error);
    if (error) this->Drop(link);
  }

  [[nodiscard]] auto BytesSent() const -> std::uint64_t {
    return this->bytes_sent;
  }

  auto Stop() -> void {
    this->stopped = true;
    for (auto& [uri, link] : this->links) this->Drop(link);
  }

 private:
  enum class State { kDown, kOpening, kUp };
  struct Link {
    State state = State::kDown;
    Handle handle;
    SteadyTime next_attempt;
  };

  auto Connect(const std::string& uri, Link& link) -> void {
    const auto now = std::chrono::steady_clock::now();
    if (this->stopped || now < link.next_attempt) return;
    link.next_attempt = now + kReconnectInterval;
    websocketpp::lib::error_code error;
    const auto connection = this->endpoint.get_connection(uri, error);
    if (error) return;
    connection->set_open_handler([&link](const Handle&) {
      if (link.state == State::kOpening) link.state = State::kUp;
    });
    const auto on_down = [this, &link](const Handle& handle) {
      const bool is_current = !handle.owner_before(link.handle) &&
                              !link.handle.owner_before(handle);
      if (is_current) link.state = State::kDown;
    };
    connection->set_fail_handler(on_down);
    connection->set_close_handler(on_down);
    connection->set_message_handler(
        [this, &link](const Handle&, const Endpoint::message_ptr& message) {
          this->OnMessage(link, message->get_payload());
        });
    link.handle = connection->get_handle();
    link.state = State::kOpening;
    this->endpoint.connect(connection);
  }

  auto OnMessage(Link& link, const std::string& data) -> void {
    try {
      this->handler(DecodeMessage(data));
    } catch (const InputError& error) {
      this->Refuse(link, error.what());
    } catch (const nlohmann::json::exception& error) {
      this->Refuse(link, error.what());
    }
  }

  auto Refuse(Link& link, const std::string& what) -> void {
    Log(events::kBadPeerMessage, {{"error", what}});
    this->Drop(link);
  }

  auto Drop(Link& link) -> void {
    websocketpp::lib::error_code ignored;
    if (link.state == State::kUp) {
      this->endpoint.close(link.handle, websocketpp::close::status::going_away,
                           "", ignored);
    }
    link.state = State::kDown;
    link.handle.reset();
  }

  Handler handler;
  Endpoint endpoint;
  std::map<std::string, Link> links;  ///< References to links stay valid.
  std::uint64_t bytes_sent = 0;
  bool stopped = false;
};

PeerLinks::PeerLinks(FiberLoop& loop, Handler handler)
    : client(std::make_unique<Client>(loop, std::move(handler))) {}
PeerLinks::~PeerLinks() = default;

auto PeerLinks::Send(const std::string& address, std::uint16_t port,
                     const nlohmann::json& message) -> void {
  this->client->Send(address, port, message);
}

auto PeerLinks::BytesSent() const -> std::uint64_t {
  return this->client->BytesSent();
}

auto PeerLinks::Stop() -> void { this->client->Stop(); }

}  // namespace currantbeam
