#include "testsuite/schedule/seeds.h"

#include <stdlib.h>

#include <exception>

namespace savoryring {
namespace {

// Number of seeds within which a disabled mechanism must be detected.
constexpr std::uint64_t kMaxSeeds = 120;

}  // namespace

std::string FirstViolation(std::uint64_t count, const SeededRun& run) {
  const char* requested_seed = getenv("SAVORYRING_SEED");
  std::uint64_t first = 1;
  if (requested_seed != nullptr)
    first = count = std::stoull(requested_seed);
  for (std::uint64_t seed = first; seed <= count; ++seed) {
    try {
      run(seed);
    } catch (const std::exception& failure) {
      return "seed " + std::to_string(seed) + ": " + failure.what();
    }
  }
  return "";
}

bool FindsViolation(const std::string& expected, const SeededRun& run) {
  for (std::uint64_t seed = 1; seed <= kMaxSeeds; ++seed) {
    try {
      run(seed);
    } catch (const std::exception& failure) {
      // Not only a Violation: a core that detects an inconsistency of its own
      // state throws as well.
      if (std::string(failure.what()).starts_with(expected))
        return true;
    }
  }
  return false;
}

}  // namespace savoryring
