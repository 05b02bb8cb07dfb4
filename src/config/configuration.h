#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// The part of a request that holds its key. A hash of the key selects the slot
/// within the service.
enum class KeySource { kPathSegment, kHeader, kQuery };

/// A service behind the proxy, and how its key space is divided into slots.
struct Service {
  ServiceName name;
  std::string path_prefix;
  KeySource key_source = KeySource::kPathSegment;
  std::string key_name;  ///< Name of the header or query parameter.
  int key_segment = 0;   ///< Index of the path segment after the prefix.
  SlotIndex slots = 0;
};

/// A class of requests of one service, with its service level targets.
struct RequestClass {
  ClassName name;
  ServiceName service;
  std::string method;       ///< HTTP method; empty matches all.
  std::string path_prefix;  ///< Below the service's prefix; empty matches all.
  bool idempotent = false;
  std::chrono::milliseconds waiting_target{50};  ///< For the p99 time in queue.
  double completion_target =
      0.99;          ///< Fraction to complete within the deadline.
  double share = 1;  ///< Fair-share weight among the classes.
  std::chrono::milliseconds deadline{10000};
};

/// A party that shares the capacity with others.
struct Neighbour {
  NeighbourName name;
  double share = 1;  ///< Fair-share weight among the neighbours.
};

/// The configuration of a deployment, which operators apply. It is validated as
/// a whole before it is stored, and each stored one has the next version.
struct Configuration {
  std::uint64_t version = 0;
  std::string author;
  std::string deployment;
  std::vector<FailureDomain> failure_domains;
  std::string neighbour_header;
  std::vector<Service> services;
  std::vector<RequestClass> classes;
  std::vector<Neighbour> neighbours;
  std::set<std::string> leaving;  ///< Entry hosts and servers being drained.
  std::set<std::string> lost;     ///< Declared permanently lost by operators.

  /// Parses and validates a configuration.
  /// @param file  the file's name, for error messages.
  /// @throws InputError with the file, line and field.
  static auto FromToml(const std::string& text, const std::string& file)
      -> Configuration;

  /// @return null if there is no such service.
  [[nodiscard]] auto FindService(const ServiceName& name) const
      -> const Service*;
  /// @param target  the request target: path and query.
  /// @return the first service whose path prefix the target starts with; null
  /// if there is none.
  [[nodiscard]] auto MatchService(std::string_view target) const
      -> const Service*;
  /// @return the first class of the service that matches the method and target;
  /// null if there is none.
  [[nodiscard]] auto MatchClass(const Service& service, std::string_view method,
                                std::string_view target) const
      -> const RequestClass*;
  /// @return null if there is no such class.
  [[nodiscard]] auto FindClass(const ClassName& name) const
      -> const RequestClass*;
  /// @return the neighbour's fair-share weight; 1 if it is not configured.
  [[nodiscard]] auto ShareOf(const NeighbourName& name) const -> double;
  /// @return the home domain of the slot: the failure domain whose placers
  /// assign its owner.
  [[nodiscard]] auto HomeDomainOf(SlotIndex slot) const -> const FailureDomain&;
  /// @return the slots of the service whose home domain this is.
  [[nodiscard]] auto SlotsHomedIn(const Service& service,
                                  const FailureDomain& domain) const
      -> std::vector<SlotIndex>;
};

auto to_json(nlohmann::json& json, const Configuration& configuration) -> void;
auto from_json(const nlohmann::json& json, Configuration& configuration)
    -> void;

/// Lists the differences between two configurations, except for version and
/// author.
/// @return one JSON Patch operation per line, as text; empty if there is none.
auto DescribeChanges(const Configuration& before, const Configuration& after)
    -> std::vector<std::string>;

}  // namespace currantbeam
