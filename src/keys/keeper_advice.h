#pragma once

#include <map>
#include <string>

#include "core/core.h"
#include "store/store_client.h"

namespace currantbeam {

/// What the keeper tells a gateway in answer to its report.
struct KeeperAdvice {
  int hosts = 0;  ///< That report to the keeper, itself included.
  /// Of the owners that the keeper works on.
  std::map<ServiceName, StoreVersion> versions;

  [[nodiscard]] auto Encode() const -> std::string;
  /// @throws InputError if the text is no advice.
  static auto Decode(const std::string& text) -> KeeperAdvice;
};

}  // namespace currantbeam
