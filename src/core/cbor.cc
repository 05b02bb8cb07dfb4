#include "core/cbor.h"

namespace currantbeam {
namespace {

/// Ends the parsing of a text once it is nested too deeply.
class NestingCheck : public nlohmann::json_sax<nlohmann::json> {
 public:
  [[nodiscard]] auto IsTooDeep() const -> bool {
    return this->depth > kMaxCborNesting;
  }

  auto null() -> bool override { return true; }
  auto boolean(bool /*value*/) -> bool override { return true; }
  auto number_integer(std::int64_t /*value*/) -> bool override { return true; }
  auto number_unsigned(std::uint64_t /*value*/) -> bool override {
    return true;
  }
  auto number_float(double /*value*/, const std::string& /*text*/)
      -> bool override {
    return true;
  }
  auto string(std::string& /*value*/) -> bool override { return true; }
  auto binary(nlohmann::json::binary_t& /*value*/) -> bool override {
    return true;
  }
  auto key(std::string& /*value*/) -> bool override { return true; }
  auto start_object(std::size_t /*size*/) -> bool override {
    return this->Enter();
  }
  auto end_object() -> bool override { return this->Leave(); }
  auto start_array(std::size_t /*size*/) -> bool override {
    return this->Enter();
  }
  auto end_array() -> bool override { return this->Leave(); }
  auto parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::json::exception& /*error*/)
      -> bool override {
    return false;
  }

 private:
  auto Enter() -> bool {
    ++this->depth;
    return !this->IsTooDeep();
  }
  auto Leave() -> bool {
    --this->depth;
    return true;
  }

  int depth = 0;
};

}  // namespace

auto CheckCborNesting(const std::string& text) -> void {
  NestingCheck check;
  nlohmann::json::sax_parse(text, &check, nlohmann::json::input_format_t::cbor);
  if (check.IsTooDeep()) throw InputError("CBOR is nested too deeply");
}

}  // namespace currantbeam
