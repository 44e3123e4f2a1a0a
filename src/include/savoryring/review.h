/// Finds what is suspicious in a valid estate or settings file before it is
/// submitted: entries that can never take effect and limits that contradict
/// each other. Errors that make a file invalid are reported by the parsers.
#ifndef SAVORYRING_REVIEW_H_
#define SAVORYRING_REVIEW_H_

#include <string>
#include <vector>

#include "savoryring/estate.h"
#include "savoryring/settings.h"

namespace savoryring {

enum class ReviewFindingKind {
  kNeverMatches,   ///< The entry can't take effect.
  kContradiction,  ///< Two limits can't hold together, or one can't be met.
};

struct ReviewFinding {
  ReviewFindingKind kind = ReviewFindingKind::kNeverMatches;
  std::string item;  ///< For example "queue temper-runs" or "timing".
  std::string detail;

  bool operator==(const ReviewFinding& other) const = default;
};

/// "never-matches" or "contradiction".
std::string NameOf(ReviewFindingKind kind);

std::vector<ReviewFinding> ReviewEstate(const Estate& estate);
std::vector<ReviewFinding> ReviewSettings(const Settings& settings);

}  // namespace savoryring

#endif  // SAVORYRING_REVIEW_H_
