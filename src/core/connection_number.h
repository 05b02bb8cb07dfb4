#pragma once

#include <cstdint>

namespace currantbeam {

/// Numbers the connections that a thread establishes, from 1, in their order.
using ConnectionNumber = std::uint64_t;

}  // namespace currantbeam
