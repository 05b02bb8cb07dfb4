#include "peers/peer_server.h"

#include <set>
#include <utility>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

#include "core/core.h"
#include "core/events.h"
#include "peers/peer_message.h"

namespace currantbeam {
namespace {

constexpr std::size_t kMaxMessageBytes = 32 * 1024 * 1024;

}  // namespace

class PeerServer::Impl {
 public:
  using Server = websocketpp::server<websocketpp::config::asio>;

  Impl(FiberLoop& loop, Handler handler) : handler(std::move(handler)) {
    this->server.clear_access_channels(websocketpp::log::alevel::all);
    this->server.clear_error_channels(websocketpp::log::elevel::all);
    this->server.init_asio(&loop.Io());
    this->server.set_reuse_addr(true);
    this->server.set_max_message_size(kMaxMessageBytes);
    this->server.set_tcp_post_init_handler(
        [this](const websocketpp::connection_hdl& handle) {
          boost::system::error_code ignored;
          this->server.get_con_from_hdl(handle)->get_raw_socket().set_option(
              boost::asio::ip::tcp::no_delay(true), ignored);
        });
    this->server.set_message_handler(
        [this](const websocketpp::connection_hdl& handle,
               const Server::message_ptr& message) {
          this->OnMessage(handle, message->get_payload());
        });
    this->server.set_open_handler(
        [this](const websocketpp::connection_hdl& handle) {
          this->open_connections.insert(handle);
        });
    this->server.set_close_handler(
        [this](const websocketpp::connection_hdl& handle) {
          this->open_connections.erase(handle);
        });
  }

  auto Listen(const std::string& address, std::uint16_t port) -> void {
    websocketpp::lib::error_code error;
    this->server.listen(address, std::to_string(port), error);
    if (!error) this->server.start_accept(error);
    if (error) {
      throw Error("cannot listen on " + address + ":" + std::to_string(port) +
                  ": " + error.message());
    }
  }

  auto Stop() -> void {
    websocketpp::lib::error_code ignored;
    this->server.stop_listening(ignored);
    for (const auto& handle : this->open_connections) {
      this->server.close(handle, websocketpp::close::status::going_away, "",
                         ignored);
    }
  }

 private:
  auto OnMessage(const websocketpp::connection_hdl& handle,
                 const std::string& encoded) -> void {
    websocketpp::lib::error_code ignored;
    try {
      const auto reply = this->handler(DecodeMessage(encoded));
      if (!reply.has_value()) return;
      this->server.send(handle, EncodeMessage(*reply),
                        websocketpp::frame::opcode::binary, ignored);
    } catch (const InputError& error) {
      this->RejectMessage(handle, error.what());
    } catch (const nlohmann::json::exception& error) {
      this->RejectMessage(handle, error.what());
    }
  }

  auto RejectMessage(const websocketpp::connection_hdl& handle,
                     const std::string& what) -> void {
    Log(events::kBadPeerMessage, {{"error", what}});
    websocketpp::lib::error_code ignored;
    this->server.close(handle, websocketpp::close::status::invalid_payload,
                       what.substr(0, 100), ignored);
  }

  Handler handler;
  Server server;
  std::set<websocketpp::connection_hdl,
           std::owner_less<websocketpp::connection_hdl>>
      open_connections;
};

PeerServer::PeerServer(FiberLoop& loop, Handler handler)
    : impl(std::make_unique<Impl>(loop, std::move(handler))) {}
PeerServer::~PeerServer() = default;

auto PeerServer::Listen(const std::string& address, std::uint16_t port)
    -> void {
  this->impl->Listen(address, port);
}

auto PeerServer::Stop() -> void { this->impl->Stop(); }

}  // namespace currantbeam
