#include "libtransport/request_guard.h"

#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <variant>

namespace savoryring {
namespace {

// Time between two checks of the headers' deadlines, and between two log lines
// of one event.
constexpr Milliseconds kSweepInterval{500};
constexpr std::uint64_t kFirstReservationBytes = 1024;

struct GuardOfProcess {
  std::mutex mutex;
  LimitSettings limits;
  Metrics* metrics = nullptr;
  std::weak_ptr<RequestGuard> guard;
};

GuardOfProcess& ProcessState() {
  static GuardOfProcess state;
  return state;
}

// Doubles, so that a body is copied a few times only, but never reserves more
// than was announced or is allowed.
std::uint64_t ReservationFor(const ReceivedBody& body, std::uint64_t needed) {
  std::uint64_t reservation =
      std::max<std::uint64_t>(body.text.capacity(), kFirstReservationBytes);
  while (reservation < needed)
    reservation *= 2;
  const std::uint64_t most =
      body.announced_bytes > 0 ? body.announced_bytes : body.limit_bytes;
  return std::max(needed, std::min(reservation, most));
}

const char* CounterOf(Event event) {
  switch (event) {
    case Event::kBodyAborted:
      return "http_bodies_aborted";
    case Event::kConnectionEvicted:
      return "http_connections_evicted";
    case Event::kHeadersLate:
      return "http_headers_late";
    default:
      return "http_bodies_refused";
  }
}

}  // namespace

void RequestGuard::Configure(const LimitSettings& limits, Metrics* metrics) {
  GuardOfProcess& state = ProcessState();
  const std::lock_guard lock(state.mutex);
  state.limits = limits;
  state.metrics = metrics;
}

std::shared_ptr<RequestGuard> RequestGuard::OfProcess() {
  GuardOfProcess& state = ProcessState();
  const std::lock_guard lock(state.mutex);
  std::shared_ptr<RequestGuard> guard = state.guard.lock();
  if (!guard) {
    guard = std::make_shared<RequestGuard>(state.limits, state.metrics);
    state.guard = guard;
  }
  return guard;
}

RequestGuard::RequestGuard(const LimitSettings& limits, Metrics* metrics)
    : limit_settings(limits),
      metrics(metrics),
      budget(limits.body_memory_bytes),
      limiter({.connections = limits.connections,
               .idle = limits.idle,
               .receive = limits.receive}),
      sweeper([this] { this->RunSweeper(); }) {}

RequestGuard::~RequestGuard() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->stop_requested.notify_all();
  this->sweeper.join();
  this->LogIncidents();
}

bool RequestGuard::Admit(const std::string& listener) {
  const std::lock_guard lock(this->mutex);
  std::optional<ConnectionId> evicted;
  const bool admitted = this->limiter.Admit(evicted);
  if (evicted)
    this->CloseLocked(*evicted);
  if (evicted || !admitted)
    this->ReportLocked(Event::kConnectionEvicted, listener);
  return admitted;
}

ConnectionId RequestGuard::OnOpened(int socket) {
  const std::lock_guard lock(this->mutex);
  const ConnectionId id = ++this->last_id;
  this->sockets[id] = socket;
  this->limiter.OnOpened(id, BootClock::now());
  return id;
}

void RequestGuard::OnRequestLine(ConnectionId id) {
  const std::lock_guard lock(this->mutex);
  this->limiter.OnRequestLine(id, BootClock::now());
}

void RequestGuard::OnHeaders(ConnectionId id) {
  const std::lock_guard lock(this->mutex);
  this->limiter.OnProgress(id, BootClock::now());
}

void RequestGuard::OnAnswered(ConnectionId id) {
  const std::lock_guard lock(this->mutex);
  this->limiter.OnAnswered(id, BootClock::now());
}

void RequestGuard::OnClosed(ConnectionId id) {
  const std::lock_guard lock(this->mutex);
  this->limiter.OnClosed(id);
  this->sockets.erase(id);
}

void RequestGuard::Open(ReceivedBody& body, ConnectionId connection) {
  const std::lock_guard lock(this->mutex);
  body.id = ++this->last_id;
  body.connection = connection;
  this->bodies[body.id] = &body;
}

