#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

#include "load/load_runner.h"
#include "program/program.h"

namespace currantbeam {
namespace {

namespace options = boost::program_options;

auto ParseTargets(const std::vector<std::string>& texts)
    -> std::vector<Endpoint> {
  std::vector<Endpoint> targets;
  for (const auto& text : texts) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
      throw InputError("--target: '" + text + "' is not ADDRESS:PORT");
    }
    Endpoint target;
    target.address = text.substr(0, colon);
    target.port =
        static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1));
    targets.push_back(target);
  }
  return targets;
}

auto ReadResult(const std::string& path) -> nlohmann::json {
  std::ifstream file(path);
  if (!file) throw InputError(path + ": cannot be read");
  return nlohmann::json::parse(file);
}

auto Main(int argc, char** argv) -> int {
  std::string scenario_path;
  std::string out_path;
  std::vector<std::string> targets;
  std::vector<std::string> compare;
  LoadRunner::Options runner_options;
  options::options_description description("Options");
  description.add_options()("help,h", "print this help and exit")(
      "scenario,s", options::value(&scenario_path), "TOML file to run")(
      "target,t", options::value(&targets)->composing(),
      "ADDRESS:PORT to send requests to; may be repeated")(
      "by-hash", options::bool_switch(&runner_options.by_hash),
      "select the target by a hash of the key instead of in rotation")(
      "workers", options::value(&runner_options.workers)->default_value(2),
      "threads")("out,o", options::value(&out_path),
                 "file to write the result to, as JSON")(
      "compare", options::value(&compare)->multitoken(),
      "two result files to print side by side");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
    if (values.count("help") != 0) {
      std::cout << "currantbeam-load: generates load and reports latencies\n\n"
                << description;
      return kExitOk;
    }
    if (compare.size() == 2) {
      PrintComparison(ReadResult(compare[0]), ReadResult(compare[1]),
                      std::cout);
      return kExitOk;
    }
    if (scenario_path.empty() || targets.empty()) {
      throw InputError("--scenario and --target are required");
    }
    const auto scenario = Scenario::FromFile(scenario_path);
    runner_options.targets = ParseTargets(targets);
    std::signal(SIGPIPE, SIG_IGN);
    const auto result = LoadRunner(scenario, runner_options).Run();
    PrintResult(result, std::cout);
    if (!out_path.empty()) {
      std::ofstream(out_path) << ToReadableJsonText(ToJson(result)) << "\n";
    }
    return kExitOk;
  } catch (const options::error& error) {
    std::cerr << "currantbeam-load: " << error.what() << "\n";
    return kExitUsage;
  } catch (const InputError& error) {
    std::cerr << "currantbeam-load: " << error.what() << "\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "currantbeam-load: " << error.what() << "\n";
    return kExitFailure;
  }
}

}  // namespace
}  // namespace currantbeam

auto main(int argc, char** argv) -> int {
  return currantbeam::Main(argc, argv);
}
