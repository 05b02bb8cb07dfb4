#include "config/settings.h"

#include "config/toml_reader.h"

namespace currantbeam {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMaxWorkers = 64;

template <typename Settings>
auto ReadIdentity(TomlReader& root, Settings& settings) -> void {
  settings.host = HostId(root.String("host"));
  settings.domain = FailureDomain(root.String("failure_domain"));
  settings.log_level = root.String("log_level", "info");
  const auto& level = settings.log_level;
  if (level != "debug" && level != "info" && level != "warn" &&
      level != "error") {
    root.Fail("log_level",
              "'" + level + "' must be debug, info, warn or error");
  }
}

}  // namespace

auto GatewaySettings::FromFile(const std::string& path) -> GatewaySettings {
  auto root = TomlReader::ParseFile(path);
  GatewaySettings settings;
  ReadIdentity(root, settings);
  settings.workers =
      static_cast<std::size_t>(root.Integer("workers", 1, kMaxWorkers, 1));
  settings.drain_timeout =
      root.Milliseconds("drain_limit_ms", milliseconds(0),
                        milliseconds(600'000), milliseconds(30'000));
  auto listen = root.Table("listen");
  settings.address = listen.Address("address");
  settings.callers_port = listen.Port("callers");
  settings.control_port = listen.Port("control");
  settings.hop_port = listen.Port("hop");
  settings.status_port = listen.Port("status");
  listen.RejectUnknownFields();
  root.RejectUnknownFields();
  return settings;
}

auto PlacerSettings::FromFile(const std::string& path) -> PlacerSettings {
  auto root = TomlReader::ParseFile(path);
  PlacerSettings settings;
  ReadIdentity(root, settings);
  auto listen = root.Table("listen");
  settings.address = listen.Address("address");
  settings.placer_port = listen.Port("placer");
  settings.operators_port = listen.Port("operators");
  listen.RejectUnknownFields();
  auto platform = root.Table("platform");
  settings.platform.address = platform.Address("address");
  settings.platform.port = platform.Port("port");
  settings.platform.timeout = platform.Milliseconds(
      "timeout_ms", milliseconds(10), milliseconds(10'000), milliseconds(400));
  platform.RejectUnknownFields();
  root.RejectUnknownFields();
  return settings;
}

}  // namespace currantbeam
