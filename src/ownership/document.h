#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// A named, versioned JSON value that placers publish to gateways and to other
/// placers, such as a Segment.
struct Document {
  std::string name;
  DocumentVersion stamp;  ///< Orders the versions of the document.
  nlohmann::json body;
};

/// The newest known version of each document. An older version never replaces
/// a newer one. A local cursor counts the changes, so that a peer is sent only
/// the documents that changed since its last update.
class DocumentSet {
 public:
  /// Stores the document if it is newer than the stored one.
  /// @return true if it was stored.
  auto Apply(const Document& document) -> bool;
  /// @return the document, or nullptr if there is none. Valid until Apply().
  [[nodiscard]] auto Find(const std::string& name) const -> const Document*;
  /// @return the documents that changed after the cursor.
  [[nodiscard]] auto ChangedSince(std::uint64_t cursor) const
      -> std::vector<Document>;
  /// @return all documents whose name starts with the prefix.
  [[nodiscard]] auto FindByPrefix(const std::string& prefix) const
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
