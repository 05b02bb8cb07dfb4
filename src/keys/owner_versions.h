#pragma once

#include <map>
#include <string>

#include "core/core.h"
#include "store/store_client.h"

namespace currantbeam {

/// The versions of the stored owner maps that a host has, by service.
using OwnerVersions = std::map<ServiceName, StoreVersion>;

auto EncodeVersions(const OwnerVersions& versions) -> std::string;
/// @throws InputError if the text is not an encoded list of versions.
auto DecodeVersions(const std::string& text) -> OwnerVersions;

}  // namespace currantbeam
