#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <tuple>

namespace currantbeam {

/// The term of a placer. `number` is committed to the platform's table;
/// `deputy` counts successions made while the platform was out of reach.
struct Term {
  std::uint32_t number = 0;
  std::uint32_t deputy = 0;

  friend auto operator==(const Term& a, const Term& b) -> bool {
    return a.number == b.number && a.deputy == b.deputy;
  }
  friend auto operator!=(const Term& a, const Term& b) -> bool {
    return !(a == b);
  }
  friend auto operator<(const Term& a, const Term& b) -> bool {
    return std::tie(a.number, a.deputy) < std::tie(b.number, b.deputy);
  }
  friend auto operator<=(const Term& a, const Term& b) -> bool {
    return !(b < a);
  }
};

/// Orders versions of one document: first by term, then by sequence.
struct Stamp {
  Term term;
  std::uint64_t sequence = 0;

  friend auto operator==(const Stamp& a, const Stamp& b) -> bool {
    return a.term == b.term && a.sequence == b.sequence;
  }
  friend auto operator<(const Stamp& a, const Stamp& b) -> bool {
    return std::tie(a.term, a.sequence) < std::tie(b.term, b.sequence);
  }
};

/// Orders everything that is sent to one backend server.
using FencingToken = std::uint64_t;
/// Counts the owners that a slot has had.
using Epoch = std::uint64_t;
/// The index of a slot within its service.
using SlotIndex = std::uint32_t;

inline auto to_json(nlohmann::json& json, const Term& term) -> void {
  json = nlohmann::json::array({term.number, term.deputy});
}
inline auto from_json(const nlohmann::json& json, Term& term) -> void {
  term.number = json.at(0).get<std::uint32_t>();
  term.deputy = json.at(1).get<std::uint32_t>();
}
inline auto to_json(nlohmann::json& json, const Stamp& stamp) -> void {
  json = nlohmann::json::array(
      {stamp.term.number, stamp.term.deputy, stamp.sequence});
}
inline auto from_json(const nlohmann::json& json, Stamp& stamp) -> void {
  stamp.term.number = json.at(0).get<std::uint32_t>();
  stamp.term.deputy = json.at(1).get<std::uint32_t>();
  stamp.sequence = json.at(2).get<std::uint64_t>();
}

}  // namespace currantbeam
