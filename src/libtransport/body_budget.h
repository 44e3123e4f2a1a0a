/// Memory account for the request bodies of one process, shared by its
/// listeners.
#ifndef SAVORYRING_LIBTRANSPORT_BODY_BUDGET_H_
#define SAVORYRING_LIBTRANSPORT_BODY_BUDGET_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "savoryring/time.h"

namespace savoryring {

/// Identifies the body of one request; never reused within a process.
using BodyId = std::uint64_t;

/// The reservation was made. The bodies in `aborted` were released to make room
/// for it; their requests must be aborted and their memory freed.
struct BodyAdmitted {
  std::vector<BodyId> aborted;
};

/// The reservation was not made; the request must be refused.
struct BodyRefused {};

using BodyDecision = std::variant<BodyAdmitted, BodyRefused>;

/// Deterministic core. Load: up to `limits.connections` clients under nobody's
/// control, which send bodies up to the limit and stop before their end, or
/// send very slowly, while ordinary callers send bodies of a few KiB. Bytes are
/// reserved as they arrive. A quarter of the memory is kept for bodies of up to
/// kSmallBodyBytes, so that large bodies never displace small ones.
class BodyBudget {
 public:
  static constexpr std::uint64_t kSmallBodyBytes = 16U << 10U;

  explicit BodyBudget(std::uint64_t limit_bytes);

  /// Sets the reservation of an incomplete body to `reserved_bytes`, of which
  /// `received_bytes` have arrived. If that does not fit, the incomplete bodies
  /// without progress for the longest time are aborted. A body without a
  /// reservation is new.
  BodyDecision OnReceived(BodyId id,
                          std::uint64_t received_bytes,
                          std::uint64_t reserved_bytes,
                          TimePoint now);
  /// The body is complete and goes to its handler: it is not aborted any more.
  /// Returns false if too much memory is taken by large bodies that are being
  /// handled; the request must be refused then. One of them is always admitted.
  bool OnComplete(BodyId id);
  /// The handler has returned a response, which replaces the body. Returns
  /// false if too much memory is taken by large responses that are not yet
  /// written; the response must be dropped then. One of them is always
  /// admitted.
  bool OnResponse(BodyId id, std::uint64_t bytes);
  /// Ends the reservation. Ignores unknown ids.
  void Release(BodyId id);

  /// When the body with this reservation last made progress.
  TimePoint ProgressOf(BodyId id) const { return this->bodies.at(id).progress; }
  /// The largest body for which a reservation is possible.
  std::uint64_t max_body_bytes() const;
  std::uint64_t reserved_bytes() const;
  /// Number of bodies with a reservation.
  std::size_t size() const { return this->bodies.size(); }

 private:
  struct Body {
    std::uint64_t reserved = 0;
    std::uint64_t received_at_progress = 0;
    TimePoint progress;
    bool complete = false;
  };
  struct Pool {
    std::uint64_t limit = 0;
    std::uint64_t reserved = 0;
    std::uint64_t handled = 0;  // By complete bodies.
    std::set<std::pair<TimePoint, BodyId>> incomplete;
  };

  static bool IsSmall(std::uint64_t bytes) { return bytes <= kSmallBodyBytes; }
  Pool& PoolOf(std::uint64_t bytes);
  void Add(BodyId id, const Body& body);
  void Remove(BodyId id, const Body& body);

  Pool small;
  Pool large;
  std::map<BodyId, Body> bodies;
  std::uint64_t response_limit;
  std::uint64_t response_bytes = 0;
  std::map<BodyId, std::uint64_t> responses;  // The large ones.
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBTRANSPORT_BODY_BUDGET_H_
