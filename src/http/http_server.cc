#include "http/http_server.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdio>
#include <utility>

namespace currantbeam {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr auto kDrainPoll = std::chrono::milliseconds(5);
constexpr auto kAcceptRetry = std::chrono::milliseconds(20);

/// @return whether the other end has closed the connection, or reset it.
auto IsClosed(int socket) -> bool {
  char byte = 0;
  const auto got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool is_quiet = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return got <= 0 && !is_quiet;
}

}  // namespace

/// The server's end of one connection, serving one request after another.
class HttpServer::Connection : public HttpExchange {
 public:
  Connection(HttpServer& server, TcpSocket socket)
      : server(server),
        stream(std::move(socket)),
        buffer(kMaxBuffered),
        watch(std::make_shared<Watch>()) {}

  ~Connection() override { this->watch->on_gone = nullptr; }

  auto Run() -> void {
    bool is_open = true;
    while (is_open && this->AwaitRequest()) {
      // From its first byte on, so that a stop waits for it.
      ++this->server.in_hand;
      is_open = this->ServeOne();
      --this->server.in_hand;
    }
    this->Close();
  }

  [[nodiscard]] auto Request() const -> const HttpRequest& override {
    return this->request;
  }

  auto Send(HttpResponse response) -> void override {
    this->started = true;
    response.version(11);
    response.keep_alive(this->KeepAlive());
    response.prepare_payload();
    if (this->request.method() == http::verb::head) response.body().clear();
    this->Arm(this->server.options.io_timeout);
    const auto result = Await([&](auto handler) {
      http::async_write(this->stream, response, handler);
    });
    this->CheckWrite(result);
    this->finished = true;
  }

  auto StartBody(const http::response_header<>& head,
                 std::optional<std::uint64_t> length) -> void override {
    this->started = true;
    http::response<http::empty_body> response{head};
    response.version(11);
    response.keep_alive(this->KeepAlive());
    this->chunked = !length.has_value();
    if (this->chunked) {
      response.chunked(true);
    } else {
      response.content_length(*length);
    }
    http::response_serializer<http::empty_body> serializer(response);
    this->Arm(this->server.options.io_timeout);
    const auto result = Await([&](auto handler) {
      http::async_write_header(this->stream, serializer, handler);
    });
    this->CheckWrite(result);
  }

  auto SendBody(std::string_view data) -> void override {
    if (data.empty()) return;
    char size[20];
    const auto size_length =
        std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    const std::array<asio::const_buffer, 3> parts = {
        asio::buffer(size,
                     this->chunked ? static_cast<std::size_t>(size_length) : 0),
        asio::buffer(data.data(), data.size()),
        asio::buffer("\r\n", this->chunked ? 2 : 0)};
    this->Arm(this->server.options.io_timeout);
    const auto result = Await(
        [&](auto handler) { asio::async_write(this->stream, parts, handler); });
    this->CheckWrite(result);
  }

  auto FinishBody() -> void override {
    if (this->chunked) {
      this->Arm(this->server.options.io_timeout);
      const auto result = Await([&](auto handler) {
        asio::async_write(this->stream, asio::buffer("0\r\n\r\n", 5), handler);
      });
      this->CheckWrite(result);
    }
    this->finished = true;
  }

  auto Abort() -> void override {
    this->broken = true;
    boost::system::error_code ignored;
    // A reset, so that even a close-delimited answer is seen to be cut.
    this->stream.socket().set_option(asio::socket_base::linger(true, 0),
                                     ignored);
    this->stream.socket().close(ignored);
  }

  [[nodiscard]] auto HasStarted() const -> bool override {
    return this->started;
  }

  [[nodiscard]] auto IsClientGone() const -> bool override {
    return this->broken ||
           IsClosed(
               const_cast<TcpStream&>(this->stream).socket().native_handle());
  }

  auto WatchClient(std::function<void()> on_gone) -> void override {
    this->watch->on_gone = std::move(on_gone);
    if (!this->watch->on_gone || this->watch->pending) return;
    this->watch->pending = true;
    // The wait may outlive this connection; it then finds no callback.
    this->stream.socket().async_wait(
        TcpSocket::wait_read,
        [watch = this->watch, fd = this->stream.socket().native_handle()](
            const boost::system::error_code& error) {
          watch->pending = false;
          if (!watch->on_gone || error || !IsClosed(fd)) return;
          const auto callback = std::exchange(watch->on_gone, nullptr);
          callback();
        });
  }

  /// Ends the wait for a request. Call while the connection is idle.
  auto CancelIdle() -> void { this->stream.cancel(); }

