#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace currantbeam {

/// A network address to listen on or connect to.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;
};

/// @return the endpoint as ADDRESS:PORT.
auto FormatEndpoint(const Endpoint& endpoint) -> std::string;

/// @param text  "ADDRESS:PORT" with an IP address and a port above 0.
/// @throws InputError if the text is anything else.
auto ParseEndpoint(std::string_view text) -> Endpoint;

}  // namespace currantbeam
