#include "peers/peer_message.h"

#include <cstdint>
#include <vector>

namespace currantbeam {
namespace {

/// A SAX handler that validates a message and bounds its nesting before it is
/// decoded.
class MessageValidator : public nlohmann::json_sax<nlohmann::json> {
 public:
  auto null() -> bool override { return true; }
  auto boolean(bool) -> bool override { return true; }
  auto number_integer(number_integer_t) -> bool override { return true; }
  auto number_unsigned(number_unsigned_t) -> bool override { return true; }
  auto number_float(number_float_t, const string_t&) -> bool override {
    return true;
  }
  auto string(string_t&) -> bool override { return true; }
  auto binary(binary_t&) -> bool override { return true; }
  auto key(string_t&) -> bool override { return true; }
  auto start_object(std::size_t) -> bool override { return this->Enter(); }
  auto start_array(std::size_t) -> bool override { return this->Enter(); }
  auto end_object() -> bool override { return this->Leave(); }
  auto end_array() -> bool override { return this->Leave(); }
  auto parse_error(std::size_t position, const std::string&,
                   const nlohmann::detail::exception& error) -> bool override {
    this->problem = "at byte " + std::to_string(position) + ": " + error.what();
    return false;
  }

  [[nodiscard]] auto Problem() const -> const std::string& {
    return this->problem;
  }

 private:
  auto Enter() -> bool {
    if (++this->depth <= kMaxMessageDepth) return true;
    this->problem = "nested deeper than " + std::to_string(kMaxMessageDepth);
    return false;
  }
  auto Leave() -> bool {
    --this->depth;
    return true;
  }

  int depth = 0;
  std::string problem;
};

}  // namespace

auto EncodeMessage(const nlohmann::json& message) -> std::string {
  std::string encoded;
  nlohmann::json::to_cbor(message, encoded);
  return encoded;
}

auto DecodeMessage(const std::string& encoded) -> nlohmann::json {
  MessageValidator validator;
  const bool is_valid = nlohmann::json::sax_parse(
      encoded, &validator, nlohmann::json::input_format_t::cbor);
  if (!is_valid) throw InputError("CBOR message: " + validator.Problem());
  auto message = nlohmann::json::from_cbor(encoded);
  if (!message.is_object()) throw InputError("CBOR message: not a map");
  return message;
}

}  // namespace currantbeam
