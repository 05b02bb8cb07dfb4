#pragma once

#include <map>
#include <string>

#include "core/core.h"
#include "store/store_client.h"

namespace currantbeam {

/// The versions of the stored owners that a host knows, by service.
using OwnerVersions = std::map<ServiceName, StoreVersion>;

auto EncodeVersions(const OwnerVersions& versions) -> std::string;
/// @throws InputError if the text names no versions.
auto DecodeVersions(const std::string& text) -> OwnerVersions;

}  // namespace currantbeam
