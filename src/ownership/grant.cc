#include "ownership/grant.h"

namespace currantbeam {

auto GrantHolder::Accept(const Grant& grant) -> GrantAnswer {
  GrantAnswer answer;
  answer.server_run = this->run;
  answer.token = this->token;
  answer.clock = ToMicros(this->clock.Now());
  const auto latest = std::make_pair(this->token, this->sequence);
  if (std::make_pair(grant.token, grant.sequence) <= latest) return answer;
  const bool is_for_this_run = grant.server_run == this->run;
  if (!is_for_this_run && !grant.slots.empty()) return answer;
  answer.accepted = true;
  answer.token = grant.token;
  this->token = grant.token;
  this->sequence = grant.sequence;
  this->expires_at = grant.expires_at;
  this->slots = {grant.slots.begin(), grant.slots.end()};
  return answer;
}

auto GrantHolder::Allows(FencingToken token, SlotIndex slot) const -> bool {
  return token == this->token && this->Holds(slot);
}

auto GrantHolder::Holds(SlotIndex slot) const -> bool {
  return ToMicros(this->clock.Now()) < this->expires_at &&
         this->slots.count(slot) != 0;
}

}  // namespace currantbeam
