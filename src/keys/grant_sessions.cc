#include "keys/grant_sessions.h"

#include <algorithm>

namespace currantbeam {

auto GrantSessions::Find(const KeyOwner& owner) const -> const GrantSession* {
  const auto it = this->sessions.find(owner.id);
  const bool is_found = it != this->sessions.end() && it->second.owner == owner;
  return is_found ? &it->second : nullptr;
}

auto GrantSessions::Begin(const KeyOwner& owner) -> const GrantSession& {
  auto& session = this->sessions[owner.id];
  session = GrantSession();
  session.number = ++this->session_count;
  session.owner = owner;
  return session;
}

auto GrantSessions::End(const KeyOwner& owner) -> void {
  if (this->Find(owner) != nullptr) this->sessions.erase(owner.id);
}

auto GrantSessions::OnReply(const KeyOwner& owner, int number,
                            const GrantResult& result, TimePoint now) -> bool {
  const auto* found = this->Find(owner);
  if (found == nullptr || found->number != number) return false;
  auto& session = this->sessions[owner.id];
  if (result.reply != GrantReply::kNoResponse) {
    session.is_confirmed = true;
    session.max_connection =
        std::max(session.max_connection, result.newest_connection);
    session.last_response_at = now;
    return true;
  }
  if (session.is_confirmed) return true;
  // Another process may respond to the next call.
  this->sessions.erase(owner.id);
  return false;
}

}  // namespace currantbeam
