#pragma once

#include <string>
#include <vector>

#include "core/core.h"
#include "store/store_client.h"

namespace currantbeam {

/// What the keeper tells a gateway about a service in answer to its report.
struct KeeperAdvice {
  ServiceName service;
  StoreVersion version = 0;  ///< Of the owners that the keeper works on.
};

auto EncodeAdvice(const std::vector<KeeperAdvice>& advice) -> std::string;
/// @throws InputError if the text is no advice.
auto DecodeAdvice(const std::string& text) -> std::vector<KeeperAdvice>;

}  // namespace currantbeam