 private:
  /// What tells that the client has closed its connection.
  struct Watch {
    std::function<void()> on_gone;
    bool pending = false;
  };

  static constexpr std::size_t kMaxBuffered = 1024 * 1024;
  static constexpr std::size_t kFirstRead = 4096;

  [[nodiscard]] auto KeepAlive() const -> bool {
    return this->request.keep_alive() && !this->server.stopping &&
           !this->server.closing;
  }

  auto Arm(std::chrono::milliseconds timeout) -> void {
    this->stream.expires_after(timeout);
  }

  auto CheckWrite(const AwaitResult& result) -> void {
    if (!result.error) return;
    this->broken = true;
    throw RequestError(Verdict::kMayHaveRun,
                       "client is gone: " + result.error.message());
  }

  /// Reads, handles and answers a request.
  /// @return whether the connection may carry another one.
  auto ServeOne() -> bool {
    if (!this->ReadRequest()) return false;
    this->started = false;
    this->finished = false;
    this->HandleOne();
    this->watch->on_gone = nullptr;
    return !this->broken && this->finished && this->KeepAlive();
  }

  /// Waits for the first bytes of a request.
  auto AwaitRequest() -> bool {
    return this->buffer.size() != 0 || this->ReadFirstBytes();
  }

  auto ReadRequest() -> bool {
    const auto& limits = this->server.options.limits;
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    auto result = this->ReadHead(parser);
    const bool is_head_late = result.error == asio::error::operation_aborted;
    if (!result.error && !parser.is_done()) {
      this->Arm(this->server.options.io_timeout);
      result = Await([&](auto handler) {
        http::async_read(this->stream, this->buffer, parser, handler);
      });
    }
    if (!result.error) {
      this->request = parser.release();
      return this->CheckFraming();
    }
    if (is_head_late) {
      this->RefuseInput(http::status::request_timeout, "head is late");
    } else if (IsParseError(result.error)) {
      this->RefuseInput(StatusOf(result.error), result.error.message());
    }
    return false;
  }

  /// Reads a request's head within the time that it may take.
  /// @return operation_aborted if it is late; the connection stays open, so
  ///   that the client can be told.
  auto ReadHead(http::request_parser<http::string_body>& parser)
      -> AwaitResult {
    this->stream.expires_never();
    asio::steady_timer timer(this->stream.get_executor());
    // The timer's handler may be due already when the head is in.
    const auto is_waiting = std::make_shared<bool>(true);
    if (!this->HasWholeHead()) {
      timer.expires_after(this->server.options.limits.header_timeout);
      timer.async_wait([this, is_waiting](const auto& error) {
        if (!error && *is_waiting) this->stream.socket().cancel();
      });
    }
    const auto result = Await([&](auto handler) {
      http::async_read_header(this->stream, this->buffer, parser, handler);
    });
    *is_waiting = false;
    return result;
  }

  [[nodiscard]] auto HasWholeHead() const -> bool {
    const auto data = this->buffer.cdata();
    const std::string_view text(static_cast<const char*>(data.data()),
                                data.size());
    return text.find("\r\n\r\n") != std::string_view::npos;
  }

  /// Waits for the next request as long as a kept connection may be idle.
  auto ReadFirstBytes() -> bool {
    this->buffer.shrink_to_fit();
    this->Arm(this->server.options.limits.idle_timeout);
    this->server.SetIdle(this, true);
    AwaitResult result;
    try {
      result = Await([&](auto handler) {
        this->stream.async_read_some(this->buffer.prepare(kFirstRead), handler);
      });
    } catch (const LoopStopped&) {
      this->server.SetIdle(this, false);
      throw;
    }
    this->server.SetIdle(this, false);
    if (result.error) return false;
    this->buffer.commit(result.bytes);
    return true;
  }

  /// Refuses a request that peers could frame in more than one way.
  auto CheckFraming() -> bool {
    const auto lengths = this->request.count(http::field::content_length);
    const bool is_chunked =
        this->request.count(http::field::transfer_encoding) != 0;
    if (lengths <= 1 && !(is_chunked && lengths != 0)) return true;
    this->RefuseInput(http::status::bad_request, "ambiguous length");
    return false;
  }

  static auto IsParseError(const boost::system::error_code& error) -> bool {
    const auto& parse_errors =
        http::make_error_code(http::error::end_of_stream).category();
    return error.category() == parse_errors &&
           error != http::error::end_of_stream &&
           error != http::error::partial_message;
  }

