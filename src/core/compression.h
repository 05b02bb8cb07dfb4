#pragma once

#include <cstddef>
#include <string>

namespace currantbeam {

/// @return the bytes in the zlib format of RFC 1950.
auto Compress(const std::string& bytes) -> std::string;

/// @param max_bytes  the largest result that is accepted.
/// @return the bytes that were compressed.
/// @throws InputError if the input is not in the zlib format, or the result
///   exceeds max_bytes.
auto Decompress(const std::string& compressed, std::size_t max_bytes)
    -> std::string;

}  // namespace currantbeam
