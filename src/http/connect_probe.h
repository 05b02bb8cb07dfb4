#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace currantbeam {

/// Connects to an address and closes the connection at once.
/// @return whether the connection was refused, as no process listens there;
///   false if it was accepted or the attempt timed out.
auto IsConnectionRefused(const std::string& address, std::uint16_t port,
                         std::chrono::milliseconds timeout) -> bool;

}  // namespace currantbeam
