#pragma once

#include <optional>
#include <unordered_map>

#include "keys/grant_client.h"

namespace currantbeam {

/// A time in which all grants to an owner reach the same process. Connections
/// that are older than a call which the process has responded to lead to it as
/// long as they are open.
struct GrantSession {
  int number = 0;  ///< Unique.
  KeyOwner owner;
  /// The process has responded. Until then, any connection may be used for one
  /// grant at a time.
  bool is_confirmed = false;
  ConnectionNumber max_connection = 0;  ///< Of those that lead to it.
  TimePoint last_response_at{};

  /// @return the newest connection that leads to the process; nothing if any
  ///   connection may be used.
  [[nodiscard]] auto PermittedConnections() const
      -> std::optional<ConnectionNumber> {
    if (!this->is_confirmed) return std::nullopt;
    return this->max_connection;
  }
};

/// The sessions of GrantScheduler, at most one for each server.
class GrantSessions {
 public:
  /// @return the owner's session; null if there is none. Valid until the next
  ///   change.
  [[nodiscard]] auto Find(const KeyOwner& owner) const -> const GrantSession*;
  /// Begins a session with the owner in place of any earlier one with its
  /// server.
  auto Begin(const KeyOwner& owner) -> const GrantSession&;
  /// Ends the owner's session, if there is one.
  auto End(const KeyOwner& owner) -> void;
  auto Clear() -> void { this->sessions.clear(); }
  /// Applies the reply to a grant that was sent in the session with this number
  /// and may have reached the owner.
  /// @return whether the session continues.
  auto OnReply(const KeyOwner& owner, int number, const GrantResult& result,
               TimePoint now) -> bool;

 private:
  std::unordered_map<ServerId, GrantSession> sessions;
  int session_count = 0;
};

}  // namespace currantbeam
