#include "router/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

#include "core/error.h"

namespace currantbeam {
namespace {

/// @return the port; 0 unless the text is a decimal number of that range.
auto ParsePort(std::string_view text) -> std::uint16_t {
  std::uint16_t port = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, port);
  return result.ec == std::errc() && result.ptr == end ? port : 0;
}

}  // namespace

auto FormatEndpoint(const Endpoint& endpoint) -> std::string {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

auto ParseEndpoint(std::string_view text) -> Endpoint {
  const auto colon = text.rfind(':');
  const std::string address(text.substr(0, colon));
  boost::system::error_code error;
  boost::asio::ip::make_address(address, error);
  if (colon == std::string_view::npos || error) {
    throw InputError("'" + std::string(text) +
                     "' is not ADDRESS:PORT with an IP address");
  }
  const auto port = ParsePort(text.substr(colon + 1));
  if (port == 0) {
    throw InputError("'" + std::string(text) + "' has an invalid port");
  }
  return {address, port};
}

}  // namespace currantbeam
