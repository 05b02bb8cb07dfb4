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

auto Text(const nlohmann::json& value) -> std::string {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

}  // namespace

auto Commands::Help() -> std::string {
  return "Commands:\n"
         "  status                 placers, servers, and who drives them\n"
         "  explain SERVICE KEY    who serves a key, and why\n"
         "  config show            the configuration, and where it is in "
         "force\n"
         "  config validate FILE   check a configuration without storing it\n"
         "  config diff FILE       what a configuration would change\n"
         "  config apply FILE      store a configuration and wait until it is\n"
         "                         in force in every failure domain\n"
         "  history                who changed what\n"
         "  hosts join ID          let a host or server take work (again)\n"
         "  hosts leave ID         drain a host or server\n"
         "  hosts lost ID          declare a host or server lost for good\n"
         "  settlement             capacity drawn, by neighbour and class\n"
         "\n"
         "Exit codes: 0 done, 1 failed, 2 wrong usage or file, 3 someone else\n"
         "changed the configuration, 4 stored but not in force everywhere "
         "yet\n";
}

auto Commands::Run(const std::vector<std::string>& words) -> ExitCode {
  const auto is = [&](std::initializer_list<const char*> start,
                      std::size_t count) {
    if (words.size() != count) return false;
    return std::equal(start.begin(), start.end(), words.begin());
  };
  if (is({"status"}, 1)) return this->Status();
  if (is({"explain"}, 3)) return this->Explain(words[1], words[2]);
  if (is({"config", "show"}, 2)) return this->ShowConfig();
  if (is({"config", "validate"}, 3)) return this->Validate(words[2]);
  if (is({"config", "diff"}, 3)) return this->Diff(words[2]);
  if (is({"config", "apply"}, 3)) return this->Apply(words[2]);
  if (is({"history"}, 1)) return this->History();
  if (is({"hosts", "join"}, 3)) return this->Mark("joining", words[2]);
  if (is({"hosts", "leave"}, 3)) return this->Mark("leaving", words[2]);
  if (is({"hosts", "lost"}, 3)) return this->Mark("lost", words[2]);
  if (is({"settlement"}, 1)) return this->Settlement();
  std::string text;
  for (const auto& word : words) text += " " + word;
  throw InputError("no command is called '" +
                   (text.empty() ? text : text.substr(1)) + "'\n" + Help());
}

auto Commands::CheckAnswer(const CommandAnswer& answer) -> bool {
  const bool good = answer.status == kHttpOk;
  if (this->options.json) {
    this->out << answer.body.dump(2) << "\n";
  } else if (!good) {
    this->out << "error: " << Text(answer.body.value("error", nlohmann::json()))
              << "\n";
  }
  return good;
}

auto Commands::Status() -> ExitCode {
  const auto answer = this->client.Read("/v1/status");
  if (!this->CheckAnswer(answer)) return kFailed;
  if (this->options.json) return kDone;
  const auto& body = answer.body;
  this->out << "placer " << Text(body.at("host")) << " in "
            << Text(body.at("domain")) << ": " << Text(body.at("role"))
            << ", platform "
            << (body.at("platform_reachable").get<bool>() ? "reachable"
                                                          : "out of reach")
            << ", configuration " << body.at("config_version") << "\n";
  for (const auto& domain : body.at("domains")) {
    this->out << "domain " << Text(domain.at("domain")) << ": placer "
              << Text(domain.at("placer")) << ", term " << domain.at("term")
              << ", " << domain.at("voters") << " voters\n";
  }
  for (const auto& row : body.at("servers")) {
    this->out << "server " << std::left << std::setw(16)
              << Text(row.at("server")) << " " << std::setw(12)
              << Text(row.at("domain")) << " driver " << std::setw(14)
              << Text(row.at("driver")) << " slots " << row.at("slots_owned")
              << (row.at("leaving").get<bool>() ? " leaving" : "") << "\n";
  }
  return kDone;
}

auto Commands::Explain(const std::string& service, const std::string& key)
    -> ExitCode {
  const auto answer =
      this->client.Read("/v1/explain?service=" + PercentEncode(service) +
                        "&key=" + PercentEncode(key));
  if (!this->CheckAnswer(answer)) return kFailed;
  if (this->options.json) return kDone;
  for (const auto& [name, value] : answer.body.items()) {
    this->out << std::left << std::setw(10) << name << " " << Text(value)
              << "\n";
  }
  return kDone;
}

auto Commands::ShowConfig() -> ExitCode {
  const auto answer = this->client.Read("/v1/config");
  if (!this->CheckAnswer(answer)) return kFailed;
  if (this->options.json) return kDone;
  this->out << "version " << answer.body.at("version")
            << (answer.body.at("accepted").get<bool>() ? ", accepted"
                                                       : ", stored")
            << "\n";
  for (const auto& [domain, version] : answer.body.at("in_force").items()) {
    this->out << "in force in " << domain << ": " << version << "\n";
  }
  this->out << answer.body.at("configuration").dump(2) << "\n";
  return kDone;
}

