#include "http/connect_probe.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http/http_types.h"
#include "runtime/runtime.h"

namespace currantbeam {

auto IsConnectionRefused(const std::string& address, std::uint16_t port,
                         std::chrono::milliseconds timeout) -> bool {
  namespace asio = boost::asio;
  boost::system::error_code address_error;
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(address, address_error), port);
  if (address_error) return false;
  TcpStream stream(FiberLoop::Current().Io());
  stream.expires_after(timeout);
  const auto result =
      Await([&](auto handler) { stream.async_connect(endpoint, handler); });
  return result.error == asio::error::connection_refused;
}

}  // namespace currantbeam
