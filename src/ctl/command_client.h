#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ownership/ownership.h"

namespace currantbeam {

/// A placer's answer to a command.
struct CommandAnswer {
  unsigned status = 0;  ///< HTTP status.
  nlohmann::json body;
};

/// Sends operators' commands to placers, trying each in turn.
class CommandClient {
 public:
  /// @param placers  operators' ports of placers, as "ADDRESS:PORT".
  /// @throws InputError if one is not of that form.
  explicit CommandClient(const std::vector<std::string>& placers);

  /// @throws Error if no placer answers. A command that changes something is
  /// not sent to a second placer once it may have reached the first.
  auto Read(const std::string& target) -> CommandAnswer;
  auto Change(const std::string& target, const nlohmann::json& body)
      -> CommandAnswer;

 private:
  auto Call(const std::string& target, const std::string& body, bool changes)
      -> CommandAnswer;

  std::vector<Endpoint> placers;
};

}  // namespace currantbeam
