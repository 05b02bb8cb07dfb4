#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace currantbeam {

/// A string identifier. Identifiers of different kinds are different types, so
/// that the compiler rejects a mix-up.
/// @tparam Tag  makes the type unique; never defined.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value(std::move(value)) {}

  [[nodiscard]] auto Value() const -> const std::string& { return this->value; }
  [[nodiscard]] auto IsEmpty() const -> bool { return this->value.empty(); }

  friend auto operator==(const Id& a, const Id& b) -> bool {
    return a.value == b.value;
  }
  friend auto operator!=(const Id& a, const Id& b) -> bool {
    return a.value != b.value;
  }
  friend auto operator<(const Id& a, const Id& b) -> bool {
    return a.value < b.value;
  }
  friend auto operator<<(std::ostream& out, const Id& id) -> std::ostream& {
    return out << id.value;
  }

  template <typename Json>
  friend auto to_json(Json& json, const Id& id) -> void {
    json = id.value;
  }
  template <typename Json>
  friend auto from_json(const Json& json, Id& id) -> void {
    id.value = json.template get<std::string>();
  }

 private:
  std::string value;
};

using HostId = Id<struct HostTag>;
using ServerId = Id<struct ServerTag>;
using ServiceName = Id<struct ServiceTag>;
using FailureDomain = Id<struct FailureDomainTag>;
using ClassName = Id<struct ClassTag>;
using NeighbourName = Id<struct NeighbourTag>;

}  // namespace currantbeam

template <typename Tag>
struct std::hash<currantbeam::Id<Tag>> {
  auto operator()(const currantbeam::Id<Tag>& id) const noexcept
      -> std::size_t {
    return std::hash<std::string>()(id.Value());
  }
};
