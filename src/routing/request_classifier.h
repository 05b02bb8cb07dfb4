#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "config/config.h"
#include "http/http_types.h"

namespace currantbeam {

/// Stands for all callers that the configuration does not name.
constexpr const char* kOtherNeighbour = "other";

/// What a request asks for, in the terms of the configuration.
struct ClassifiedRequest {
  const Service* service = nullptr;
  const RequestClass* work = nullptr;
  std::string key;
  std::uint64_t hash = 0;
  NeighbourName neighbour;
  std::chrono::milliseconds deadline{0};  ///< From now.
  std::string idempotency_key;
};

/// @return the request in the configuration's terms.
/// @throws InputError if the service is unknown, no class matches, or the key
/// is missing.
auto Classify(const HttpRequest& request, const Configuration& configuration)
    -> ClassifiedRequest;

}  // namespace currantbeam
