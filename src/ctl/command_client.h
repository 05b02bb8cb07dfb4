#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ownership/ownership.h"

namespace currantbeam {

/// A placer's response to a command.
struct CommandResponse {
  unsigned status = 0;  ///< HTTP status.
  nlohmann::json body;
};

/// Sends operators' commands to placers, trying each in turn.
class CommandClient {
 public:
  /// @param placers  operators' ports of placers, as "ADDRESS:PORT".
  /// @throws InputError if one does not have that form.
  explicit CommandClient(const std::vector<std::string>& placers);

  /// Send a GET or POST request to the first placer that responds.
  /// @throws Error if none does. A POST is not sent to another placer once it
  /// may have reached one, as it might be applied twice.
  auto Get(const std::string& target) -> CommandResponse;
  auto Post(const std::string& target, const nlohmann::json& body)
      -> CommandResponse;

 private:
  auto Call(const std::string& target, const std::string& body, bool is_change)
      -> CommandResponse;

  std::vector<Endpoint> placers;
};

}  // namespace currantbeam
