#include "config/config.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>

namespace currantbeam {
namespace {

const char* const kValidToml = R"(deployment = "d"
failure_domains = ["x", "y"]
[[service]]
name = "s"
path_prefix = "/s/"
key_from = "path"
slots = 10
[[class]]
name = "c"
service = "s"
)";

auto ReplaceInValidToml(const std::string& from, const std::string& to)
    -> std::string {
  std::string text = kValidToml;
  const auto position = text.find(from);
  EXPECT_NE(position, std::string::npos);
  return text.replace(position, from.size(), to);
}

struct BadInput {
  std::string name;
  std::string from;
  std::string to;
  std::string message;
};

class BadConfiguration : public testing::TestWithParam<BadInput> {};

TEST_P(BadConfiguration, IsRejectedWithFileLineAndField) {
  const auto& input = GetParam();
  try {
    Configuration::FromToml(ReplaceInValidToml(input.from, input.to), "f.toml");
    FAIL() << "the invalid input was accepted";
  } catch (const InputError& error) {
    EXPECT_NE(std::string(error.what()).find(input.message), std::string::npos)
        << error.what();
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table, BadConfiguration,
    testing::Values(
        BadInput{"NotToml", "slots = 10", "slots = ", "f.toml:7"},
        BadInput{"UnknownField", "slots = 10", "slots = 10\nslot = 1",
                 "f.toml:8: field 'service[0].slot': is not known"},
        BadInput{"OutOfRange", "slots = 10", "slots = 0",
                 "f.toml:7: field 'service[0].slots': 0 is not within"},
        BadInput{"WrongType", "slots = 10", "slots = \"ten\"",
                 "f.toml:7: field 'service[0].slots': must be an integer"},
        BadInput{"UnknownService", "service = \"s\"", "service = \"t\"",
                 "field 'class[0].service': 't' is not a service"},
        BadInput{"MissingField", "name = \"s\"\n", "",
                 "field 'service[0].name': is missing"},
        BadInput{"NoDomain", "[\"x\", \"y\"]", "[]",
                 "needs at least one failure domain"},
        BadInput{"BadPrefix", "\"/s/\"", "\"s/\"", "must start with '/'"},
        BadInput{"BadKeySource", "key_from = \"path\"", "key_from = \"body\"",
                 "none of path, header, query"}),
    [](const auto& info) { return info.param.name; });

TEST(Configuration, RoundTripsThroughJson) {
  const auto configuration = Configuration::FromToml(kValidToml, "f.toml");
  const nlohmann::json json = configuration;
  const nlohmann::json round_trip = json.get<Configuration>();
  EXPECT_EQ(json, round_trip);
  EXPECT_TRUE(
      DescribeChanges(configuration, json.get<Configuration>()).empty());
}

TEST(Configuration, DescribesChanges) {
  const auto before = Configuration::FromToml(kValidToml, "f.toml");
  auto after = before;
  after.version = 9;
  after.leaving.insert("h");
  const auto lines = DescribeChanges(before, after);
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_NE(lines[0].find("/leaving"), std::string::npos);
}

TEST(Configuration, EverySlotHasOneHomeDomain) {
  const auto configuration = Configuration::FromToml(kValidToml, "f.toml");
  const auto& service = configuration.services[0];
  EXPECT_EQ(configuration.SlotsHomedIn(service, FailureDomain("x")).size() +
                configuration.SlotsHomedIn(service, FailureDomain("y")).size(),
            service.slots);
}

TEST(Settings, ExamplesAreValid) {
  const std::string examples =
      std::string(CURRANTBEAM_SOURCE_DIR) + "/examples/";
  EXPECT_NO_THROW(GatewaySettings::FromFile(examples + "gateway.toml"));
  EXPECT_NO_THROW(PlacerSettings::FromFile(examples + "placer.toml"));
  for (const auto* name : {"saphir-pointe.toml", "ban-suan-kai.toml"}) {
    std::ifstream file(examples + name);
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    EXPECT_NO_THROW(Configuration::FromToml(text, name));
  }
}

TEST(Settings, ErrorNamesTheInvalidField) {
  const std::string path = testing::TempDir() + "bad-gateway.toml";
  std::ofstream(path) << "host = \"h\"\nfailure_domain = \"d\"\n[listen]\n"
                         "address = \"localhost\"\ncallers = 1\n";
  try {
    GatewaySettings::FromFile(path);
    FAIL() << "the invalid input was accepted";
  } catch (const InputError& error) {
    EXPECT_NE(std::string(error.what())
                  .find(":4: field 'listen.address': 'localhost' is not an IP"),
              std::string::npos)
        << error.what();
  }
  std::remove(path.c_str());
}

}  // namespace
}  // namespace currantbeam
