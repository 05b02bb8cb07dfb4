#include "ctl/commands.h"

#include <fstream>
#include <iomanip>
#include <map>
#include <ostream>
#include <sstream>

#include "config/config.h"
#include "runtime/runtime.h"

namespace currantbeam {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(100);
constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpConflict = 409;

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream file(path);
  if (!file) throw InputError(path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

auto PercentEncode(const std::string& text) -> std::string {
  std::ostringstream encoded;
  for (const unsigned char c : text) {
    if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.') {
      encoded << c;
    } else {
      encoded << '%' << std::uppercase << std::hex << std::setw(2)
              << std::setfill('0') << static_cast<int>(c) << std::dec;
    }
  }
  return encoded.str();
}

auto ToText(const nlohmann::json& value) -> std::string {
  return value.is_string() ? value.get<std::string>() : ToJsonText(value);
}

}  // namespace

auto Commands::Help() -> std::string {
  return "Commands:\n"
         "  status                 placers, servers, and the gateways that "
         "drive them\n"
         "  explain SERVICE KEY    which server owns a key, and why\n"
         "  config show            the configuration, and where it is in "
         "force\n"
         "  config validate FILE   check a configuration without storing it\n"
         "  config diff FILE       what a configuration would change\n"
         "  config apply FILE      store a configuration and wait until it is\n"
         "                         in force in every failure domain\n"
         "  history                changes of the configuration and their "
         "authors\n"
         "  hosts join ID          let a host or server receive work (again)\n"
         "  hosts leave ID         drain a host or server\n"
         "  hosts lost ID          declare a host or server permanently lost\n"
         "  settlement             capacity used, by neighbour and class\n"
         "\n"
         "Exit codes: 0 done, 1 failed, 2 wrong usage or file, 3 someone else\n"
         "changed the configuration, 4 stored but not in force everywhere "
         "yet\n";
}

auto Commands::Run(const std::vector<std::string>& args) -> ExitCode {
  const auto matches = [&](std::initializer_list<const char*> start,
                           std::size_t count) {
    if (args.size() != count) return false;
    return std::equal(start.begin(), start.end(), args.begin());
  };
  if (matches({"status"}, 1)) return this->Status();
  if (matches({"explain"}, 3)) return this->Explain(args[1], args[2]);
  if (matches({"config", "show"}, 2)) return this->ShowConfig();
  if (matches({"config", "validate"}, 3)) return this->Validate(args[2]);
  if (matches({"config", "diff"}, 3)) return this->Diff(args[2]);
  if (matches({"config", "apply"}, 3)) return this->Apply(args[2]);
  if (matches({"history"}, 1)) return this->History();
  if (matches({"hosts", "join"}, 3)) return this->MarkHost("joining", args[2]);
  if (matches({"hosts", "leave"}, 3)) return this->MarkHost("leaving", args[2]);
  if (matches({"hosts", "lost"}, 3)) return this->MarkHost("lost", args[2]);
  if (matches({"settlement"}, 1)) return this->Settlement();
  std::string text;
  for (const auto& arg : args) text += " " + arg;
  throw InputError("no command is called '" +
                   (text.empty() ? text : text.substr(1)) + "'\n" + Help());
}

auto Commands::CheckResponse(const CommandResponse& response) -> bool {
  const bool is_ok = response.status == kHttpOk;
  if (this->options.json) {
    this->out << ToReadableJsonText(response.body) << "\n";
  } else if (!is_ok) {
    this->out << "error: "
              << ToText(response.body.value("error", nlohmann::json())) << "\n";
  }
  return is_ok;
}

auto Commands::Status() -> ExitCode {
  const auto response = this->client.Get("/v1/status");
  if (!this->CheckResponse(response)) return kFailure;
  if (this->options.json) return kSuccess;
  const auto& body = response.body;
  this->out << "placer " << ToText(body.at("host")) << " in "
            << ToText(body.at("domain")) << ": " << ToText(body.at("role"))
            << ", platform "
            << (body.at("platform_reachable").get<bool>() ? "reachable"
                                                          : "not reachable")
            << ", configuration " << body.at("config_version") << "\n";
  for (const auto& domain : body.at("domains")) {
    this->out << "domain " << ToText(domain.at("domain")) << ": placer "
              << ToText(domain.at("placer")) << ", term " << domain.at("term")
              << ", " << domain.at("voters") << " voters\n";
  }
  for (const auto& row : body.at("servers")) {
    this->out << "server " << std::left << std::setw(16)
              << ToText(row.at("server")) << " " << std::setw(12)
              << ToText(row.at("domain")) << " driver " << std::setw(14)
              << ToText(row.at("driver")) << " slots " << row.at("slots_owned")
              << (row.at("leaving").get<bool>() ? " leaving" : "") << "\n";
  }
  return kSuccess;
}

auto Commands::Explain(const std::string& service, const std::string& key)
    -> ExitCode {
  const auto response =
      this->client.Get("/v1/explain?service=" + PercentEncode(service) +
                       "&key=" + PercentEncode(key));
  if (!this->CheckResponse(response)) return kFailure;
  if (this->options.json) return kSuccess;
  for (const auto& [name, value] : response.body.items()) {
    this->out << std::left << std::setw(10) << name << " " << ToText(value)
              << "\n";
  }
  return kSuccess;
}

auto Commands::ShowConfig() -> ExitCode {
  const auto response = this->client.Get("/v1/config");
  if (!this->CheckResponse(response)) return kFailure;
  if (this->options.json) return kSuccess;
  this->out << "version " << response.body.at("version")
            << (response.body.at("accepted").get<bool>() ? ", accepted"
                                                         : ", stored")
            << "\n";
  for (const auto& [domain, version] : response.body.at("in_force").items()) {
    this->out << "in force in " << domain << ": " << version << "\n";
  }
  this->out << ToReadableJsonText(response.body.at("configuration")) << "\n";
  return kSuccess;
}

