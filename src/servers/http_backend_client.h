#pragma once

#include <memory>

#include "http/http.h"
#include "servers/backend_client.h"

namespace currantbeam {

/// A BackendClient over HTTP with pooled connections; docs/PROTOCOLS.md
/// describes the headers.
class HttpBackendClient : public BackendClient {
 public:
  auto SendGrant(const BackendServer& server, const Grant& grant,
                 std::chrono::milliseconds timeout) -> GrantAnswer override;
  auto Send(const BackendServer& server, const BackendRequest& request)
      -> std::unique_ptr<BackendCall> override;
};

/// Names of the headers between gateways and backend servers.
namespace backend_headers {
constexpr const char* kSlot = "currantbeam-slot";
constexpr const char* kToken = "currantbeam-token";
constexpr const char* kDeadline = "currantbeam-deadline-ms";
constexpr const char* kBusy = "currantbeam-busy-us";
}  // namespace backend_headers

constexpr const char* kGrantPath = "/currantbeam/grant";

/// Encode and decode grants and the answers to them as JSON.
auto EncodeGrant(const Grant& grant) -> std::string;
/// @throws InputError if the text is not a grant.
auto DecodeGrant(const std::string& text) -> Grant;
auto EncodeGrantAnswer(const GrantAnswer& answer) -> std::string;
/// @throws InputError if the text is not an answer to a grant.
auto DecodeGrantAnswer(const std::string& text) -> GrantAnswer;

}  // namespace currantbeam