BodyOutcome RequestGuard::Append(ReceivedBody& body, std::string_view bytes) {
  const std::lock_guard lock(this->mutex);
  if (body.aborted)
    return BodyOutcome::kAborted;
  const std::uint64_t received = body.text.size() + bytes.size();
  if (received > body.limit_bytes)
    return BodyOutcome::kTooLarge;
  const std::uint64_t reservation = ReservationFor(body, received);
  const TimePoint now = BootClock::now();
  const BodyDecision decision =
      this->budget.OnReceived(body.id, received, reservation, now);
  const auto* admitted = std::get_if<BodyAdmitted>(&decision);
  if (admitted == nullptr)
    return BodyOutcome::kNoMemory;
  for (const BodyId id : admitted->aborted) {
    ReceivedBody& other = *this->bodies.at(id);
    other.aborted = true;
    std::string().swap(other.text);
    this->CloseLocked(other.connection);
    this->ReportLocked(Event::kBodyAborted, "");
  }
  if (reservation > body.text.capacity()) {
    // Reserving in an empty string allocates no more than asked for.
    std::string grown;
    grown.reserve(reservation);
    grown.append(body.text);
    body.text.swap(grown);
  }
  body.text.append(bytes);
  this->limiter.OnProgress(body.connection, this->budget.ProgressOf(body.id));
  return BodyOutcome::kStored;
}

BodyOutcome RequestGuard::Complete(ReceivedBody& body) {
  const std::lock_guard lock(this->mutex);
  if (body.aborted)
    return BodyOutcome::kAborted;
  if (!this->budget.OnComplete(body.id))
    return BodyOutcome::kNoMemory;
  this->limiter.OnRequestComplete(body.connection);
  return BodyOutcome::kStored;
}

bool RequestGuard::HoldResponse(const ReceivedBody& body, std::uint64_t bytes) {
  const std::lock_guard lock(this->mutex);
  return this->budget.OnResponse(body.id, bytes);
}

void RequestGuard::Release(ReceivedBody& body) {
  const std::lock_guard lock(this->mutex);
  std::string().swap(body.text);
  this->budget.Release(body.id);
  this->bodies.erase(body.id);
}

void RequestGuard::ReportRefusal(BodyOutcome outcome,
                                 const std::string& listener) {
  if (outcome != BodyOutcome::kTooLarge && outcome != BodyOutcome::kNoMemory)
    return;
  const std::lock_guard lock(this->mutex);
  this->ReportLocked(Event::kBodyRefused, listener);
}

std::uint64_t RequestGuard::max_body_bytes() const {
  return this->budget.max_body_bytes();
}

std::uint64_t RequestGuard::reserved_bytes() const {
  const std::lock_guard lock(this->mutex);
  return this->budget.reserved_bytes();
}

// The thread that serves the connection sees its end, and closes it.
void RequestGuard::CloseLocked(ConnectionId id) {
  const auto found = this->sockets.find(id);
  if (found != this->sockets.end())
    shutdown(found->second, SHUT_RDWR);
}

void RequestGuard::ReportLocked(Event event, const std::string& listener) {
  Incidents& incident = this->incidents[event];
  incident.count += 1;
  incident.last_listener = listener;
  if (this->metrics != nullptr)
    this->metrics->Count(CounterOf(event));
}

void RequestGuard::Sweep() {
  const std::lock_guard lock(this->mutex);
  for (const ConnectionId id : this->limiter.TakeOverdue(BootClock::now())) {
    this->CloseLocked(id);
    this->ReportLocked(Event::kHeadersLate, "");
  }
  if (this->metrics == nullptr)
    return;
  this->metrics->SetGauge("http_connections",
                          static_cast<double>(this->limiter.size()));
  this->metrics->SetGauge("http_body_bytes",
                          static_cast<double>(this->budget.reserved_bytes()));
}

void RequestGuard::LogIncidents() {
  std::map<Event, Incidents> logged;
  {
    const std::lock_guard lock(this->mutex);
    logged.swap(this->incidents);
  }
  for (const auto& [event, incident] : logged) {
    std::vector<Field> fields{{"count", std::to_string(incident.count)}};
    if (!incident.last_listener.empty())
      fields.push_back({"listener", incident.last_listener});
    LogEvent(event, fields);
  }
}

void RequestGuard::RunSweeper() {
  std::unique_lock lock(this->mutex);
  while (!this->stop_requested.wait_for(lock, kSweepInterval,
                                        [this] { return this->stopping; })) {
    lock.unlock();
    this->Sweep();
    this->LogIncidents();
    lock.lock();
  }
}

}  // namespace savoryring
