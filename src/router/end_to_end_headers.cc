#include "router/end_to_end_headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace currantbeam {
namespace {

constexpr auto kMaxParsedTime = std::chrono::hours(24 * 365);

/// Headers that apply to a single connection and are not forwarded.
constexpr std::array<http::field, 8> kHopByHopHeaders = {
    http::field::connection,       http::field::keep_alive,
    http::field::proxy_connection, http::field::te,
    http::field::trailer,          http::field::transfer_encoding,
    http::field::upgrade,          http::field::content_length};

auto IsHopByHop(http::field name) -> bool {
  return std::find(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), name) !=
         kHopByHopHeaders.end();
}

}  // namespace

auto CopyEndToEndHeaders(const HttpFields& from, HttpFields& to) -> void {
  // Headers that the Connection header names are hop-by-hop as well.
  auto named = http::token_list(from[http::field::connection]);
  for (const auto& field : from) {
    if (IsHopByHop(field.name())) continue;
    if (named.exists(field.name_string())) continue;
    to.insert(field.name(), field.name_string(), field.value());
  }
}

auto ParseNumber(std::string_view text) -> std::optional<std::int64_t> {
  std::int64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return number;
}

auto ParseSeconds(std::string_view text)
    -> std::optional<std::chrono::milliseconds> {
  double seconds = 0;
  const auto* end = text.data() + text.size();
  const auto result =
      std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  if (!std::isfinite(seconds) || std::signbit(seconds)) return std::nullopt;
  const std::chrono::duration<double> max = kMaxParsedTime;
  return std::chrono::milliseconds(
      std::llround(std::min(seconds, max.count()) * 1000));
}

}  // namespace currantbeam
