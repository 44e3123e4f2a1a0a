/// Limit on retries and hedges as a share of recent requests.
#ifndef SAVORYRING_LIBROUTING_RETRY_BUDGET_H_
#define SAVORYRING_LIBROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace savoryring {

/// Every request earns a part of a retry; unused retries are kept up to a
/// limit, so that a quiet entry can still repeat a few.
class RetryBudget {
 public:
  void OnRequest() {
    this->retries = std::min(this->retries + kShare, kMostRetries);
  }
  /// Takes one retry; false where none is left.
  bool Spend() { return this->SpendAbove(0); }
  /// Takes one for a hedge; false where only those kept for retries are left.
  bool SpendForHedge() { return this->SpendAbove(kKeptForRetries); }

 private:
  static constexpr double kShare = 0.15;
  static constexpr double kMostRetries = 40;
  static constexpr double kKeptForRetries = 20;

  bool SpendAbove(double rest) {
    if (this->retries < rest + 1)
      return false;
    this->retries -= 1;
    return true;
  }

  double retries = kMostRetries;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBROUTING_RETRY_BUDGET_H_
