#include "libreplication/replica_store.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "libbase/checksum.h"
#include "libbase/json_checker.h"
#include "savoryring/settings.h"

namespace savoryring {
namespace {

namespace fs = std::filesystem;

constexpr std::uint32_t kRecordMagic = 0x5352'4c31;
constexpr std::string_view kIdentityFile = "identity.json";
constexpr std::string_view kSnapshotFile = "snapshot";
constexpr std::string_view kLogFile = "log";
constexpr std::string_view kTemporarySuffix = ".new";
// Records are collected up to this size before they are written.
constexpr std::size_t kWriteBufferBytes = 1U << 20U;
constexpr std::size_t kScanBufferBytes = 64U << 10U;

struct RecordHeader {
  std::uint32_t magic = 0;
  std::uint32_t length = 0;
  std::uint64_t checksum = 0;
};
static_assert(sizeof(RecordHeader) == 16);

[[noreturn]] void ThrowDiskError(const std::string& operation) {
  throw Error(ResultCode::kDiskFailed, operation + ": " + std::strerror(errno));
}

// Closes a file descriptor at the end of its scope.
class File {
 public:
  File(const std::string& path, int flags)
      : fd(open(path.c_str(), flags | O_CLOEXEC, 0644)) {
    if (this->fd < 0)
      ThrowDiskError("open " + path);
  }
  ~File() { close(this->fd); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  int get() const { return this->fd; }

 private:
  int fd;
};

void WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = write(fd, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR)
      continue;
    if (written < 0)
      ThrowDiskError("write");
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
}

void SyncDirectory(const std::string& directory) {
  const File file(directory, O_RDONLY | O_DIRECTORY);
  if (fsync(file.get()) != 0)
    ThrowDiskError("sync " + directory);
}

// Replaces a file atomically: after a crash either the old or the new content
// remains. `write_content` writes to the file descriptor that it gets.
void ReplaceFile(const std::string& directory,
                 const std::string& path,
                 const std::function<void(int)>& write_content) {
  const std::string temporary = path + std::string(kTemporarySuffix);
  {
    const File file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    write_content(file.get());
    if (fsync(file.get()) != 0)
      ThrowDiskError("sync " + temporary);
  }
  if (rename(temporary.c_str(), path.c_str()) != 0)
    ThrowDiskError("rename " + temporary);
  SyncDirectory(directory);
}

void ReplaceFile(const std::string& directory,
                 const std::string& path,
                 std::string_view bytes) {
  ReplaceFile(directory, path, [bytes](int fd) { WriteAll(fd, bytes); });
}

std::string EncodePayload(const std::string& payload) {
  const RecordHeader header{
      .magic = kRecordMagic,
      .length = static_cast<std::uint32_t>(payload.size()),
      .checksum = Checksum(payload)};
  std::string bytes(reinterpret_cast<const char*>(&header), sizeof(header));
  return bytes + payload;
}

// Reads the records of a file one at a time, as the file may take a large part
// of the memory.
class RecordReader {
 public:
  /// Throws Error (kUnreadableFile).
  explicit RecordReader(const std::string& path)
      : file(path, std::ios::binary), size(fs::file_size(path)) {
    if (!this->file)
      throw Error(ResultCode::kUnreadableFile, path);
  }

  /// Reads the payload of the next record. Returns nullopt at the end of the
  /// file and at a record that is incomplete or damaged.
  std::optional<std::string> Next() {
    std::optional<std::string> payload = this->ReadAt(this->position);
    if (payload)
      this->position += sizeof(RecordHeader) + payload->size();
    return payload;
  }

  /// End of the last record that was read.
  std::uint64_t offset() const { return this->position; }
  std::uint64_t remaining() const { return this->size - this->position; }

  /// Whether any record that begins after offset() is valid.
  bool HasValidRecordAfterOffset() {
    const std::string_view magic(reinterpret_cast<const char*>(&kRecordMagic),
                                 sizeof(kRecordMagic));
    for (std::uint64_t begin = this->position + 1; begin < this->size;
         begin += kScanBufferBytes) {
      // The windows overlap, so that none of them ends within a magic number.
      const std::string window =
          this->ReadBytes(begin, kScanBufferBytes + magic.size() - 1);
      for (std::size_t at = window.find(magic); at != std::string::npos;
           at = window.find(magic, at + 1)) {
        if (this->ReadAt(begin + at))
          return true;
      }
    }
    return false;
  }

 private:
  std::optional<std::string> ReadAt(std::uint64_t begin) {
    const std::string bytes = this->ReadBytes(begin, sizeof(RecordHeader));
    RecordHeader header;
    if (bytes.size() < sizeof(header))
      return std::nullopt;
    std::memcpy(&header, bytes.data(), sizeof(header));
    const std::uint64_t payload_begin = begin + sizeof(header);
    if (header.magic != kRecordMagic ||
        header.length > this->size - payload_begin)
      return std::nullopt;
    std::string payload = this->ReadBytes(payload_begin, header.length);
    if (payload.size() != header.length || Checksum(payload) != header.checksum)
      return std::nullopt;
    return payload;
  }

