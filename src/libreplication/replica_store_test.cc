#include "libreplication/replica_store.h"

#include <CppUTest/TestHarness.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "savoryring/result.h"
#include "savoryring/settings.h"

namespace savoryring {
namespace {

namespace fs = std::filesystem;

wire::LogEntry Entry(std::uint64_t index,
                     std::uint64_t term,
                     const std::string& command) {
  wire::LogEntry entry;
  entry.set_index(index);
  entry.set_term(term);
  entry.set_command(command);
  return entry;
}

// Limits how much the address space of this process may grow.
class AddressSpaceLimit {
 public:
  explicit AddressSpaceLimit(std::size_t growth) {
    getrlimit(RLIMIT_AS, &this->previous);
    std::size_t pages = 0;
    std::ifstream("/proc/self/statm") >> pages;
    const std::size_t size =
        pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    rlimit limited = this->previous;
    limited.rlim_cur = size + growth;
    setrlimit(RLIMIT_AS, &limited);
  }
  ~AddressSpaceLimit() { setrlimit(RLIMIT_AS, &this->previous); }
  AddressSpaceLimit(const AddressSpaceLimit&) = delete;
  AddressSpaceLimit& operator=(const AddressSpaceLimit&) = delete;

 private:
  rlimit previous{};
};

}  // namespace

TEST_GROUP(ReplicaStore) {
  std::string directory;

  void setup() override {
    char name[] = "/tmp/savoryring-store.XXXXXX";
    this->directory = mkdtemp(name);
  }
  void teardown() override {
    fs::remove_all(this->directory);
  }

  StoredReplica Reopen() {
    return ReplicaStore(this->directory, "a", 99).TakeStored();
  }
  std::string LogPath() const {
    return this->directory + "/log";
  }

  static void StoreEntry(ReplicaStore & store, const wire::LogEntry& entry) {
    ReplicaOutput output;
    output.append = {entry};
    store.Store(output, {});
  }
  // Leaves the files of a process that is killed after it has replaced the
  // snapshot and before it has rewritten the log.
  void StoreSnapshotButNotLog(std::uint64_t index, std::uint64_t term) {
    const std::string old_log = ReadFile(this->LogPath());
    {
      ReplicaStore store(this->directory, "a", 99);
      ReplicaOutput output;
      wire::Snapshot& snapshot = output.snapshot.emplace();
      snapshot.set_index(index);
      snapshot.set_term(term);
      store.Store(output, {});
    }
    std::ofstream(this->LogPath(), std::ios::binary) << old_log;
  }

  // Each of them is synced before the next one is written.
  void WriteThreeEntries() {
    ReplicaStore store(this->directory, "a", 7);
    ReplicaOutput output;
    output.hard_state.emplace().set_term(4);
    store.Store(output, {});
    StoreEntry(store, Entry(1, 1, "one"));
    StoreEntry(store, Entry(2, 1, "two"));
    StoreEntry(store, Entry(3, 4, "three"));
  }
};

TEST(ReplicaStore, KeepsIdentityStateAndEntries) {
  this->WriteThreeEntries();
  ReplicaStore store(this->directory, "a", 99);
  CHECK_EQUAL(7, store.self().incarnation);
  const StoredReplica stored = store.TakeStored();
  CHECK_EQUAL(4, stored.hard_state.term());
  CHECK_EQUAL(3, stored.entries.size());
  STRCMP_EQUAL("three", stored.entries[2].command().c_str());
}

TEST(ReplicaStore, EntryReplacesStoredEntriesFromItsIndex) {
  this->WriteThreeEntries();
  {
    ReplicaStore store(this->directory, "a", 99);
    ReplicaOutput output;
    output.append = {Entry(2, 5, "other")};
    store.Store(output, {});
  }
  const StoredReplica stored = this->Reopen();
  CHECK_EQUAL(2, stored.entries.size());
  STRCMP_EQUAL("other", stored.entries[1].command().c_str());
}

// Guards against a replica that never starts as reading its log takes several
// times the log's size in memory.
TEST(ReplicaStore, ALongLogIsReadWithoutCopiesOfIt) {
  constexpr std::uint64_t kEntries = 64;
  constexpr std::size_t kEntryBytes = 1U << 20U;
  {
    ReplicaStore store(this->directory, "a", 7);
    for (std::uint64_t index = 1; index <= kEntries; ++index) {
      ReplicaOutput output;
      output.append = {Entry(index, 1, std::string(kEntryBytes, 'x'))};
      store.Store(output, {});
    }
  }
  const AddressSpaceLimit limit(kEntries * kEntryBytes * 3 / 2);
  try {
    ReplicaStore store(this->directory, "a", 7);
    const Replica replica({.self = store.self()}, store.TakeStored(),
                          TimePoint());
    LONGS_EQUAL(kEntries, replica.last_index());
  } catch (const std::bad_alloc&) {
    FAIL("reading the log takes more than 1.5 times its size");
  }
}

TEST(ReplicaStore, TruncatesIncompleteLastRecordOfAnyLength) {
  this->WriteThreeEntries();
  const std::string whole = ReadFile(this->LogPath());
  wire::StoredRecord last;
  *last.mutable_entry() = Entry(3, 4, "three");
  const std::size_t start = whole.size() - EncodeRecord(last).size();
  for (std::size_t size = start; size < whole.size(); ++size) {
    fs::resize_file(this->LogPath(), size);
    CHECK_EQUAL(2, this->Reopen().entries.size());
    std::ofstream(this->LogPath(), std::ios::binary) << whole;
  }
}

TEST(ReplicaStore, RejectsDamagedRecordBeforeValidOnes) {
  this->WriteThreeEntries();
  std::string bytes = ReadFile(this->LogPath());
  bytes[bytes.size() / 2] ^= 1;
  std::ofstream(this->LogPath(), std::ios::binary) << bytes;
  try {
    this->Reopen();
    FAIL("the damaged record was not detected");
  } catch (const Error& failure) {
    CHECK(failure.code() == ResultCode::kDamagedLog);
  }
}

TEST(ReplicaStore, RejectsDirectoryWithoutLog) {
  this->WriteThreeEntries();
  fs::remove(this->LogPath());
  CHECK_THROWS(Error, this->Reopen());
}

TEST(ReplicaStore, RejectsDirectoryOfAnotherReplica) {
  this->WriteThreeEntries();
  CHECK_THROWS(Error, ReplicaStore(this->directory, "b", 99));
}

TEST(ReplicaStore, SnapshotReplacesEarlierLogEntries) {
  this->WriteThreeEntries();
  {
    ReplicaStore store(this->directory, "a", 99);
    ReplicaOutput output;
    wire::Snapshot snapshot;
    snapshot.set_index(2);
    snapshot.set_term(1);
    snapshot.set_state("state");
    output.snapshot = snapshot;
    store.Store(output, {Entry(3, 4, "three")});
  }
  const StoredReplica stored = this->Reopen();
  CHECK_EQUAL(2, stored.snapshot->index());
  CHECK_EQUAL(4, stored.hard_state.term());
  CHECK_EQUAL(1, stored.entries.size());
}

// A crash between replacing the snapshot and rewriting the log leaves the old
// log beside the new snapshot.
TEST(ReplicaStore, DropsEntriesThatConflictWithSnapshot) {
  this->WriteThreeEntries();
  this->StoreSnapshotButNotLog(2, 3);
  CHECK_EQUAL(0, this->Reopen().entries.size());
}

// Guards against a replica that never starts again after a kill while it stored
// a snapshot of the leader: the log on its disk ended before the snapshot.
TEST(ReplicaStore, AKillBetweenSnapshotAndLogLeavesNoGapInTheLog) {
  this->WriteThreeEntries();
  this->StoreSnapshotButNotLog(10, 5);
  {
    ReplicaStore store(this->directory, "a", 99);
    CHECK_EQUAL(0, store.TakeStored().entries.size());
    this->StoreEntry(store, Entry(11, 5, "eleven"));
  }
  const StoredReplica stored = this->Reopen();
  CHECK_EQUAL(1, stored.entries.size());
  STRCMP_EQUAL("eleven", stored.entries[0].command().c_str());
  CHECK_EQUAL(4, stored.hard_state.term());
}

// Guards against acknowledged entries that are taken for those of the old log,
// which conflicted with the snapshot.
TEST(ReplicaStore, EntriesStoredAfterSuchAKillAreKept) {
  this->WriteThreeEntries();
  this->StoreSnapshotButNotLog(2, 3);
  {
    ReplicaStore store(this->directory, "a", 99);
    this->StoreEntry(store, Entry(3, 5, "acknowledged"));
  }
  const StoredReplica stored = this->Reopen();
  CHECK_EQUAL(1, stored.entries.size());
  STRCMP_EQUAL("acknowledged", stored.entries[0].command().c_str());
}

// Guards against a replica whose disk an earlier version left with such a gap.
TEST(ReplicaStore, AGapThatTheSnapshotCoversIsReadOver) {
  this->WriteThreeEntries();
  this->StoreSnapshotButNotLog(10, 5);
  wire::StoredRecord record;
  *record.mutable_entry() = Entry(11, 5, "eleven");
  std::ofstream(this->LogPath(), std::ios::binary | std::ios::app)
      << EncodeRecord(record);
  const StoredReplica stored = this->Reopen();
  CHECK_EQUAL(1, stored.entries.size());
  CHECK_EQUAL(11, stored.entries[0].index());
}

TEST(ReplicaStore, RejectsAGapThatNoSnapshotCovers) {
  this->WriteThreeEntries();
  this->StoreSnapshotButNotLog(2, 1);
  wire::StoredRecord record;
  *record.mutable_entry() = Entry(5, 5, "five");
  std::ofstream(this->LogPath(), std::ios::binary | std::ios::app)
      << EncodeRecord(record);
  CHECK_THROWS(Error, this->Reopen());
}

// Guards against files of an interrupted replacement that take up the disk.
TEST(ReplicaStore, TemporaryFilesAreRemovedAtTheStart) {
  this->WriteThreeEntries();
  for (const std::string name : {"/log.new", "/snapshot.new"})
    std::ofstream(this->directory + name) << "incomplete";
  CHECK_EQUAL(3, this->Reopen().entries.size());
  for (const std::string name : {"/log.new", "/snapshot.new"})
    CHECK(!fs::exists(this->directory + name));
}

// Guards against a replica that takes a write which a power loss has torn, and
// of which a later part reached the disk, for lost acknowledged entries.
TEST(ReplicaStore, AWriteThatIsTornInItsMiddleIsTruncated) {
  this->WriteThreeEntries();
  const std::string synced = ReadFile(this->LogPath());
  {
    ReplicaStore store(this->directory, "a", 99);
    ReplicaOutput output;
    output.hard_state.emplace().set_term(5);
    output.append = {Entry(4, 5, "four"), Entry(5, 5, "five"),
                     Entry(6, 5, "six")};
    store.Store(output, {});
  }
  const std::string written = ReadFile(this->LogPath());
  for (std::size_t hole = synced.size(); hole < written.size(); ++hole) {
    std::string bytes = written;
    for (std::size_t at = hole; at < hole + 8 && at < bytes.size(); ++at)
      bytes[at] = static_cast<char>(bytes[at] ^ 1);
    std::ofstream(this->LogPath(), std::ios::binary) << bytes;
    const StoredReplica stored = this->Reopen();
    CHECK_EQUAL(3, stored.entries.size());
    CHECK_EQUAL(4, stored.hard_state.term());
  }
  std::ofstream(this->LogPath(), std::ios::binary) << written;
  const StoredReplica stored = this->Reopen();
  CHECK_EQUAL(6, stored.entries.size());
  CHECK_EQUAL(5, stored.hard_state.term());
}

}  // namespace savoryring
