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

[[noreturn]] void ThrowDiskError(const std::string& what) {
  throw Error(ResultCode::kDiskFailed, what + ": " + std::strerror(errno));
}

// Closes a file descriptor at the end of a scope.
class File {
 public:
  File(const std::string& path, int flags)
      : descriptor(open(path.c_str(), flags | O_CLOEXEC, 0644)) {
    if (this->descriptor < 0)
      ThrowDiskError("open " + path);
  }
  ~File() { close(this->descriptor); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  int get() const { return this->descriptor; }

 private:
  int descriptor;
};

void WriteAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = write(descriptor, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR)
      continue;
    if (written < 0)
      ThrowDiskError("write");
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
}

void SyncFolder(const std::string& folder) {
  const File file(folder, O_RDONLY | O_DIRECTORY);
  if (fsync(file.get()) != 0)
    ThrowDiskError("sync " + folder);
}

// Replaces a file so that after a crash either the old or the new one stands.
void ReplaceFile(const std::string& folder,
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
  SyncFolder(folder);
}

std::string EncodePayload(const std::string& payload) {
  const RecordHeader header{
      .magic = kRecordMagic,
      .length = static_cast<std::uint32_t>(payload.size()),
      .checksum = Checksum(payload)};
  std::string bytes(reinterpret_cast<const char*>(&header), sizeof(header));
  return bytes + payload;
}

