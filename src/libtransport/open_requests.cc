#include "libtransport/open_requests.h"

namespace savoryring {

void OpenRequests::Open(const void* key,
                        const std::string& target,
                        TimePoint now) {
  const std::lock_guard lock(this->mutex);
  this->requests[key] = {.target = target, .opened = now};
}

void OpenRequests::SetDeadline(const void* key, TimePoint deadline) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->requests.find(key);
  if (found != this->requests.end())
    found->second.deadline = deadline;
}

void OpenRequests::Close(const void* key) {
  const std::lock_guard lock(this->mutex);
  this->requests.erase(key);
  this->closed.notify_all();
}

bool OpenRequests::IsEmpty() const {
  const std::lock_guard lock(this->mutex);
  return this->requests.empty();
}

void OpenRequests::WaitUntilEmpty(TimePoint deadline) {
  std::unique_lock lock(this->mutex);
  this->closed.wait_for(lock, RemainingTime(BootClock::now(), deadline),
                        [this] { return this->requests.empty(); });
}

std::vector<OpenHttpRequest> OpenRequests::List() const {
  const std::lock_guard lock(this->mutex);
  std::vector<OpenHttpRequest> list;
  list.reserve(this->requests.size());
  for (const auto& [key, request] : this->requests)
    list.push_back(request);
  return list;
}

}  // namespace savoryring
