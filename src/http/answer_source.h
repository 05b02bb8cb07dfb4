#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/core.h"
#include "http/http_types.h"

namespace currantbeam {

/// An answer that is being received: its head, then its body in parts.
class AnswerSource {
 public:
  virtual ~AnswerSource() = default;
  [[nodiscard]] virtual auto Head() const -> const http::response_header<>& = 0;
  /// @return the body's length in bytes, if the answer states it.
  [[nodiscard]] virtual auto BodyLength() const
      -> std::optional<std::uint64_t> = 0;
  /// @return the next part of the body; empty at its end.
  /// @throws RequestError if the answer is cut short.
  virtual auto ReadBody(std::chrono::milliseconds timeout)
      -> std::string_view = 0;
};

}  // namespace currantbeam