  static auto StatusOf(const boost::system::error_code& error) -> http::status {
    if (error == http::error::header_limit) {
      return http::status::request_header_fields_too_large;
    }
    if (error == http::error::body_limit) {
      return http::status::payload_too_large;
    }
    return http::status::bad_request;
  }

  auto RefuseInput(http::status status, const std::string& what) -> void {
    HttpResponse response{status, 11};
    SetVerdict(response, Verdict::kNotRun);
    response.set(http::field::content_type, "text/plain");
    response.body() = "request not understood: " + what + "\n";
    this->request = HttpRequest();
    this->request.keep_alive(false);
    try {
      this->Send(std::move(response));
    } catch (const RequestError&) {
      this->broken = true;
    }
    this->server.handler.OnBadInput(what);
  }

  auto HandleOne() -> void {
    try {
      this->server.handler.Handle(*this);
    } catch (const std::exception&) {
      this->broken = true;
    }
  }

  auto Close() -> void {
    boost::system::error_code ignored;
    if (!this->broken) {
      this->stream.socket().shutdown(TcpSocket::shutdown_send, ignored);
    }
    this->stream.socket().close(ignored);
  }

  HttpServer& server;
  TcpStream stream;
  boost::beast::flat_buffer buffer;
  HttpRequest request;
  std::shared_ptr<Watch> watch;
  bool started = false;
  bool finished = false;
  bool broken = false;
  bool chunked = false;
};

HttpServer::HttpServer(Options options, HttpHandler& handler)
    : options(std::move(options)), handler(handler) {}

auto HttpServer::Listen(FiberLoop& loop) -> void {
  const auto where =
      this->options.address + ":" + std::to_string(this->options.port);
  try {
    auto acceptor = std::make_shared<Acceptor>(loop.Io());
    const tcp::endpoint endpoint(asio::ip::make_address(this->options.address),
                                 this->options.port);
    acceptor->open(endpoint.protocol());
    acceptor->set_option(tcp::acceptor::reuse_address(true));
    acceptor->set_option(ReusePort(true));
    acceptor->bind(endpoint);
    acceptor->listen(asio::socket_base::max_listen_connections);
    {
      const std::lock_guard lock(this->mutex);
      this->acceptors.emplace_back(&loop, acceptor);
    }
    loop.Spawn([this, acceptor] { this->AcceptLoop(acceptor); });
  } catch (const boost::system::system_error& error) {
    throw Error("cannot listen on " + where + ": " + error.what());
  }
}

auto HttpServer::AcceptLoop(const std::shared_ptr<Acceptor>& acceptor) -> void {
  while (!this->stopping) {
    TcpSocket socket(FiberLoop::Current().Io().get_executor());
    const auto result =
        Await([&](auto handler) { acceptor->async_accept(socket, handler); });
    if (this->stopping) return;
    if (result.error) {
      SleepFor(kAcceptRetry);
      continue;
    }
    if (this->connections >= this->options.max_connections) continue;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    ++this->connections;
    auto shared = std::make_shared<TcpSocket>(std::move(socket));
    FiberLoop::Current().Spawn([this, shared] {
      this->Serve(std::move(*shared));
      --this->connections;
    });
  }
}

auto HttpServer::SetLimits(const HttpLimits& limits) -> void {
  this->options.limits = limits;
}

auto HttpServer::SetIdle(Connection* connection, bool is_idle) -> void {
  const std::lock_guard lock(this->mutex);
  if (is_idle) {
    this->idle.insert(connection);
  } else {
    this->idle.erase(connection);
  }
}

auto HttpServer::CloseIdle() -> void {
  const std::lock_guard lock(this->mutex);
  for (auto* connection : this->idle) connection->CancelIdle();
}

auto HttpServer::Serve(TcpSocket socket) -> void {
  Connection connection(*this, std::move(socket));
  connection.Run();
}

auto HttpServer::StopAccepting() -> void {
  this->stopping = true;
  const std::lock_guard lock(this->mutex);
  for (auto& [loop, acceptor] : this->acceptors) {
    asio::post(loop->Io(), [acceptor = acceptor] {
      boost::system::error_code ignored;
      acceptor->close(ignored);
    });
  }
  this->acceptors.clear();
}

auto HttpServer::Drain(std::chrono::milliseconds deadline) -> std::size_t {
  const auto until = std::chrono::steady_clock::now() + deadline;
  // What has just arrived is counted once its fiber has run.
  do {
    SleepFor(kDrainPoll);
  } while (this->in_hand != 0 && std::chrono::steady_clock::now() < until);
  return this->in_hand;
}

}  // namespace currantbeam
