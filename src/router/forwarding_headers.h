#pragma once

#include <string>

namespace currantbeam {

/// Names of the headers that carry the meaning of requests and answers
/// between callers, gateways and backend servers.
struct ForwardingHeaders {
  std::string request_id;    ///< Of one attempt of a caller.
  std::string deadline_ms;   ///< How long the sender will wait.
  std::string server_id;     ///< The only server that may run the request.
  std::string answering_id;  ///< In refusals: the server that refused.
  std::string key;           ///< The number by which a service is divided.
  std::string not_run;       ///< In answers: the server did not run it.
  std::string seal;          ///< In answers: the server's own mark.
};

}  // namespace currantbeam
