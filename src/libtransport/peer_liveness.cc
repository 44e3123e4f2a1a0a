#include "libtransport/peer_liveness.h"

namespace savoryring {

void PeerLiveness::OnSent(const std::string& address, TimePoint now) {
  this->answer_deadlines.try_emplace(address, now + this->patience);
}

void PeerLiveness::OnHeard(const std::string& address) {
  this->answer_deadlines.erase(address);
}

std::vector<std::string> PeerLiveness::TakeSilent(TimePoint now) {
  std::vector<std::string> silent;
  for (const auto& [address, deadline] : this->answer_deadlines) {
    if (now >= deadline)
      silent.push_back(address);
  }
  for (const std::string& address : silent)
    this->answer_deadlines.erase(address);
  return silent;
}

}  // namespace savoryring
