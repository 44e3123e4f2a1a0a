// Transfer of entries and snapshots that are too large for one message: in
// parts, between which heartbeats pass.

#include <algorithm>
#include <utility>

#include "libreplication/replica.h"

namespace savoryring {
namespace {

constexpr std::size_t kMaxPartBytes = 64U << 10U;
// The largest message that a link accepts.
constexpr std::uint64_t kMaxTransferBytes = 256U << 20U;

}  // namespace

// --- On the leader ---

// Whether the entry is sent in parts. Until the peer has replied, it is not
// known whether it accepts them.
bool Replica::IsSentInParts(const Progress& progress,
                            std::uint64_t index) const {
  const wire::LogEntry& entry = this->log[index - this->snapshot_index - 1];
  return entry.command().size() > kMaxBytesInFlight &&
         (progress.accepts_parts || !progress.has_replied);
}

// A transfer is abandoned if the peer's next entry changes, or the log is
// compacted.
bool Replica::IsCurrent(const Progress& progress) const {
  const OutgoingTransfer& transfer = progress.transfer;
  const bool needs_snapshot = progress.next_index <= this->snapshot_index;
  return transfer.is_snapshot == needs_snapshot &&
         transfer.index ==
             (needs_snapshot ? this->snapshot_index : progress.next_index);
}

void Replica::StartTransfer(Progress& progress) {
  if (this->IsCurrent(progress))
    return;
  const bool is_snapshot = progress.next_index <= this->snapshot_index;
  progress.transfer = {
      .is_snapshot = is_snapshot,
      .index = is_snapshot ? this->snapshot_index : progress.next_index};
  progress.transfer.total_bytes = this->TransferBytes(progress.transfer).size();
  this->DropUnusedTransferBytes();
}

const std::string& Replica::TransferBytes(const OutgoingTransfer& transfer) {
  const auto [found, added] =
      this->transfer_bytes.try_emplace({transfer.is_snapshot, transfer.index});
  if (!added)
    return found->second;
  if (transfer.is_snapshot) {
    found->second = this->MakeSnapshot().SerializeAsString();
  } else {
    found->second = this->log[transfer.index - this->snapshot_index - 1]
                        .SerializeAsString();
  }
  return found->second;
}

void Replica::DropUnusedTransferBytes() {
  std::erase_if(this->transfer_bytes, [this](const auto& item) {
    return std::ranges::none_of(this->peers, [&item](const auto& peer) {
      const OutgoingTransfer& transfer = peer.second.transfer;
      return std::pair(transfer.is_snapshot, transfer.index) == item.first;
    });
  });
}

void Replica::FillPart(Progress& progress,
                       std::size_t max_bytes,
                       wire::TransferPart& part) {
  OutgoingTransfer& transfer = progress.transfer;
  const std::string& bytes = this->TransferBytes(transfer);
  part.set_index(transfer.index);
  part.set_term(this->TermAt(transfer.index));
  part.set_offset(transfer.sent_bytes);
  part.set_total_bytes(bytes.size());
  part.set_data(bytes.substr(transfer.sent_bytes, max_bytes));
  transfer.sent_bytes += part.data().size();
}

// Returns whether any part was sent.
bool Replica::SendEntryParts(Progress& progress, TimePoint now) {
  if (!progress.accepts_parts)
    return false;
  this->StartTransfer(progress);
  bool sent = false;
  while (this->HasMoreToSend(progress)) {
    wire::ReplicaMessage message = this->NewMessage(progress.member);
    wire::AppendRequest* request =
        this->AddAppendRequest(progress, message, now);
    this->FillPart(progress, kMaxPartBytes, *request->mutable_part());
    this->SendTo(progress.member, std::move(message));
    sent = true;
  }
  if (sent)
    progress.resend_deadline = this->ResendDeadline(progress, now);
  return sent;
}

// Sends a message at least, with an empty part if there is no room in flight,
// as a heartbeat.
void Replica::SendSnapshotParts(Progress& progress, TimePoint now) {
  this->StartTransfer(progress);
  bool has_room = this->HasMoreToSend(progress);
  do {
    wire::ReplicaMessage message = this->NewMessage(progress.member);
    wire::SnapshotRequest* request = message.mutable_snapshot_request();
    request->set_sent_ns(ToNanoseconds(now));
    if (progress.accepts_parts) {
      this->FillPart(progress, has_room ? kMaxPartBytes : 0,
                     *request->mutable_part());
    }
    this->SendTo(progress.member, std::move(message));
    if (has_room)
      progress.resend_deadline = this->ResendDeadline(progress, now);
    has_room = progress.accepts_parts && this->HasMoreToSend(progress);
  } while (has_room);
}

// Returns whether the peer holds another part of the transfer than was known.
bool Replica::UpdateTransfer(Progress& progress,
                             const wire::AppendReply& reply,
                             TimePoint now) {
  OutgoingTransfer& transfer = progress.transfer;
  if (transfer.index == 0)
    return false;
  if (reply.accepted() && reply.match_index() >= transfer.index) {
    transfer = {};
    this->DropUnusedTransferBytes();
    return false;
  }
  const std::uint64_t held = reply.held_part_bytes();
  const bool changed = reply.part_index() == transfer.index &&
                       held != transfer.acknowledged_bytes &&
                       held <= transfer.total_bytes;
  if (!changed)
    return false;
  // A peer that has restarted holds less than before.
  if (held < transfer.acknowledged_bytes)
    transfer.sent_bytes = held;
  transfer.acknowledged_bytes = held;
  transfer.sent_bytes = std::max(transfer.sent_bytes, held);
  progress.resend_deadline = this->ResendDeadline(progress, now);
  return true;
}

// --- On the follower ---

// Returns whether the entry is complete and in the log.
bool Replica::ReceiveEntryPart(const wire::ReplicaMessage& message) {
  const wire::AppendRequest& request = message.append_request();
  const wire::TransferPart& part = request.part();
  const std::uint64_t expected_index =
      request.previous_index() +
      static_cast<std::uint64_t>(request.entries_size()) + 1;
  if (part.index() != expected_index)
    return false;
  const bool is_known = part.index() <= this->snapshot_index ||
                        (part.index() <= this->last_index() &&
                         this->TermAt(part.index()) == part.term());
  if (is_known)
    return true;
  if (!this->ReceivePart(message, part, false))
    return false;
  wire::LogEntry entry;
  const bool valid = entry.ParseFromString(this->TakeIncoming()) &&
                     entry.index() == part.index() &&
                     entry.term() == part.term();
  if (valid)
    this->AppendReceivedEntry(entry);
  return valid;
}

void Replica::ReceiveSnapshotPart(const wire::ReplicaMessage& message) {
  const wire::TransferPart& part = message.snapshot_request().part();
  if (part.index() <= this->committed_index ||
      !this->ReceivePart(message, part, true))
    return;
  wire::Snapshot snapshot;
  if (snapshot.ParseFromString(this->TakeIncoming()))
    this->InstallSnapshot(snapshot);
}

// Returns whether the transfer is complete. A part that does not continue what
// was received is ignored; the reply tells the leader where to go on.
bool Replica::ReceivePart(const wire::ReplicaMessage& message,
                          const wire::TransferPart& part,
                          bool is_snapshot) {
  const IncomingTransfer started{.is_snapshot = is_snapshot,
                                 .leader = ToMemberId(message.from()),
                                 .leader_term = message.term(),
                                 .index = part.index(),
                                 .term = part.term(),
                                 .total_bytes = part.total_bytes()};
  if (!this->incoming || !this->incoming->IsSameAs(started))
    this->incoming = started;
  std::string& bytes = this->incoming->bytes;
  if (part.offset() != bytes.size())
    return false;
  if (part.total_bytes() > kMaxTransferBytes ||
      part.data().size() > part.total_bytes() - bytes.size()) {
    this->incoming.reset();
    return false;
  }
  bytes += part.data();
  return bytes.size() == part.total_bytes();
}

std::string Replica::TakeIncoming() {
  std::string bytes = std::move(this->incoming->bytes);
  this->incoming.reset();
  return bytes;
}

}  // namespace savoryring
