// Simulates the routing cores in virtual time at the current size of the
// estate: 11 instances of 8 slots in three availability zones, three entries,
// and fixed one-way delays. Compares the default options with random endpoint
// choice without a retry budget, and with single features disabled.

#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "librouting/admission.h"
#include "librouting/router.h"
#include "testsuite/schedule/virtual_world.h"

namespace savoryring {
namespace {

constexpr int kInstances = 11;
constexpr std::uint32_t kSlots = 8;
constexpr int kZones = 3;
constexpr Milliseconds kTimeout{500};
constexpr double kMeanRunMs = 20;
constexpr Milliseconds kDuration{20'000};
constexpr std::chrono::microseconds kSameZoneDelay{200};
constexpr std::chrono::microseconds kCrossZoneDelay{1500};
const std::string kService = "gauge-check";

struct Scenario {
  std::string name;
  double load = 0.7;         // offered load as a share of the total capacity
  double slow_factor = 1;    // run time factor of the first instance
  bool unreachable = false;  // messages to the second instance are lost
};

struct Policy {
  std::string name;
  RouterOptions options;
};

struct SimulationResult {
  std::vector<double> latencies_ms;
  std::uint64_t sent = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t retries = 0;
  std::uint64_t runs = 0;
};

class RoutingSimulation {
 public:
  RoutingSimulation(const Scenario& scenario, const Policy& policy)
      : scenario(scenario), world(7) {
    for (int i = 0; i < kInstances; ++i) {
      this->admissions.push_back(
          std::make_unique<Admission>(AdmissionOptions{.incarnation = 1}));
    }
    Estate estate;
    estate.services.push_back({.name = kService, .timeout = kTimeout});
    for (int zone = 0; zone < kZones; ++zone) {
      RouterOptions options = policy.options;
      options.entry = "entry-" + std::to_string(zone);
      options.incarnation = 1;
      options.availability_zone = std::to_string(zone);
      options.seed = static_cast<std::uint64_t>(zone) + 1;
      this->routers.push_back(std::make_unique<Router>(options));
      this->routers.back()->OnEstate(estate);
    }
  }

  SimulationResult Run() {
    this->AnnounceEndpoints();
    this->Tick();
    this->ScheduleNextRequest();
    this->world.RunUntil(this->world.now() + kDuration);
    this->arrivals_stopped = true;
    this->world.RunUntil(this->world.now() + 2 * kTimeout);
    for (const auto& router : this->routers)
      this->result.retries += router->retries() + router->hedges();
    return std::move(this->result);
  }

 private:
  std::chrono::microseconds Delay(int entry, int instance) const {
    return entry == instance % kZones ? kSameZoneDelay : kCrossZoneDelay;
  }

  void AnnounceEndpoints() {
    const TimePoint now = this->world.now();
    for (int i = 0; i < kInstances; ++i) {
      Admission& admission = *this->admissions[static_cast<std::size_t>(i)];
      admission.OnLocalEndpoint({.service = kService,
                                 .slots = kSlots,
                                 .valid_until = now + Milliseconds(5000)},
                                now);
      wire::EndpointAnnouncement message;
      message.set_link(std::to_string(i));
      message.set_availability_zone(std::to_string(i % kZones));
      message.set_sequence(++this->sequence);
      message.set_valid_ms(2000);
      const auto services = admission.Services(now);
      wire::ServiceAnnouncement* announcement = message.add_services();
      announcement->set_service(kService);
      announcement->set_slots(kSlots);
      announcement->set_running(services[0].running);
      announcement->set_queued(services[0].queued);
      announcement->set_serving(true);
      for (const auto& router : this->routers)
        router->OnAnnouncement(std::to_string(i), 1, message, now);
    }
    this->world.RunAfter(Milliseconds(500),
                         [this] { this->AnnounceEndpoints(); });
  }

  void Tick() {
    for (std::size_t i = 0; i < this->routers.size(); ++i) {
      this->routers[i]->OnTick(this->world.now());
      this->ApplyRouterEffects(static_cast<int>(i));
    }
    for (std::size_t i = 0; i < this->admissions.size(); ++i) {
      this->admissions[i]->OnTick(this->world.now());
      this->ApplyAdmissionEffects(static_cast<int>(i));
    }
    this->world.RunAfter(Milliseconds(10), [this] { this->Tick(); });
  }

  // Gaps between requests are uniformly distributed; their mean gives the load.
  void ScheduleNextRequest() {
    if (this->arrivals_stopped)
      return;
    const double per_ms =
        this->scenario.load * kInstances * kSlots / kMeanRunMs;
    const auto gap = std::chrono::nanoseconds(
        this->world.Random(static_cast<std::uint64_t>(2e6 / per_ms)));
    this->world.RunAfter(gap, [this] {
      const int entry = static_cast<int>(this->world.Random(kZones));
      const std::uint64_t id = this->next_request++;
      const TimePoint now = this->world.now();
      this->request_times[id] = now;
      this->result.sent += 1;
      this->routers[static_cast<std::size_t>(entry)]->OnRequest(
          {.id = id,
           .service = kService,
           .deadline = now + kTimeout,
           .repeatable = true},
          now);
      this->ApplyRouterEffects(entry);
      this->ScheduleNextRequest();
    });
  }

  void ApplyRouterEffects(int entry) {
    Router& router = *this->routers[static_cast<std::size_t>(entry)];
    for (const RouterEffect& effect : router.TakeEffects()) {
      if (const auto* send = std::get_if<SendAttempt>(&effect)) {
        const int instance = std::stoi(send->link);
        this->entry_of_attempt[send->key] = entry;
        this->SendToInstance(entry, instance, [this, instance, copy = *send] {
          this->admissions[static_cast<std::size_t>(instance)]->OnAttempt(
              {.key = copy.key,
               .oldest_open = copy.oldest_open,
               .endpoint_incarnation = 1,
               .service = kService,
               .deadline = copy.deadline},
              this->world.now());
          this->ApplyAdmissionEffects(instance);
        });
      } else if (const auto* revocation =
                     std::get_if<SendRevocation>(&effect)) {
        const int instance = std::stoi(revocation->link);
        this->SendToInstance(
            entry, instance, [this, instance, copy = *revocation] {
              this->admissions[static_cast<std::size_t>(instance)]
                  ->OnRevocation(copy.key, 1, this->world.now());
              this->ApplyAdmissionEffects(instance);
            });
      } else if (const auto* answer = std::get_if<ForwardAnswer>(&effect)) {
        const auto latency =
            this->world.now() - this->request_times[answer->request];
        this->result.latencies_ms.push_back(
            std::chrono::duration<double, std::milli>(latency).count());
      } else if (const auto* error = std::get_if<AnswerWithCode>(&effect)) {
        (InfoOf(error->code).not_run ? this->result.not_run
                                     : this->result.unknown) += 1;
      }
    }
  }

  void SendToInstance(int entry, int instance, std::function<void()> deliver) {
    if (this->scenario.unreachable && instance == 1)
      return;
    this->world.RunAfter(this->Delay(entry, instance), std::move(deliver));
  }

  void ApplyAdmissionEffects(int instance) {
    Admission& admission =
        *this->admissions[static_cast<std::size_t>(instance)];
    for (const AdmissionEffect& effect : admission.TakeEffects()) {
      if (const auto* run = std::get_if<RunAttempt>(&effect)) {
        this->result.runs += 1;
        // 97% of the runs take 15 ms and 3% take 180 ms: about kMeanRunMs on
        // average.
        double run_ms = this->world.Chance(0.03) ? 180 : 15;
        if (instance == 0)
          run_ms *= this->scenario.slow_factor;
        this->world.RunAfter(
            std::chrono::microseconds(static_cast<std::int64_t>(run_ms * 1000)),
            [this, instance, key = run->key] {
              this->admissions[static_cast<std::size_t>(instance)]->OnRunEnded(
                  key, true, this->world.now());
              this->ApplyAdmissionEffects(instance);
            });
      } else if (const auto* report = std::get_if<ReportAttempt>(&effect)) {
        const int entry = this->entry_of_attempt[report->key];
        this->world.RunAfter(
            this->Delay(entry, instance),
            [this, entry,
             status = AttemptStatus{.key = report->key,
                                    .state = report->state,
                                    .code = report->code}] {
              this->routers[static_cast<std::size_t>(entry)]->OnAttemptStatus(
                  status, this->world.now());
              this->ApplyRouterEffects(entry);
            });
      }
    }
  }

  Scenario scenario;
  Simulation world;
  std::vector<std::unique_ptr<Admission>> admissions;
  std::vector<std::unique_ptr<Router>> routers;
  std::map<AttemptKey, int> entry_of_attempt;
  std::map<std::uint64_t, TimePoint> request_times;
  std::uint64_t next_request = 1;
  std::uint64_t sequence = 0;
  bool arrivals_stopped = false;
  SimulationResult result;
};

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty())
    return 0;
  std::ranges::sort(values);
  return values[static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1))];
}

