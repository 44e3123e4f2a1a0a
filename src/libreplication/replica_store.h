/// The files of one replica: its identity, the log and the snapshot.
///
/// The log is a plain appended file of checksummed records. The record that
/// an interrupted write left at its end is cut off at start; damage before
/// whole records stops the replica, which then needs an empty disk.
#ifndef SAVORYRING_LIBREPLICATION_REPLICA_STORE_H_
#define SAVORYRING_LIBREPLICATION_REPLICA_STORE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libreplication/replica.h"

namespace savoryring {

/// Opens, reads and extends the files below one folder. Every error of the
/// disk is thrown as Error (kDiskFailed); the process must then end.
class ReplicaStore {
 public:
  /// Creates the folder and a new identity where there is none.
  /// `fresh_incarnation` must be random. Throws Error: kForeignDisk where the
  /// folder belongs to another id, kDamagedLog where a record before the end
  /// is damaged.
  ReplicaStore(std::string folder,
               const std::string& id,
               std::uint64_t fresh_incarnation);
  ~ReplicaStore();
  ReplicaStore(const ReplicaStore&) = delete;
  ReplicaStore& operator=(const ReplicaStore&) = delete;

  const MemberId& self() const { return this->identity; }
  /// What was found at start; to be taken once.
  StoredReplica TakeStored() { return std::move(this->stored); }
  /// Bytes that an interrupted write left and that were cut off.
  std::uint64_t cut_bytes() const { return this->cut_size; }

  /// Writes and syncs everything in `output` that must be kept.
  /// `retained` are the entries after the snapshot, where there is one.
  void Store(const ReplicaOutput& output,
             const std::vector<wire::LogEntry>& retained);

 private:
  void ReadIdentity(const std::string& id, std::uint64_t fresh_incarnation);
  void ReadSnapshot();
  void ReadLog();
  void TakeRecord(const wire::StoredRecord& record);
  void DropEntriesBeforeSnapshot();
  void OpenLog();
  void RewriteLog(const std::vector<wire::LogEntry>& retained);
  void AppendAndSync(const std::string& bytes);
  std::string PathOf(std::string_view name) const;

  std::string folder;
  MemberId identity;
  StoredReplica stored;
  wire::HardState last_hard_state;
  std::uint64_t cut_size = 0;
  int log_descriptor = -1;
};

/// Frames a record: magic, length, checksum, payload.
std::string EncodeRecord(const wire::StoredRecord& record);

}  // namespace savoryring

#endif  // SAVORYRING_LIBREPLICATION_REPLICA_STORE_H_