auto Commands::Validate(const std::string& path) -> ExitCode {
  Configuration::FromToml(ReadFile(path), path);
  this->out << path << ": good\n";
  return kDone;
}

auto Commands::Diff(const std::string& path) -> ExitCode {
  const auto after = Configuration::FromToml(ReadFile(path), path);
  const auto answer = this->client.Read("/v1/config");
  Configuration before;
  if (answer.status == kHttpOk) {
    before = answer.body.at("configuration").get<Configuration>();
  }
  const auto lines = DescribeChanges(before, after);
  if (this->options.json) {
    this->out << nlohmann::json(lines).dump(2) << "\n";
    return kDone;
  }
  for (const auto& line : lines) this->out << line << "\n";
  if (lines.empty()) this->out << "no difference\n";
  return kDone;
}

auto Commands::Apply(const std::string& path) -> ExitCode {
  const auto text = ReadFile(path);
  Configuration::FromToml(text, path);
  auto base = this->options.base_version;
  if (!this->options.has_base_version) {
    const auto current = this->client.Read("/v1/config");
    base = current.status == kHttpOk
               ? current.body.at("version").get<std::uint64_t>()
               : 0;
  }
  const auto answer =
      this->client.Change("/v1/config", {{"base_version", base},
                                         {"author", this->options.author},
                                         {"file", path},
                                         {"toml", text}});
  return this->Finish(answer);
}

auto Commands::Mark(const std::string& mark, const std::string& id)
    -> ExitCode {
  return this->Finish(this->client.Change(
      "/v1/hosts",
      {{"id", id}, {"mark", mark}, {"author", this->options.author}}));
}

auto Commands::Finish(const CommandAnswer& answer) -> ExitCode {
  if (answer.status == kHttpOk) {
    return this->WaitInForce(answer.body.at("version").get<std::uint64_t>());
  }
  this->CheckAnswer(answer);
  if (answer.status != kHttpConflict) return kFailed;
  if (this->options.json) return kConflict;
  for (const auto& change : answer.body.at("since")) {
    this->out << "version " << change.at("version") << " by "
              << Text(change.at("author")) << ":\n";
    for (const auto& line : change.at("changes")) {
      this->out << "  " << Text(line) << "\n";
    }
  }
  return kConflict;
}

auto Commands::WaitInForce(std::uint64_t version) -> ExitCode {
  const auto until = std::chrono::steady_clock::now() + this->options.wait;
  CommandAnswer answer;
  bool accepted = false;
  while (true) {
    try {
      answer = this->client.Read("/v1/config");
      accepted = answer.status == kHttpOk;
      if (accepted) {
        for (const auto& [domain, there] : answer.body.at("in_force").items()) {
          accepted = accepted && there.get<std::uint64_t>() >= version;
        }
      }
    } catch (const Error&) {
      accepted = false;
    }
    if (accepted || std::chrono::steady_clock::now() >= until) break;
    SleepFor(kPollInterval);
  }
  if (this->options.json) {
    this->out
        << nlohmann::json{{"version", version}, {"accepted", accepted}}.dump(2)
        << "\n";
    return accepted ? kDone : kNotInForce;
  }
  if (accepted) {
    this->out << "version " << version
              << " accepted: in force in every failure domain\n";
    return kDone;
  }
  this->out << "version " << version << " stored, waiting for";
  if (answer.status == kHttpOk) {
    for (const auto& [domain, there] : answer.body.at("in_force").items()) {
      if (there.get<std::uint64_t>() < version) this->out << " " << domain;
    }
  } else {
    this->out << " the platform";
  }
  this->out << "\n";
  return kNotInForce;
}

auto Commands::History() -> ExitCode {
  const auto answer = this->client.Read("/v1/history");
  if (!this->CheckAnswer(answer)) return kFailed;
  if (this->options.json) return kDone;
  for (const auto& change : answer.body.at("history")) {
    this->out << "version " << change.at("version") << " by "
              << Text(change.at("author")) << "\n";
    for (const auto& line : change.at("changes")) {
      this->out << "  " << Text(line) << "\n";
    }
  }
  return kDone;
}

auto Commands::Settlement() -> ExitCode {
  const auto answer = this->client.Read("/v1/settlement");
  if (!this->CheckAnswer(answer)) return kFailed;
  if (this->options.json) return kDone;
  struct Drawn {
    std::uint64_t requests = 0;
    double slot_seconds = 0;
  };
  constexpr double kMicros = 1e6;
  std::map<std::pair<std::string, std::string>, Drawn> sums;
  for (const auto& row : answer.body.at("rows")) {
    auto& sum = sums[{Text(row.at("neighbour")), Text(row.at("class"))}];
    sum.requests += row.at("requests").get<std::uint64_t>();
    sum.slot_seconds += row.at("slot_us").get<double>() / kMicros;
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
            << answer.body.at("total_slot_us").get<double>() / kMicros << "\n";
  return kDone;
}

}  // namespace currantbeam