void PrintResult(const Policy& policy, const SimulationResult& result) {
  const double seconds = std::chrono::duration<double>(kDuration).count();
  std::cout << "  " << std::left << std::setw(24) << policy.name << std::right
            << std::setw(9)
            << static_cast<double>(result.latencies_ms.size()) / seconds
            << std::setw(9) << Quantile(result.latencies_ms, 0.5)
            << std::setw(9) << Quantile(result.latencies_ms, 0.99)
            << std::setw(9)
            << 100.0 * static_cast<double>(result.not_run) /
                   static_cast<double>(result.sent)
            << std::setw(9)
            << 100.0 * static_cast<double>(result.unknown) /
                   static_cast<double>(result.sent)
            << std::setw(9)
            << static_cast<double>(result.runs) /
                   static_cast<double>(result.sent)
            << '\n';
}

}  // namespace
}  // namespace savoryring

int main() {
  using savoryring::Policy;
  using savoryring::Scenario;
  const std::vector<Scenario> scenarios{
      {.name = "70% of capacity", .load = 0.7},
      {.name = "100% of capacity", .load = 1.0},
      {.name = "200% of capacity", .load = 2.0},
      {.name = "60%, one instance five times slower",
       .load = 0.6,
       .slow_factor = 5},
      {.name = "60%, one instance silent", .load = 0.6, .unreachable = true}};
  const std::vector<Policy> policies{
      {.name = "savoryring", .options = {}},
      {.name = "random, no budget",
       .options = {.use_hedges = false,
                   .use_retry_budget = false,
                   .use_random_choice = true}},
      {.name = "without hedges", .options = {.use_hedges = false}},
      {.name = "without retry budget", .options = {.use_retry_budget = false}}};
  std::cout << std::fixed << std::setprecision(2);
  std::cout << "routing in virtual time: 11 instances of 8 slots, capacity "
            << "4400/s, timeout 500 ms\n";
  for (const Scenario& scenario : scenarios) {
    std::cout << scenario.name
              << "\n  policy                   good/s   p50 ms   p99 ms"
                 "  notrun%  unknwn%  runs/rq\n";
    for (const Policy& policy : policies) {
      savoryring::PrintResult(
          policy, savoryring::RoutingSimulation(scenario, policy).Run());
    }
  }
  return 0;
}
