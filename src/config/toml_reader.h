#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// Reads and validates the fields of one table of a TOML document. The getters
/// throw an InputError with the file, line and field if the field has the wrong
/// type, is out of range, or is missing and has no default value; and so does
/// RejectUnknownFields() for a field that no getter has read.
class TomlReader {
 public:
  /// @param text  the document.
  /// @param name  the file's name, for error messages.
  /// @throws InputError if the text is not valid TOML.
  static auto Parse(const std::string& text, const std::string& name)
      -> TomlReader;
  /// @throws InputError if the file cannot be read or is not valid TOML.
  static auto ParseFile(const std::string& path) -> TomlReader;

  ~TomlReader();
  TomlReader(TomlReader&&) noexcept;
  auto operator=(TomlReader&&) noexcept -> TomlReader&;

  [[nodiscard]] auto Has(const std::string& field) const -> bool;
  /// @return the string, which must not be empty.
  auto String(const std::string& field) -> std::string;
  auto String(const std::string& field, const std::string& default_value)
      -> std::string;
  /// @return the integer, from min to max inclusive.
  auto Integer(const std::string& field, std::int64_t min, std::int64_t max)
      -> std::int64_t;
  auto Integer(const std::string& field, std::int64_t min, std::int64_t max,
               std::int64_t default_value) -> std::int64_t;
  auto Number(const std::string& field, double min, double max,
              double default_value) -> double;
  auto Boolean(const std::string& field, bool default_value) -> bool;
  auto Milliseconds(const std::string& field, std::chrono::milliseconds min,
                    std::chrono::milliseconds max,
                    std::chrono::milliseconds default_value)
      -> std::chrono::milliseconds;
  auto Port(const std::string& field) -> std::uint16_t;
  /// @return a string that is a valid IP address.
  auto Address(const std::string& field) -> std::string;
  /// @return the strings of an array; none if the field is missing.
  auto Strings(const std::string& field) -> std::vector<std::string>;
  /// @return a reader of the subtable.
  auto Table(const std::string& field) -> TomlReader;
  /// @return readers of an array's tables; none if the field is missing.
  auto Tables(const std::string& field) -> std::vector<TomlReader>;

  /// Call after all fields have been read.
  /// @throws InputError about the first field that was not read.
  auto RejectUnknownFields() const -> void;
  /// @throws InputError with the file, line and field, and the reason.
  [[noreturn]] auto Fail(const std::string& field,
                         const std::string& reason) const -> void;

 private:
  struct Node;
  explicit TomlReader(std::unique_ptr<Node> node);
  std::unique_ptr<Node> node;
};

}  // namespace currantbeam
