#include "libtransport/peer_liveness.h"

namespace savoryring {

void PeerLiveness::OnSent(const std::string& address, TimePoint now) {
  this->answer_deadlines.try_emplace(address, now + this->answer_timeout);
}

void PeerLiveness::OnAnswer(const std::string& address) {
  this->answer_deadlines.erase(address);
}

std::vector<std::string> PeerLiveness::TakeUnresponsive(TimePoint now) {
  std::vector<std::string> unresponsive;
  for (const auto& [address, deadline] : this->answer_deadlines) {
    if (now >= deadline)
      unresponsive.push_back(address);
  }
  for (const std::string& address : unresponsive)
    this->answer_deadlines.erase(address);
  return unresponsive;
}

}  // namespace savoryring