// The payload of the record at the start of `bytes`, where it is whole.
std::optional<std::string_view> WholePayload(std::string_view bytes) {
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

bool HoldsWholeRecord(std::string_view bytes) {
  const std::string_view magic(reinterpret_cast<const char*>(&kRecordMagic),
                               sizeof(kRecordMagic));
  for (std::size_t at = bytes.find(magic); at != std::string_view::npos;
       at = bytes.find(magic, at + 1)) {
    if (WholePayload(bytes.substr(at)))
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

ReplicaStore::ReplicaStore(std::string folder,
                           const std::string& id,
                           std::uint64_t fresh_incarnation)
    : folder(std::move(folder)) {
  std::error_code failure;
  fs::create_directories(this->folder, failure);
  if (failure) {
    throw Error(ResultCode::kDiskFailed,
                "create " + this->folder + ": " + failure.message());
  }
  this->ReadIdentity(id, fresh_incarnation);
  this->ReadSnapshot();
  this->ReadLog();
  this->DropEntriesBeforeSnapshot();
  this->stored.hard_state = this->last_hard_state;
  this->OpenLog();
}

ReplicaStore::~ReplicaStore() {
  if (this->log_descriptor >= 0)
    close(this->log_descriptor);
}

void ReplicaStore::Store(const ReplicaOutput& output,
                         const std::vector<wire::LogEntry>& retained) {
  if (output.hard_state)
    this->last_hard_state = *output.hard_state;
  if (output.snapshot) {
    ReplaceFile(this->folder, this->PathOf(kSnapshotFile),
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
                                std::uint64_t fresh_incarnation) {
  const std::string path = this->PathOf(kIdentityFile);
  const std::string log_path = this->PathOf(kLogFile);
  const bool has_identity = fs::exists(path);
  const bool has_log = fs::exists(log_path);
  // The log is made before the identity. One without the other is a disk that
  // lost part of what it had promised to keep.
  if (has_identity && !has_log)
    throw Error(ResultCode::kDamagedLog, log_path + " is missing");
  if (!has_identity && has_log && fs::file_size(log_path) > 0)
    throw Error(ResultCode::kDamagedLog, path + " is missing");
  if (!has_identity) {
    ReplaceFile(this->folder, log_path, "");
    const nlohmann::json identity{{"id", id},
                                  {"incarnation", fresh_incarnation}};
    ReplaceFile(this->folder, path, identity.dump() + "\n");
  }
  const nlohmann::json identity = ParseJson(ReadFile(path));
  this->identity.id = identity.value("id", "");
  this->identity.incarnation = identity.value("incarnation", std::uint64_t{0});
  if (this->identity.id != id) {
    throw Error(ResultCode::kForeignDisk,
                this->folder + " belongs to " + this->identity.id);
  }
}

void ReplicaStore::ReadSnapshot() {
  const std::string path = this->PathOf(kSnapshotFile);
  if (!fs::exists(path))
    return;
  const std::string bytes = ReadFile(path);
  const auto payload = WholePayload(bytes);
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
    const auto payload = WholePayload(rest);
    wire::StoredRecord record;
    const bool whole =
        payload && record.ParseFromArray(payload->data(),
                                         static_cast<int>(payload->size()));
    if (!whole)
      break;
    this->TakeRecord(record);
    rest.remove_prefix(sizeof(RecordHeader) + payload->size());
  }
  if (rest.empty())
    return;
  // A write that was cut short leaves nothing whole behind it. Whole records
  // after a damaged one mean that acknowledged records are gone.
  if (HoldsWholeRecord(rest.substr(1))) {
    throw Error(
        ResultCode::kDamagedLog,
        path + " at byte " + std::to_string(bytes.size() - rest.size()));
  }
  this->cut_size = rest.size();
  fs::resize_file(path, bytes.size() - rest.size());
}

void ReplicaStore::TakeRecord(const wire::StoredRecord& record) {
  if (record.has_hard_state()) {
    this->last_hard_state = record.hard_state();
    return;
  }
  std::vector<wire::LogEntry>& entries = this->stored.entries;
  const wire::LogEntry& entry = record.entry();
  while (!entries.empty() && entries.back().index() >= entry.index())
    entries.pop_back();
  if (!entries.empty() && entries.back().index() + 1 != entry.index())
    throw Error(ResultCode::kDamagedLog, "records are not consecutive");
  entries.push_back(entry);
}

// The snapshot is replaced before the log is rewritten. After a crash between
// the two, entries after the snapshot count only where the log agrees with it.
void ReplicaStore::DropEntriesBeforeSnapshot() {
  if (!this->stored.snapshot)
    return;
  const wire::Snapshot& snapshot = *this->stored.snapshot;
  std::vector<wire::LogEntry>& entries = this->stored.entries;
  bool agrees =
      !entries.empty() && entries.front().index() == snapshot.index() + 1;
  std::size_t covered = 0;
  for (const wire::LogEntry& entry : entries) {
    if (entry.index() > snapshot.index())
      break;
    covered += 1;
    if (entry.index() == snapshot.index())
      agrees = entry.term() == snapshot.term();
  }
  if (!agrees)
    covered = entries.size();
  entries.erase(entries.begin(),
                entries.begin() + static_cast<std::ptrdiff_t>(covered));
}

void ReplicaStore::OpenLog() {
  const std::string path = this->PathOf(kLogFile);
  this->log_descriptor =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (this->log_descriptor < 0)
    ThrowDiskError("open " + path);
  if (fsync(this->log_descriptor) != 0)
    ThrowDiskError("sync " + path);
  SyncFolder(this->folder);
}

void ReplicaStore::RewriteLog(const std::vector<wire::LogEntry>& retained) {
  std::string bytes = EncodeRecord(HardStateRecord(this->last_hard_state));
  for (const wire::LogEntry& entry : retained)
    bytes += EncodeRecord(EntryRecord(entry));
  close(std::exchange(this->log_descriptor, -1));
  ReplaceFile(this->folder, this->PathOf(kLogFile), bytes);
  this->OpenLog();
}

void ReplicaStore::AppendAndSync(const std::string& bytes) {
  WriteAll(this->log_descriptor, bytes);
  if (fdatasync(this->log_descriptor) != 0)
    ThrowDiskError("sync the log");
}

std::string ReplicaStore::PathOf(std::string_view name) const {
  return this->folder + "/" + std::string(name);
}

}  // namespace savoryring