  // Returns fewer bytes at the end of the file.
  std::string ReadBytes(std::uint64_t begin, std::size_t count) {
    std::string bytes(std::min<std::uint64_t>(count, this->size - begin), 0);
    this->file.clear();
    this->file.seekg(static_cast<std::streamoff>(begin));
    this->file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    bytes.resize(static_cast<std::size_t>(this->file.gcount()));
    return bytes;
  }

  std::ifstream file;
  std::uint64_t size;
  std::uint64_t position = 0;
};

wire::StoredRecord EntryRecord(const wire::LogEntry& entry) {
  wire::StoredRecord record;
  *record.mutable_entry() = entry;
  return record;
}

wire::StoredRecord HardStateRecord(const wire::HardState& hard_state) {
  wire::StoredRecord record;
  *record.mutable_hard_state() = hard_state;
  return record;
}

wire::StoredRecord RecordOf(const ReplicaOutput& output) {
  if (output.append.empty())
    return HardStateRecord(*output.hard_state);
  if (!output.hard_state && output.append.size() == 1)
    return EntryRecord(output.append.front());
  wire::StoredRecord record;
  wire::StoredBatch* batch = record.mutable_batch();
  if (output.hard_state)
    *batch->mutable_hard_state() = *output.hard_state;
  for (const wire::LogEntry& entry : output.append)
    *batch->add_entries() = entry;
  return record;
}

}  // namespace

std::string EncodeRecord(const wire::StoredRecord& record) {
  return EncodePayload(record.SerializeAsString());
}

ReplicaStore::ReplicaStore(std::string directory,
                           const std::string& id,
                           std::uint64_t new_incarnation)
    : directory(std::move(directory)) {
  std::error_code failure;
  fs::create_directories(this->directory, failure);
  if (failure) {
    throw Error(ResultCode::kDiskFailed,
                "create " + this->directory + ": " + failure.message());
  }
  this->RemoveTemporaryFiles();
  this->ReadIdentity(id, new_incarnation);
  this->ReadSnapshot();
  this->ReadLog();
  const bool log_is_superseded = this->DropEntriesSupersededBySnapshot();
  this->stored.hard_state = this->last_hard_state;
  // New entries must follow those that are kept in the file as well.
  if (log_is_superseded)
    this->RewriteLog(this->stored.entries);
  else
    this->OpenLog();
}

ReplicaStore::~ReplicaStore() {
  if (this->log_fd >= 0)
    close(this->log_fd);
}

void ReplicaStore::Store(const ReplicaOutput& output,
                         const LogEntries& retained) {
  if (output.hard_state)
    this->last_hard_state = *output.hard_state;
  if (output.snapshot) {
    ReplaceFile(this->directory, this->PathOf(kSnapshotFile),
                EncodePayload(output.snapshot->SerializeAsString()));
    this->RewriteLog(retained);
    return;
  }
  if (output.hard_state || !output.append.empty())
    this->AppendAndSync(EncodeRecord(RecordOf(output)));
}

// They were left by a process that ended while it replaced a file.
void ReplicaStore::RemoveTemporaryFiles() {
  for (const std::string_view name : {kIdentityFile, kSnapshotFile, kLogFile}) {
    const std::string path = this->PathOf(name) + std::string(kTemporarySuffix);
    std::error_code failure;
    fs::remove(path, failure);
    if (failure) {
      throw Error(ResultCode::kDiskFailed,
                  "remove " + path + ": " + failure.message());
    }
  }
}

void ReplicaStore::ReadIdentity(const std::string& id,
                                std::uint64_t new_incarnation) {
  const std::string path = this->PathOf(kIdentityFile);
  const std::string log_path = this->PathOf(kLogFile);
  const bool has_identity = fs::exists(path);
  const bool has_log = fs::exists(log_path);
  // The log file is created before the identity file. If only one of them
  // exists, the disk has lost data that was already synced.
  if (has_identity && !has_log)
    throw Error(ResultCode::kDamagedLog, log_path + " is missing");
  if (!has_identity && has_log && fs::file_size(log_path) > 0)
    throw Error(ResultCode::kDamagedLog, path + " is missing");
  if (!has_identity) {
    ReplaceFile(this->directory, log_path, "");
    const nlohmann::json identity{{"id", id}, {"incarnation", new_incarnation}};
    ReplaceFile(this->directory, path, identity.dump() + "\n");
  }
  const nlohmann::json identity = ParseJson(ReadFile(path));
  this->identity.id = identity.value("id", "");
  this->identity.incarnation = identity.value("incarnation", std::uint64_t{0});
  if (this->identity.id != id) {
    throw Error(ResultCode::kForeignDisk,
                this->directory + " belongs to " + this->identity.id);
  }
}

void ReplicaStore::ReadSnapshot() {
  const std::string path = this->PathOf(kSnapshotFile);
  if (!fs::exists(path))
    return;
  RecordReader reader(path);
  const auto payload = reader.Next();
  wire::Snapshot snapshot;
  if (!payload || !snapshot.ParseFromString(*payload))
    throw Error(ResultCode::kDamagedLog, path);
  this->stored.snapshot = std::move(snapshot);
}

void ReplicaStore::ReadLog() {
  const std::string path = this->PathOf(kLogFile);
  if (!fs::exists(path))
    return;
  RecordReader reader(path);
  while (const auto payload = reader.Next()) {
    wire::StoredRecord record;
    if (!record.ParseFromString(*payload)) {
      throw Error(ResultCode::kDamagedLog,
                  path + " before byte " + std::to_string(reader.offset()));
    }
    this->ApplyRecord(std::move(record));
  }
  if (reader.remaining() == 0)
    return;
  // An interrupted write leaves no valid record after it. Valid records after a
  // damaged one mean that acknowledged records are lost.
  if (reader.HasValidRecordAfterOffset()) {
    throw Error(ResultCode::kDamagedLog,
                path + " at byte " + std::to_string(reader.offset()));
  }
  this->truncated_size = reader.remaining();
  fs::resize_file(path, reader.offset());
}

void ReplicaStore::ApplyRecord(wire::StoredRecord record) {
  switch (record.body_case()) {
    case wire::StoredRecord::kHardState:
      this->last_hard_state = record.hard_state();
      return;
    case wire::StoredRecord::kEntry:
      this->ApplyEntry(std::move(*record.mutable_entry()));
      return;
    case wire::StoredRecord::kBatch:
      if (record.batch().has_hard_state())
        this->last_hard_state = record.batch().hard_state();
      for (wire::LogEntry& entry : *record.mutable_batch()->mutable_entries())
        this->ApplyEntry(std::move(entry));
      return;
    case wire::StoredRecord::BODY_NOT_SET:
      throw Error(ResultCode::kDamagedLog, "a record of an unknown kind");
  }
}

void ReplicaStore::ApplyEntry(wire::LogEntry entry) {
  LogEntries& entries = this->stored.entries;
  while (!entries.empty() && entries.back().index() >= entry.index())
    entries.pop_back();
  const bool has_gap =
      !entries.empty() && entries.back().index() + 1 != entry.index();
  // Earlier versions appended to a log that ended before the snapshot.
  const bool snapshot_covers_gap =
      this->stored.snapshot &&
      this->stored.snapshot->index() + 1 == entry.index();
  if (has_gap && !snapshot_covers_gap)
    throw Error(ResultCode::kDamagedLog,
                "log entry indexes are not consecutive");
  if (has_gap)
    entries.clear();
  entries.push_back(std::move(entry));
}

// The snapshot is replaced before the log is rewritten. After a crash between
// the two steps, entries after the snapshot are valid only if the log begins
// right after the snapshot or has the same term at the snapshot's index.
bool ReplicaStore::DropEntriesSupersededBySnapshot() {
  if (!this->stored.snapshot)
    return false;
  const wire::Snapshot& snapshot = *this->stored.snapshot;
  LogEntries& entries = this->stored.entries;
  bool log_matches =
      !entries.empty() && entries.front().index() == snapshot.index() + 1;
  std::size_t superseded = 0;
  for (const wire::LogEntry& entry : entries) {
    if (entry.index() > snapshot.index())
      break;
    superseded += 1;
    if (entry.index() == snapshot.index())
      log_matches = entry.term() == snapshot.term();
  }
  if (!log_matches)
    superseded = entries.size();
  entries.erase(entries.begin(),
                entries.begin() + static_cast<std::ptrdiff_t>(superseded));
  return superseded > 0;
}

void ReplicaStore::OpenLog() {
  const std::string path = this->PathOf(kLogFile);
  this->log_fd =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (this->log_fd < 0)
    ThrowDiskError("open " + path);
  if (fsync(this->log_fd) != 0)
    ThrowDiskError("sync " + path);
  SyncDirectory(this->directory);
}

void ReplicaStore::RewriteLog(const LogEntries& retained) {
  const auto write_records = [this, &retained](int fd) {
    std::string bytes = EncodeRecord(HardStateRecord(this->last_hard_state));
    for (const wire::LogEntry& entry : retained) {
      bytes += EncodeRecord(EntryRecord(entry));
      if (bytes.size() < kWriteBufferBytes)
        continue;
      WriteAll(fd, bytes);
      bytes.clear();
    }
    WriteAll(fd, bytes);
  };
  if (this->log_fd >= 0)
    close(std::exchange(this->log_fd, -1));
  ReplaceFile(this->directory, this->PathOf(kLogFile), write_records);
  this->OpenLog();
}

void ReplicaStore::AppendAndSync(const std::string& bytes) {
  WriteAll(this->log_fd, bytes);
  if (fdatasync(this->log_fd) != 0)
    ThrowDiskError("sync the log");
}

std::string ReplicaStore::PathOf(std::string_view name) const {
  return this->directory + "/" + std::string(name);
}

}  // namespace savoryring
