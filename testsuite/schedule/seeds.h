/// Runs schedules with many seeds. To run a single failing seed:
///   SAVORYRING_SEED=N build/bin/schedule_test -g GROUP -n NAME
#ifndef SAVORYRING_TESTSUITE_SCHEDULE_SEEDS_H_
#define SAVORYRING_TESTSUITE_SCHEDULE_SEEDS_H_

#include <cstdint>
#include <functional>
#include <string>

namespace savoryring {

/// Runs one schedule; throws if a guarantee is violated.
using SeededRun = std::function<void(std::uint64_t seed)>;

/// Returns the first violation with its seed, for the seeds from 1 to `count`
/// or for the one in SAVORYRING_SEED; empty if there is none.
std::string FirstViolation(std::uint64_t count, const SeededRun& run);

/// Whether one of the first seeds finds a violation whose text begins with
/// `expected`. Seeds that find another violation first are skipped.
bool FindsViolation(const std::string& expected, const SeededRun& run);

}  // namespace savoryring

#endif  // SAVORYRING_TESTSUITE_SCHEDULE_SEEDS_H_
