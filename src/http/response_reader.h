#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/core.h"
#include "http/http_types.h"

namespace currantbeam {

/// A response that is being received: its head, then its body in chunks.
class ResponseReader {
 public:
  virtual ~ResponseReader() = default;
  [[nodiscard]] virtual auto Head() const -> const http::response_header<>& = 0;
  /// @return the body's length in bytes; none if the response doesn't state it.
  [[nodiscard]] virtual auto BodyLength() const
      -> std::optional<std::uint64_t> = 0;
  /// @param timeout  for receiving the next chunk. The call fails if it is not
  ///   positive, also if the chunk is there.
  /// @return the next chunk of the body, valid until the next call; empty at
  /// the end of the body.
  /// @throws RequestError if the response is truncated or the timeout expires.
  virtual auto ReadBody(std::chrono::milliseconds timeout)
      -> std::string_view = 0;
};

}  // namespace currantbeam
