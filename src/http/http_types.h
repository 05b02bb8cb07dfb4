#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/rate_policy.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <string>

#include "core/core.h"

namespace currantbeam {

namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;
/// A request whose body is stored elsewhere.
using HttpRequestView = http::request<http::span_body<const char>>;
using HttpFields = http::fields;
using TcpSocket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                     boost::asio::io_context::executor_type>;
using TcpStream =
    boost::beast::basic_stream<boost::asio::ip::tcp,
                               boost::asio::io_context::executor_type,
                               boost::beast::unlimited_rate_policy>;

/// The response header that says whether the request ran on a backend server.
constexpr const char* kVerdictHeader = "currantbeam-verdict";

inline auto SetVerdict(HttpFields& fields, Verdict verdict) -> void {
  fields.set(kVerdictHeader, std::string(ToString(verdict)));
}

/// Limits on the requests that a client may send.
struct HttpLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  /// For receiving a request's head, from its first byte to its last.
  std::chrono::milliseconds header_timeout{30000};
  /// How long a connection may stay open without a request.
  std::chrono::milliseconds idle_timeout{120000};
};

}  // namespace currantbeam