auto Commands::Validate(const std::string& path) -> ExitCode {
  Configuration::FromToml(ReadFile(path), path);
  this->out << path << ": good\n";
  return kSuccess;
}

auto Commands::Diff(const std::string& path) -> ExitCode {
  const auto after = Configuration::FromToml(ReadFile(path), path);
  const auto response = this->client.Get("/v1/config");
  Configuration before;
  if (response.status == kHttpOk) {
    before = response.body.at("configuration").get<Configuration>();
  }
  const auto lines = DescribeChanges(before, after);
  if (this->options.json) {
    this->out << ToReadableJsonText(nlohmann::json(lines)) << "\n";
    return kSuccess;
  }
  for (const auto& line : lines) this->out << line << "\n";
  if (lines.empty()) this->out << "no difference\n";
  return kSuccess;
}

auto Commands::Apply(const std::string& path) -> ExitCode {
  const auto text = ReadFile(path);
  Configuration::FromToml(text, path);
  auto base = this->options.base_version;
  if (!this->options.has_base_version) {
    const auto current = this->client.Get("/v1/config");
    base = current.status == kHttpOk
               ? current.body.at("version").get<std::uint64_t>()
               : 0;
  }
  const auto response =
      this->client.Post("/v1/config", {{"base_version", base},
                                       {"author", this->options.author},
                                       {"file", path},
                                       {"toml", text}});
  return this->ReportChange(response);
}

auto Commands::MarkHost(const std::string& mark, const std::string& id)
    -> ExitCode {
  return this->ReportChange(this->client.Post(
      "/v1/hosts",
      {{"id", id}, {"mark", mark}, {"author", this->options.author}}));
}

auto Commands::ReportChange(const CommandResponse& response) -> ExitCode {
  if (response.status == kHttpOk) {
    return this->WaitUntilInForce(
        response.body.at("version").get<std::uint64_t>());
  }
  this->CheckResponse(response);
  if (response.status != kHttpConflict) return kFailure;
  if (this->options.json) return kConflict;
  for (const auto& change : response.body.at("since")) {
    this->out << "version " << change.at("version") << " by "
              << ToText(change.at("author")) << ":\n";
    for (const auto& line : change.at("changes")) {
      this->out << "  " << ToText(line) << "\n";
    }
  }
  return kConflict;
}

auto Commands::WaitUntilInForce(std::uint64_t version) -> ExitCode {
  const auto deadline = std::chrono::steady_clock::now() + this->options.wait;
  CommandResponse response;
  bool accepted = false;
  while (true) {
    try {
      response = this->client.Get("/v1/config");
      accepted = response.status == kHttpOk;
      if (accepted) {
        for (const auto& [domain, active] :
             response.body.at("in_force").items()) {
          accepted = accepted && active.get<std::uint64_t>() >= version;
        }
      }
    } catch (const Error&) {
      accepted = false;
    }
    if (accepted || std::chrono::steady_clock::now() >= deadline) break;
    SleepFor(kPollInterval);
  }
  if (this->options.json) {
    this->out << ToReadableJsonText(
                     {{"version", version}, {"accepted", accepted}})
              << "\n";
    return accepted ? kSuccess : kNotInForce;
  }
  if (accepted) {
    this->out << "version " << version
              << " accepted: in force in every failure domain\n";
    return kSuccess;
  }
  this->out << "version " << version << " stored, waiting for";
  if (response.status == kHttpOk) {
    for (const auto& [domain, active] : response.body.at("in_force").items()) {
      if (active.get<std::uint64_t>() < version) this->out << " " << domain;
    }
  } else {
    this->out << " the platform";
  }
  this->out << "\n";
  return kNotInForce;
}

auto Commands::History() -> ExitCode {
  const auto response = this->client.Get("/v1/history");
  if (!this->CheckResponse(response)) return kFailure;
  if (this->options.json) return kSuccess;
  for (const auto& change : response.body.at("history")) {
    this->out << "version " << change.at("version") << " by "
              << ToText(change.at("author")) << "\n";
    for (const auto& line : change.at("changes")) {
      this->out << "  " << ToText(line) << "\n";
    }
  }
  return kSuccess;
}

auto Commands::Settlement() -> ExitCode {
  const auto response = this->client.Get("/v1/settlement");
  if (!this->CheckResponse(response)) return kFailure;
  if (this->options.json) return kSuccess;
  struct Usage {
    std::uint64_t requests = 0;
    double slot_seconds = 0;
  };
  constexpr double kMicrosPerSecond = 1e6;
  std::map<std::pair<std::string, std::string>, Usage> sums;
  for (const auto& row : response.body.at("rows")) {
    auto& sum = sums[{ToText(row.at("neighbour")), ToText(row.at("class"))}];
    sum.requests += row.at("requests").get<std::uint64_t>();
    sum.slot_seconds += row.at("slot_us").get<double>() / kMicrosPerSecond;
  }
  this->out << std::left << std::setw(20) << "neighbour" << std::setw(16)
            << "class" << std::right << std::setw(12) << "requests"
            << std::setw(16) << "slot-seconds"
            << "\n"
            << std::fixed << std::setprecision(3);
  for (const auto& [key, sum] : sums) {
    this->out << std::left << std::setw(20) << key.first << std::setw(16)
              << key.second << std::right << std::setw(12) << sum.requests
              << std::setw(16) << sum.slot_seconds << "\n";
  }
  this->out << "total slot-seconds "
            << response.body.at("total_slot_us").get<double>() /
                   kMicrosPerSecond
            << "\n";
  return kSuccess;
}

}  // namespace currantbeam
