#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <tuple>

namespace currantbeam {

/// A placer's term of leadership. A later term supersedes an earlier one.
/// `number` is the term committed to the platform's table; `offline`
/// counts the elections since then that took place while the platform was
/// unreachable.
struct Term {
  std::uint32_t number = 0;
  std::uint32_t offline = 0;

  friend auto operator==(const Term& a, const Term& b) -> bool {
    return a.number == b.number && a.offline == b.offline;
  }
  friend auto operator!=(const Term& a, const Term& b) -> bool {
    return !(a == b);
  }
  friend auto operator<(const Term& a, const Term& b) -> bool {
    return std::tie(a.number, a.offline) < std::tie(b.number, b.offline);
  }
  friend auto operator<=(const Term& a, const Term& b) -> bool {
    return !(b < a);
  }
};

/// The version of a document that placers publish. Versions are ordered by
/// term, then by sequence.
struct DocumentVersion {
  Term term;
  std::uint64_t sequence = 0;

  friend auto operator==(const DocumentVersion& a, const DocumentVersion& b)
      -> bool {
    return a.term == b.term && a.sequence == b.sequence;
  }
  friend auto operator<(const DocumentVersion& a, const DocumentVersion& b)
      -> bool {
    return std::tie(a.term, a.sequence) < std::tie(b.term, b.sequence);
  }
};

/// Increases with each new driver of a backend server, which rejects grants
/// with a lower token than it has already accepted.
using FencingToken = std::uint64_t;
/// Increases with each change of a slot's owner.
using Epoch = std::uint64_t;
/// The index of a slot within its service.
using SlotIndex = std::uint32_t;

inline auto to_json(nlohmann::json& json, const Term& term) -> void {
  json = nlohmann::json::array({term.number, term.offline});
}
inline auto from_json(const nlohmann::json& json, Term& term) -> void {
  term.number = json.at(0).get<std::uint32_t>();
  term.offline = json.at(1).get<std::uint32_t>();
}
inline auto to_json(nlohmann::json& json, const DocumentVersion& version)
    -> void {
  json = nlohmann::json::array(
      {version.term.number, version.term.offline, version.sequence});
}
inline auto from_json(const nlohmann::json& json, DocumentVersion& version)
    -> void {
  version.term.number = json.at(0).get<std::uint32_t>();
  version.term.offline = json.at(1).get<std::uint32_t>();
  version.sequence = json.at(2).get<std::uint64_t>();
}

}  // namespace currantbeam
