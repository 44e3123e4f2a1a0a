/// Persistent storage of one replica: its identity, log and snapshot.
///
/// The log is an append-only file of checksummed records, one for each write. A
/// record that an interrupted write left incomplete or damaged at the end is
/// truncated at startup. A damaged record that is followed by valid ones stops
/// the replica, which must then restart with an empty disk.
#ifndef SAVORYRING_LIBREPLICATION_REPLICA_STORE_H_
#define SAVORYRING_LIBREPLICATION_REPLICA_STORE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "libreplication/replica.h"

namespace savoryring {

/// Reads and writes the files in one directory. Disk errors are thrown as Error
/// (kDiskFailed); the process must then exit.
class ReplicaStore {
 public:
  /// Creates the directory and a new identity if they do not exist.
  /// `new_incarnation` must be random. Throws Error: kForeignDisk if the
  /// directory belongs to another id, kDamagedLog if a file is missing or a
  /// record before the end is damaged.
  ReplicaStore(std::string directory,
               const std::string& id,
               std::uint64_t new_incarnation);
  ~ReplicaStore();
  ReplicaStore(const ReplicaStore&) = delete;
  ReplicaStore& operator=(const ReplicaStore&) = delete;

  const MemberId& self() const { return this->identity; }
  /// Returns the state read at startup. Must be called at most once.
  StoredReplica TakeStored() { return std::move(this->stored); }
  /// Size of the incomplete record that was truncated at startup.
  std::uint64_t truncated_bytes() const { return this->truncated_size; }

  /// Writes and syncs the persistent parts of `output`. If it has a snapshot,
  /// `retained` holds the log entries after it.
  void Store(const ReplicaOutput& output, const LogEntries& retained);

 private:
  void RemoveTemporaryFiles();
  void ReadIdentity(const std::string& id, std::uint64_t new_incarnation);
  void ReadSnapshot();
  void ReadLog();
  void ApplyRecord(wire::StoredRecord record);
  void ApplyEntry(wire::LogEntry entry);
  // Returns whether any were dropped.
  bool DropEntriesSupersededBySnapshot();
  void OpenLog();
  void RewriteLog(const LogEntries& retained);
  void AppendAndSync(const std::string& bytes);
  std::string PathOf(std::string_view name) const;

  std::string directory;
  MemberId identity;
  StoredReplica stored;
  wire::HardState last_hard_state;
  std::uint64_t truncated_size = 0;
  int log_fd = -1;
};

/// Encodes a record as magic, length, checksum and payload.
std::string EncodeRecord(const wire::StoredRecord& record);

}  // namespace savoryring

#endif  // SAVORYRING_LIBREPLICATION_REPLICA_STORE_H_
