/// Replica identifiers and their conversion to and from messages.
#ifndef SAVORYRING_LIBREPLICATION_MEMBER_ID_H_
#define SAVORYRING_LIBREPLICATION_MEMBER_ID_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libreplication/replication.pb.h"

namespace savoryring {

/// Identifies a replica by its id and by the incarnation of its disk, which
/// changes when the replica starts with an empty disk.
struct MemberId {
  std::string id;
  std::uint64_t incarnation = 0;

  auto operator<=>(const MemberId& other) const = default;
};

MemberId ToMemberId(const wire::Member& member);
void FillMember(const MemberId& id, wire::Member* member);
wire::Membership ToMembership(const std::vector<MemberId>& voters);

}  // namespace savoryring

#endif  // SAVORYRING_LIBREPLICATION_MEMBER_ID_H_
