#pragma once

#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "core/core.h"

namespace currantbeam {

/// The other hosts that this one can send messages to without the help of the
/// coordinator, each by its ADDRESS:PORT. Bounded in number; hosts that were
/// not named for longest are dropped.
class KnownHosts {
 public:
  /// @param own_endpoint  of this host, which is never among the others.
  /// @param seed  of the order in which hosts are chosen; different hosts have
  ///   different ones.
  KnownHosts(const Clock& clock, std::string own_endpoint, unsigned seed)
      : clock(clock), own_endpoint(std::move(own_endpoint)), random(seed) {}

  /// The host has sent a message, or another host has named it.
  auto Add(const std::string& endpoint) -> void;
  /// A message is sent to the host. Until it succeeds, others are chosen before
  /// it, at most for some seconds.
  auto OnAsked(const std::string& endpoint) -> void;
  /// The host did what it was asked for.
  auto OnSuccess(const std::string& endpoint) -> void;
  /// @return different hosts in random order, at most `count`.
  auto Choose(std::size_t count) -> std::vector<std::string>;

 private:
  struct Host {
    TimePoint named_at{};
    TimePoint asked_at{};  ///< Zero after a success.
  };

  auto DropOldest() -> void;

  const Clock& clock;
  std::string own_endpoint;
  std::map<std::string, Host> hosts;  ///< By endpoint.
  std::mt19937 random;
};

}  // namespace currantbeam
