#include "libtransport/leader_finder.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// Links kept; replicas come and go over a long life.
constexpr std::size_t kMostLinks = 16;

}  // namespace

LeaderFinder::LeaderFinder(std::vector<std::string> links)
    : links(std::move(links)) {}

void LeaderFinder::OnHint(const std::string& link) {
  if (link.empty())
    return;
  this->Add({link});
  const auto found = std::ranges::find(this->links, link);
  this->position =
      static_cast<std::size_t>(std::distance(this->links.begin(), found));
}

void LeaderFinder::Rotate() {
  this->position = (this->position + 1) % this->links.size();
}

void LeaderFinder::Add(const std::vector<std::string>& added) {
  for (const std::string& link : added) {
    if (std::ranges::find(this->links, link) != this->links.end())
      continue;
    if (this->links.size() >= kMostLinks) {
      this->links.erase(this->links.begin());
      this->position = this->position == 0 ? 0 : this->position - 1;
    }
    this->links.push_back(link);
  }
}

}  // namespace savoryring
