#pragma once

#include <string>
#include <string_view>

namespace currantbeam {

/// The value of ForwardingHeaders::leaving of a server that leaves.
constexpr std::string_view kServerLeaves = "1";

/// The names of the headers that callers, gateways and backend servers add to
/// requests and responses.
struct ForwardingHeaders {
  std::string request_id;    ///< Identifies one attempt of a caller.
  std::string deadline_ms;   ///< The remaining time until the deadline.
  std::string server_id;     ///< The only server that may run the request.
  std::string responder_id;  ///< In refusals: the server that sent it.
  std::string key;           ///< The key by which a service is sharded.
  std::string not_run;       ///< In responses: the request was not run.
  std::string seal;          ///< In responses: shows that a server sent it.
  std::string leaving;       ///< In responses: kServerLeaves if it leaves.
  std::string pause;  ///< In 503: seconds for which it wants no requests.
};

}  // namespace currantbeam
