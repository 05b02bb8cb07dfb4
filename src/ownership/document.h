#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// A named piece of state that placers publish to gateways and to each other.
struct Document {
  std::string name;
  DocumentVersion stamp;
  nlohmann::json body;
};

/// The newest known version of each document; a version never goes back.
/// Keeps a local cursor, so that a peer can be sent just what it lacks.
class DocumentSet {
 public:
  /// @return true if the document was newer than the one held.
  auto Apply(const Document& document) -> bool;
  /// @return the document, or nullptr.
  [[nodiscard]] auto Find(const std::string& name) const -> const Document*;
  /// @return the documents that changed after the cursor.
  [[nodiscard]] auto Since(std::uint64_t cursor) const -> std::vector<Document>;
  /// @return all documents whose name starts with the prefix.
  [[nodiscard]] auto WithPrefix(const std::string& prefix) const
      -> std::vector<const Document*>;
  [[nodiscard]] auto Cursor() const -> std::uint64_t { return this->cursor; }

 private:
  struct Entry {
    Document document;
    std::uint64_t changed_at = 0;
  };
  std::map<std::string, Entry> entries;
  std::uint64_t cursor = 0;
};

auto to_json(nlohmann::json& json, const Document& document) -> void;
auto from_json(const nlohmann::json& json, Document& document) -> void;

}  // namespace currantbeam
