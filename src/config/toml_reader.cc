#include "config/toml_reader.h"

#include <toml++/toml.h>

#include <boost/asio/ip/address.hpp>
#include <fstream>
#include <sstream>
#include <utility>

namespace currantbeam {

struct TomlReader::Node {
  std::string file;
  std::string path;  ///< Of this table; empty for the root.
  std::shared_ptr<toml::table> document;  ///< Owns `table`.
  const toml::table* table = nullptr;
  std::set<std::string> read_fields;

  [[nodiscard]] auto PathOf(const std::string& field) const -> std::string {
    return this->path.empty() ? field : this->path + "." + field;
  }
};

TomlReader::TomlReader(std::unique_ptr<Node> node) : node(std::move(node)) {}
TomlReader::~TomlReader() = default;
TomlReader::TomlReader(TomlReader&&) noexcept = default;
auto TomlReader::operator=(TomlReader&&) noexcept -> TomlReader& = default;

auto TomlReader::Parse(const std::string& text, const std::string& name)
    -> TomlReader {
  auto node = std::make_unique<Node>();
  node->file = name;
  try {
    node->document = std::make_shared<toml::table>(toml::parse(text, name));
  } catch (const toml::parse_error& error) {
    std::ostringstream message;
    message << name << ":" << error.source().begin.line << ": "
            << error.description();
    throw InputError(message.str());
  }
  node->table = node->document.get();
  return TomlReader(std::move(node));
}

auto TomlReader::ParseFile(const std::string& path) -> TomlReader {
  std::ifstream file(path);
  if (!file) throw InputError(path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return Parse(text.str(), path);
}

auto TomlReader::Fail(const std::string& field, const std::string& reason) const
    -> void {
  const auto* value = this->node->table->get(field);
  const auto line = value == nullptr ? this->node->table->source().begin.line
                                     : value->source().begin.line;
  throw InputError(this->node->file + ":" + std::to_string(line) + ": field '" +
                   this->node->PathOf(field) + "': " + reason);
}

auto TomlReader::Has(const std::string& field) const -> bool {
  return this->node->table->contains(field);
}

auto TomlReader::String(const std::string& field) -> std::string {
  this->node->read_fields.insert(field);
  if (!this->Has(field)) this->Fail(field, "is missing");
  const auto value = (*this->node->table)[field].value_exact<std::string>();
  if (!value) this->Fail(field, "must be a string");
  if (value->empty()) this->Fail(field, "must not be empty");
  return *value;
}

auto TomlReader::String(const std::string& field,
                        const std::string& default_value) -> std::string {
  this->node->read_fields.insert(field);
  return this->Has(field) ? this->String(field) : default_value;
}

auto TomlReader::Integer(const std::string& field, std::int64_t min,
                         std::int64_t max) -> std::int64_t {
  this->node->read_fields.insert(field);
  if (!this->Has(field)) this->Fail(field, "is missing");
  const auto value = (*this->node->table)[field].value_exact<std::int64_t>();
  if (!value) this->Fail(field, "must be an integer");
  if (*value < min || *value > max) {
    this->Fail(field, std::to_string(*value) + " is not within " +
                          std::to_string(min) + " to " + std::to_string(max));
  }
  return *value;
}

auto TomlReader::Integer(const std::string& field, std::int64_t min,
                         std::int64_t max, std::int64_t default_value)
    -> std::int64_t {
  this->node->read_fields.insert(field);
  return this->Has(field) ? this->Integer(field, min, max) : default_value;
}

auto TomlReader::Number(const std::string& field, double min, double max,
                        double default_value) -> double {
  this->node->read_fields.insert(field);
  if (!this->Has(field)) return default_value;
  const auto value = (*this->node->table)[field].value<double>();
  if (!value) this->Fail(field, "must be a number");
  if (!(*value >= min && *value <= max)) {
    this->Fail(field, std::to_string(*value) + " is not within " +
                          std::to_string(min) + " to " + std::to_string(max));
  }
  return *value;
}

auto TomlReader::Boolean(const std::string& field, bool default_value) -> bool {
  this->node->read_fields.insert(field);
  if (!this->Has(field)) return default_value;
  const auto value = (*this->node->table)[field].value_exact<bool>();
  if (!value) this->Fail(field, "must be true or false");
  return *value;
}

auto TomlReader::Milliseconds(const std::string& field,
                              std::chrono::milliseconds min,
                              std::chrono::milliseconds max,
                              std::chrono::milliseconds default_value)
    -> std::chrono::milliseconds {
  return std::chrono::milliseconds(
      this->Integer(field, min.count(), max.count(), default_value.count()));
}

auto TomlReader::Port(const std::string& field) -> std::uint16_t {
  constexpr std::int64_t kMaxPort = 65535;
  return static_cast<std::uint16_t>(this->Integer(field, 1, kMaxPort));
}

auto TomlReader::Address(const std::string& field) -> std::string {
  auto text = this->String(field);
  boost::system::error_code error;
  boost::asio::ip::make_address(text, error);
  if (error) this->Fail(field, "'" + text + "' is not an IP address");
  return text;
}

auto TomlReader::Strings(const std::string& field) -> std::vector<std::string> {
  this->node->read_fields.insert(field);
  std::vector<std::string> strings;
  if (!this->Has(field)) return strings;
  const auto* array = (*this->node->table)[field].as_array();
  if (array == nullptr) this->Fail(field, "must be an array of strings");
  for (const auto& element : *array) {
    const auto value = element.value_exact<std::string>();
    if (!value) this->Fail(field, "must be an array of strings");
    strings.push_back(*value);
  }
  return strings;
}

auto TomlReader::Table(const std::string& field) -> TomlReader {
  this->node->read_fields.insert(field);
  if (!this->Has(field)) this->Fail(field, "is missing");
  const auto* table = (*this->node->table)[field].as_table();
  if (table == nullptr) this->Fail(field, "must be a table");
  auto node = std::make_unique<Node>();
  node->file = this->node->file;
  node->path = this->node->PathOf(field);
  node->document = this->node->document;
  node->table = table;
  return TomlReader(std::move(node));
}

auto TomlReader::Tables(const std::string& field) -> std::vector<TomlReader> {
  this->node->read_fields.insert(field);
  std::vector<TomlReader> readers;
  if (!this->Has(field)) return readers;
  const auto* array = (*this->node->table)[field].as_array();
  if (array == nullptr) this->Fail(field, "must be an array of tables");
  for (std::size_t i = 0; i < array->size(); ++i) {
    const auto* table = array->get(i)->as_table();
    if (table == nullptr) this->Fail(field, "must be an array of tables");
    auto node = std::make_unique<Node>();
    node->file = this->node->file;
    node->path = this->node->PathOf(field) + "[" + std::to_string(i) + "]";
    node->document = this->node->document;
    node->table = table;
    readers.push_back(TomlReader(std::move(node)));
  }
  return readers;
}

auto TomlReader::RejectUnknownFields() const -> void {
  for (const auto& [key, value] : *this->node->table) {
    const std::string name(key.str());
    if (this->node->read_fields.count(name) == 0) {
      this->Fail(name, "is not known");
    }
  }
}

}  // namespace currantbeam
