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
  bool Spend() {
    if (this->retries < 1)
      return false;
    this->retries -= 1;
    return true;
  }

 private:
  static constexpr double kShare = 0.15;
  static constexpr double kMostRetries = 20;

  double retries = kMostRetries;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBROUTING_RETRY_BUDGET_H_
