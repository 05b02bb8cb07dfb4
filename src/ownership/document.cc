#include "ownership/document.h"

namespace currantbeam {

auto DocumentSet::Apply(const Document& document) -> bool {
  auto& entry = this->entries[document.name];
  if (entry.changed_at != 0 && !(entry.document.stamp < document.stamp)) {
    return false;
  }
  entry.document = document;
  entry.changed_at = ++this->cursor;
  return true;
}

auto DocumentSet::Find(const std::string& name) const -> const Document* {
  const auto found = this->entries.find(name);
  return found == this->entries.end() ? nullptr : &found->second.document;
}

auto DocumentSet::ChangedSince(std::uint64_t cursor) const
    -> std::vector<Document> {
  std::vector<Document> changed;
  if (cursor >= this->cursor) return changed;
  for (const auto& [name, entry] : this->entries) {
    if (entry.changed_at > cursor) changed.push_back(entry.document);
  }
  return changed;
}

auto DocumentSet::FindByPrefix(const std::string& prefix) const
    -> std::vector<const Document*> {
  std::vector<const Document*> found;
  for (auto it = this->entries.lower_bound(prefix);
       it != this->entries.end() && it->first.rfind(prefix, 0) == 0; ++it) {
    found.push_back(&it->second.document);
  }
  return found;
}

auto to_json(nlohmann::json& json, const Document& document) -> void {
  json = nlohmann::json::array({document.name, document.stamp, document.body});
}

auto from_json(const nlohmann::json& json, Document& document) -> void {
  json.at(0).get_to(document.name);
  json.at(1).get_to(document.stamp);
  document.body = json.at(2);
}

}  // namespace currantbeam
