#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "config/config.h"
#include "http/http_types.h"

namespace currantbeam {

/// The neighbour of all requests that name no configured neighbour.
constexpr const char* kOtherNeighbour = "other";

/// A client request matched against the configuration.
struct ClassifiedRequest {
  const Service* service = nullptr;
  const RequestClass* request_class = nullptr;
  std::string key;
  std::uint64_t hash = 0;  ///< HashKey() of `key`.
  NeighbourName neighbour;
  std::chrono::milliseconds deadline{0};  ///< Time allowed, from now.
  std::string idempotency_key;            ///< Empty if the request has none.
};

/// Finds the service, class, key, neighbour and deadline of a request. The
/// pointers in the result refer to `configuration`.
/// @throws InputError if no service or class matches, the key is missing, or
///   the deadline header is not a positive number.
auto Classify(const HttpRequest& request, const Configuration& configuration)
    -> ClassifiedRequest;

}  // namespace currantbeam
