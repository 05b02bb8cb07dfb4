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

/// Reads one table of a TOML document. Every complaint names the file, the
/// line and the field; a field that nobody asked for is an error.
class TomlReader {
 public:
  /// @param text  the document.
  /// @param name  the file's name, for messages.
  /// @throws InputError if it is not TOML.
  static auto Parse(const std::string& text, const std::string& name)
      -> TomlReader;
  /// @throws InputError if the file cannot be read or is not TOML.
  static auto ParseFile(const std::string& path) -> TomlReader;

  ~TomlReader();
  TomlReader(TomlReader&&) noexcept;
  auto operator=(TomlReader&&) noexcept -> TomlReader&;

  [[nodiscard]] auto Has(const std::string& field) const -> bool;
  auto String(const std::string& field) -> std::string;
  auto String(const std::string& field, const std::string& fallback)
      -> std::string;
  auto Integer(const std::string& field, std::int64_t least, std::int64_t most)
      -> std::int64_t;
  auto Integer(const std::string& field, std::int64_t least, std::int64_t most,
               std::int64_t fallback) -> std::int64_t;
  auto Number(const std::string& field, double least, double most,
              double fallback) -> double;
  auto Boolean(const std::string& field, bool fallback) -> bool;
  auto Milliseconds(const std::string& field, std::chrono::milliseconds least,
                    std::chrono::milliseconds most,
                    std::chrono::milliseconds fallback)
      -> std::chrono::milliseconds;
  auto Port(const std::string& field) -> std::uint16_t;
  /// Reads an IP number.
  auto Address(const std::string& field) -> std::string;
  auto Strings(const std::string& field) -> std::vector<std::string>;
  auto Table(const std::string& field) -> TomlReader;
  /// @return the tables of an array; none if the field is missing.
  auto Tables(const std::string& field) -> std::vector<TomlReader>;

  /// @throws InputError naming the first field that was not asked for.
  auto CheckNothingLeft() const -> void;
  /// @throws InputError about the field, with its line.
  [[noreturn]] auto Fail(const std::string& field,
                         const std::string& what) const -> void;

 private:
  struct Node;
  explicit TomlReader(std::unique_ptr<Node> node);
  std::unique_ptr<Node> node;
};

}  // namespace currantbeam
