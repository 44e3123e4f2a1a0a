/// Limits retries and hedges to a fraction of the recent requests.
#ifndef SAVORYRING_LIBROUTING_RETRY_BUDGET_H_
#define SAVORYRING_LIBROUTING_RETRY_BUDGET_H_

#include <algorithm>

namespace savoryring {

/// Token bucket: every request adds a fraction of a retry. Unused retries
/// accumulate up to a limit, so that an entry with few requests can retry too.
class RetryBudget {
 public:
  void OnRequest() {
    this->available_retries =
        std::min(this->available_retries + kRetriesPerRequest, kMaxRetries);
  }
  /// Takes one retry. Returns false if none is left.
  bool Spend() { return this->SpendAbove(0); }
  /// Takes one retry for a hedge. Returns false if only those that are reserved
  /// for retries are left.
  bool SpendForHedge() { return this->SpendAbove(kReservedForRetries); }

 private:
  static constexpr double kRetriesPerRequest = 0.15;
  static constexpr double kMaxRetries = 40;
  static constexpr double kReservedForRetries = 20;

  bool SpendAbove(double reserve) {
    if (this->available_retries < reserve + 1)
      return false;
    this->available_retries -= 1;
    return true;
  }

  double available_retries = kMaxRetries;
};

}  // namespace savoryring

#endif  // SAVORYRING_LIBROUTING_RETRY_BUDGET_H_
