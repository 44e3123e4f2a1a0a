#include "libtransport/leader_contact.h"

#include <utility>

namespace savoryring {
namespace {

// Covers several round trips between availability zones and a disk sync of the
// leader.
constexpr Milliseconds kAnswerTimeout{400};

}  // namespace

LeaderContact::LeaderContact(std::vector<std::string> links)
    : finder(std::move(links)) {}

void LeaderContact::OnSent(TimePoint now) {
  if (this->answer_deadline == kNever)
    this->answer_deadline = now + kAnswerTimeout;
}

bool LeaderContact::OnAnswer(const std::string& from) {
  if (from == this->link())
    this->answer_deadline = kNever;
  return !std::exchange(this->leader_responding, true);
}

void LeaderContact::OnNotLeader(const std::string& from,
                                const std::string& hint) {
  this->leader_responding = false;
  if (from == this->link())
    this->answer_deadline = kNever;
  const bool hint_names_other = !hint.empty() && hint != from;
  if (hint_names_other)
    this->finder.OnHint(hint);
  else if (from == this->link())
    this->finder.SelectNext();
}

std::string LeaderContact::TakeUnresponsive(TimePoint now) {
  if (now < this->answer_deadline)
    return "";
  const std::string unresponsive = this->link();
  this->leader_responding = false;
  this->answer_deadline = kNever;
  this->finder.SelectNext();
  return unresponsive;
}

}  // namespace savoryring
