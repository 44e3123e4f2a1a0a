#include "libreplication/member_id.h"

namespace savoryring {

MemberId ToMemberId(const wire::Member& member) {
  return {.id = member.id(), .incarnation = member.incarnation()};
}

void FillMember(const MemberId& id, wire::Member* member) {
  member->set_id(id.id);
  member->set_incarnation(id.incarnation);
}

wire::Membership ToMembership(const std::vector<MemberId>& voters) {
  wire::Membership membership;
  for (const MemberId& voter : voters)
    FillMember(voter, membership.add_voters());
  return membership;
}

}  // namespace savoryring
