#include "libtransport/leader_finder.h"

#include <algorithm>
#include <utility>

namespace savoryring {
namespace {

// Limits the list, as replicas are replaced while a process runs for long.
constexpr std::size_t kMaxLinks = 16;

}  // namespace

LeaderFinder::LeaderFinder(std::vector<std::string> links)
    : links(std::move(links)) {}

void LeaderFinder::OnHint(const std::string& link) {
  if (link.empty())
    return;
  this->Add({link});
  const auto found = std::ranges::find(this->links, link);
  this->current_index =
      static_cast<std::size_t>(std::distance(this->links.begin(), found));
}

void LeaderFinder::SelectNext() {
  this->current_index = (this->current_index + 1) % this->links.size();
}

void LeaderFinder::Add(const std::vector<std::string>& added) {
  for (const std::string& link : added) {
    if (std::ranges::find(this->links, link) != this->links.end())
      continue;
    if (this->links.size() >= kMaxLinks) {
      this->links.erase(this->links.begin());
      this->current_index =
          this->current_index == 0 ? 0 : this->current_index - 1;
    }
    this->links.push_back(link);
  }
}

}  // namespace savoryring
