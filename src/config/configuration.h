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

/// Where a service's requests carry their key.
enum class KeySource { kPathSegment, kHeader, kQuery };

/// A service and how its keys are divided.
struct Service {
  ServiceName name;
  std::string path_prefix;
  KeySource key_source = KeySource::kPathSegment;
  std::string key_name;  ///< Header or query parameter.
  int key_segment = 0;   ///< Path segment after the prefix, from 0.
  SlotIndex slots = 0;
};

/// A class of work and the targets that operators state for it.
struct WorkClass {
  ClassName name;
  ServiceName service;
  std::string method;       ///< HTTP method; empty matches all.
  std::string path_prefix;  ///< Below the service's prefix; empty matches all.
  bool idempotent = false;
  std::chrono::milliseconds waiting_target{50};  ///< p99 of time in queue.
  double completion_target = 0.99;  ///< Share answered within the deadline.
  double share = 1;                 ///< Fair share against other classes.
  std::chrono::milliseconds deadline{10000};
};

/// A party that shares the capacity.
struct Neighbour {
  NeighbourName name;
  double share = 1;
};

/// What operators state: versioned as a whole, validated before it is stored.
struct Configuration {
  std::uint64_t version = 0;
  std::string author;
  std::string deployment;
  std::vector<FailureDomain> failure_domains;
  std::string neighbour_header;
  std::vector<Service> services;
  std::vector<WorkClass> classes;
  std::vector<Neighbour> neighbours;
  std::set<std::string> leaving;  ///< Entry hosts and servers to be drained.
  std::set<std::string> lost;     ///< Declared lost by an operator.

  /// @throws InputError naming file, line and field.
  static auto FromToml(const std::string& text, const std::string& file)
      -> Configuration;

  [[nodiscard]] auto FindService(const ServiceName& name) const
      -> const Service*;
  /// @return the service whose path prefix the target starts with.
  [[nodiscard]] auto MatchService(std::string_view target) const
      -> const Service*;
  /// @return the first class that matches.
  [[nodiscard]] auto MatchClass(const Service& service, std::string_view method,
                                std::string_view target) const
      -> const WorkClass*;
  [[nodiscard]] auto FindClass(const ClassName& name) const -> const WorkClass*;
  [[nodiscard]] auto ShareOf(const NeighbourName& name) const -> double;
  /// @return the failure domain that is the home of the slot.
  [[nodiscard]] auto HomeOf(SlotIndex slot) const -> const FailureDomain&;
  /// @return the slots of the service whose home is the domain.
  [[nodiscard]] auto SlotsOf(const Service& service,
                             const FailureDomain& domain) const
      -> std::vector<SlotIndex>;
};

auto to_json(nlohmann::json& json, const Configuration& configuration) -> void;
auto from_json(const nlohmann::json& json, Configuration& configuration)
    -> void;

/// A change between two configurations, in words.
/// @return one line for each difference; none if they are the same.
auto Describe(const Configuration& before, const Configuration& after)
    -> std::vector<std::string>;

}  // namespace currantbeam
