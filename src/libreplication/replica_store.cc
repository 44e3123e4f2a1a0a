#include "libreplication/replica_store.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
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
// remains.
void ReplaceFile(const std::string& directory,
                 const std::string& path,
                 std::string_view bytes) {
  const std::string temporary = path + std::string(kTemporarySuffix);
  {
    const File file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    WriteAll(file.get(), bytes);
    if (fsync(file.get()) != 0)
      ThrowDiskError("sync " + temporary);
  }
  if (rename(temporary.c_str(), path.c_str()) != 0)
    ThrowDiskError("rename " + temporary);
  SyncDirectory(directory);
}

std::string EncodePayload(const std::string& payload) {
  const RecordHeader header{
      .magic = kRecordMagic,
      .length = static_cast<std::uint32_t>(payload.size()),
      .checksum = Checksum(payload)};
  std::string bytes(reinterpret_cast<const char*>(&header), sizeof(header));
  return bytes + payload;
}

// Returns the payload of the record at the start of `bytes`, or nothing if the
// record is incomplete or damaged.
std::optional<std::string_view> DecodePayload(std::string_view bytes) {
  RecordHeader header;
  if (bytes.size() < sizeof(header))
    return std::nullopt;
  std::memcpy(&header, bytes.data(), sizeof(header));
  bytes.remove_prefix(sizeof(header));
  if (header.magic != kRecordMagic || header.length > bytes.size())
    return std::nullopt;
  const std::string_view payload = bytes.substr(0, header.length);
  if (Checksum(payload) != header.checksum)
    return std::nullopt;
  return payload;
}

bool ContainsValidRecord(std::string_view bytes) {
  const std::string_view magic(reinterpret_cast<const char*>(&kRecordMagic),
                               sizeof(kRecordMagic));
  for (std::size_t at = bytes.find(magic); at != std::string_view::npos;
       at = bytes.find(magic, at + 1)) {
    if (DecodePayload(bytes.substr(at)))
      return true;
  }
  return false;
}

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
  this->ReadIdentity(id, new_incarnation);
  this->ReadSnapshot();
  this->ReadLog();
  this->DropEntriesSupersededBySnapshot();
  this->stored.hard_state = this->last_hard_state;
  this->OpenLog();
}

ReplicaStore::~ReplicaStore() {
  if (this->log_fd >= 0)
    close(this->log_fd);
}

void ReplicaStore::Store(const ReplicaOutput& output,
                         const std::vector<wire::LogEntry>& retained) {
  if (output.hard_state)
    this->last_hard_state = *output.hard_state;
  if (output.snapshot) {
    ReplaceFile(this->directory, this->PathOf(kSnapshotFile),
                EncodePayload(output.snapshot->SerializeAsString()));
    this->RewriteLog(retained);
    return;
  }
  std::string bytes;
  if (output.hard_state)
    bytes += EncodeRecord(HardStateRecord(*output.hard_state));
  for (const wire::LogEntry& entry : output.append)
    bytes += EncodeRecord(EntryRecord(entry));
  if (!bytes.empty())
    this->AppendAndSync(bytes);
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
  const std::string bytes = ReadFile(path);
  const auto payload = DecodePayload(bytes);
  wire::Snapshot snapshot;
  const bool whole =
      payload && snapshot.ParseFromArray(payload->data(),
                                         static_cast<int>(payload->size()));
  if (!whole)
    throw Error(ResultCode::kDamagedLog, path);
  this->stored.snapshot = std::move(snapshot);
}

void ReplicaStore::ReadLog() {
  const std::string path = this->PathOf(kLogFile);
  if (!fs::exists(path))
    return;
  const std::string bytes = ReadFile(path);
  std::string_view rest = bytes;
  while (!rest.empty()) {
    const auto payload = DecodePayload(rest);
    wire::StoredRecord record;
    const bool whole =
        payload && record.ParseFromArray(payload->data(),
                                         static_cast<int>(payload->size()));
    if (!whole)
      break;
    this->ApplyRecord(record);
    rest.remove_prefix(sizeof(RecordHeader) + payload->size());
  }
  if (rest.empty())
    return;
  // An interrupted write leaves no valid record after it. Valid records after a
  // damaged one mean that acknowledged records are lost.
  if (ContainsValidRecord(rest.substr(1))) {
    throw Error(
        ResultCode::kDamagedLog,
        path + " at byte " + std::to_string(bytes.size() - rest.size()));
  }
  this->truncated_size = rest.size();
  fs::resize_file(path, bytes.size() - rest.size());
}

void ReplicaStore::ApplyRecord(const wire::StoredRecord& record) {
  if (record.has_hard_state()) {
    this->last_hard_state = record.hard_state();
    return;
  }
  std::vector<wire::LogEntry>& entries = this->stored.entries;
  const wire::LogEntry& entry = record.entry();
  while (!entries.empty() && entries.back().index() >= entry.index())
    entries.pop_back();
  if (!entries.empty() && entries.back().index() + 1 != entry.index())
    throw Error(ResultCode::kDamagedLog,
                "log entry indexes are not consecutive");
  entries.push_back(entry);
}

// The snapshot is replaced before the log is rewritten. After a crash between
// the two steps, entries after the snapshot are valid only if the log begins
// right after the snapshot or has the same term at the snapshot's index.
void ReplicaStore::DropEntriesSupersededBySnapshot() {
  if (!this->stored.snapshot)
    return;
  const wire::Snapshot& snapshot = *this->stored.snapshot;
  std::vector<wire::LogEntry>& entries = this->stored.entries;
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

void ReplicaStore::RewriteLog(const std::vector<wire::LogEntry>& retained) {
  std::string bytes = EncodeRecord(HardStateRecord(this->last_hard_state));
  for (const wire::LogEntry& entry : retained)
    bytes += EncodeRecord(EntryRecord(entry));
  close(std::exchange(this->log_fd, -1));
  ReplaceFile(this->directory, this->PathOf(kLogFile), bytes);
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
